#ifndef SKYLARKSHUNT_UNITTESTS_CTL_CTL_HARNESS_H_
#define SKYLARKSHUNT_UNITTESTS_CTL_CTL_HARNESS_H_

#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "skylarkshunt/ctl/run.h"
#include "standins/platform/platform_server.h"

namespace skylarkshunt {

/// Runs commands in-process against a stand-in platform on a free port.
class CtlHarness {
 public:
  explicit CtlHarness(
      const PlatformCore::Options& core = PlatformCore::Options());
  CtlHarness(const CtlHarness&) = delete;
  CtlHarness& operator=(const CtlHarness&) = delete;
  /// Removes the questionnaire.
  ~CtlHarness();

  /// Runs `words`, with --platform added; out() and err() are replaced.
  ExitCode Run(const std::vector<std::string>& words);
  ExitCode RunWithoutPlatform(const std::vector<std::string>& words);

  /// Writes a questionnaire with the given number of slots; returns its path.
  std::string WriteAnswers(int slots);

  const std::string& out() const { return out_; }
  const std::string& err() const { return err_; }
  PlatformCore& core() { return server_->core(); }
  Endpoint address() const { return server_->address(); }
  uint64_t writes() const;
  void StopPlatform() { server_.reset(); }

  /// Runs once, at the next draw of a random number, which lies between the
  /// read and the write of an apply.
  void OnNextDraw(std::function<void()> action) {
    on_draw_ = std::move(action);
  }

 private:
  uint64_t Draw();

  std::unique_ptr<PlatformServer> server_;
  std::string address_;
  std::string answers_path_;
  std::string out_;
  std::string err_;
  uint64_t draws_ = 0;
  std::function<void()> on_draw_;
};

/// Serves fixed texts over HTTP, as the admin end point of an instance.
class AdminServer {
 public:
  /// Returns the body for a path; called on the server's threads.
  using Answer = std::function<std::string(const std::string& path)>;

  explicit AdminServer(const Answer& answer);
  ~AdminServer();

  const std::string& address() const { return address_; }

 private:
  struct Server;

  std::unique_ptr<Server> server_;
  std::string address_;
};

/// Whether `text` contains `part`.
bool Contains(const std::string& text, absl::string_view part);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_CTL_CTL_HARNESS_H_
