#ifndef STANDINS_PROCESS_CHILD_PROCESS_H_
#define STANDINS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// A child process of a test or of the demonstration. Signals go to its process
/// id only, and never after it was reaped. Not thread-safe.
class ChildProcess {
 public:
  struct Options {
    /// Path of the program and its arguments.
    std::vector<std::string> command;
    /// File for its standard error, appended to; empty: that of the parent.
    std::string log_file = {};
    /// File for its standard output, appended to; empty: a pipe to the parent.
    std::string output_file = {};
    /// "NAME=VALUE", added to the environment of the parent.
    std::vector<std::string> environment = {};
  };

  /// Starts the program with its standard output in a pipe and no blocked
  /// signals. Errors: kNotFound, kSystem.
  static Result<std::unique_ptr<ChildProcess>> Start(const Options& options);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  /// Kills the process when it still runs, and reaps it.
  ~ChildProcess();

  /// Returns the next line of standard output without its end, or nothing when
  /// none came within `timeout` or the output has ended.
  absl::optional<std::string> ReadLine(absl::Duration timeout);
  /// Returns the rest of standard output up to its end or `timeout`.
  std::string ReadAll(absl::Duration timeout);

  /// SIGTERM, SIGHUP, SIGKILL and SIGCONT. No effect after the end.
  void Stop();
  void Reload();
  void Kill();
  void Resume();
  /// SIGSTOP; returns when the process has stopped or ended. A signal sent
  /// earlier than that could still be handled before the pause.
  void Pause();

  /// Waits for the end and returns the exit code (128 plus the signal when one
  /// ended it), or nothing when it still runs after `timeout`.
  absl::optional<int> WaitForExit(absl::Duration timeout);
  bool running() { return !WaitForExit(absl::ZeroDuration()).has_value(); }
  pid_t pid() const { return pid_; }

 private:
  ChildProcess(pid_t pid, int output) : pid_(pid), output_(output) {}

  void Signal(int signal);
  bool ReadSome(absl::Time deadline);

  const pid_t pid_;
  const int output_;
  std::string buffer_;
  absl::optional<int> exit_code_;
};

}  // namespace skylarkshunt

#endif  // STANDINS_PROCESS_CHILD_PROCESS_H_
