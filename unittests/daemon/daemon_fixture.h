#ifndef SKYLARKSHUNT_UNITTESTS_DAEMON_DAEMON_FIXTURE_H_
#define SKYLARKSHUNT_UNITTESTS_DAEMON_DAEMON_FIXTURE_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "standins/process/child_process.h"

namespace skylarkshunt {

inline constexpr Endpoint kAnyPort{0x7f000001, 0};
/// A port that nothing listens on: the kernel never gives out port 1.
inline constexpr char kClosedAddress[] = "127.0.0.1:1";
/// Generous limit of every wait.
inline constexpr absl::Duration kLimit = absl::Seconds(60);

/// Returns whether `condition` held within kLimit.
bool WaitFor(const std::function<bool()>& condition);

/// Settings of an entry or agent on free ports of 127.0.0.1.
nlohmann::json EntrySettings(const std::string& platform);
nlohmann::json AgentSettings(const std::string& platform,
                             const std::string& target);

/// One skylarkshuntd with its settings and log in a folder of its own.
class Daemon {
 public:
  explicit Daemon(const nlohmann::json& settings);
  ~Daemon();

  /// Waits for the line with the addresses. Fails the test without one.
  void AwaitReady();
  Endpoint address(const std::string& name) const;
  ChildProcess& process() { return *process_; }

  /// Returns the status of an HTTP GET on the admin address, 0 without answer;
  /// the body goes to `body` where given.
  int Ask(const std::string& path, std::string* body = nullptr) const;
  /// Returns /status, or null.
  nlohmann::json Status() const;
  bool LogHas(const std::string& text) const;
  void WriteSettings(const std::string& text) const;
  void Signal(int signal) const;

 private:
  std::string folder_;
  nlohmann::json ready_;
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_DAEMON_DAEMON_FIXTURE_H_
