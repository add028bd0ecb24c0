#include "standins/process/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "absl/memory/memory.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr int kSignalExitBase = 128;
constexpr mode_t kLogFileMode = 0644;
constexpr absl::Duration kExitPoll = absl::Milliseconds(5);

/// File actions and attributes of posix_spawn(), released at the end.
class SpawnPlan {
 public:
  SpawnPlan(int output, const ChildProcess::Options& options)
      : environment_(options.environment) {
    posix_spawn_file_actions_init(&actions_);
    if (options.output_file.empty())
      posix_spawn_file_actions_adddup2(&actions_, output, STDOUT_FILENO);
    else
      Append(STDOUT_FILENO, options.output_file);
    if (!options.log_file.empty())
      Append(STDERR_FILENO, options.log_file);
    posix_spawnattr_init(&attributes_);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes_, &none);
    posix_spawnattr_setflags(&attributes_, POSIX_SPAWN_SETSIGMASK);
  }
  SpawnPlan(const SpawnPlan&) = delete;
  SpawnPlan& operator=(const SpawnPlan&) = delete;
  ~SpawnPlan() {
    posix_spawn_file_actions_destroy(&actions_);
    posix_spawnattr_destroy(&attributes_);
  }

  /// Returns 0 or the error number.
  int Spawn(const std::vector<std::string>& command, pid_t* pid) const {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
      arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    std::vector<char*> variables;
    for (char** variable = environ; *variable != nullptr; ++variable)
      variables.push_back(*variable);
    for (const std::string& variable : environment_)
      variables.push_back(const_cast<char*>(variable.c_str()));
    variables.push_back(nullptr);
    return posix_spawn(pid, arguments[0], &actions_, &attributes_,
                       arguments.data(), variables.data());
  }

 private:
  void Append(int fd, const std::string& file) {
    posix_spawn_file_actions_addopen(&actions_, fd, file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kLogFileMode);
  }

  const std::vector<std::string>& environment_;
  posix_spawn_file_actions_t actions_ = {};
  posix_spawnattr_t attributes_ = {};
};

int ExitCode(int status) {
  return WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status)
                             : WEXITSTATUS(status);
}

}  // namespace

Result<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const Options& options) {
  std::array<int, 2> pipe_ends = {};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) < 0) {
    return MakeError(ErrorKind::kSystem, std::strerror(errno),
                     "raise the limit of open files");
  }
  pid_t pid = 0;
  const int failure =
      SpawnPlan(pipe_ends[1], options).Spawn(options.command, &pid);
  close(pipe_ends[1]);
  if (failure != 0) {
    close(pipe_ends[0]);
    return MakeError(
        failure == ENOENT ? ErrorKind::kNotFound : ErrorKind::kSystem,
        absl::StrCat("cannot start ", options.command[0], ": ",
                     std::strerror(failure)),
        "build the program first");
  }
  return absl::WrapUnique(new ChildProcess(pid, pipe_ends[0]));
}

ChildProcess::~ChildProcess() {
  Kill();
  WaitForExit(absl::InfiniteDuration());
  close(output_);
}

void ChildProcess::Stop() {
  Signal(SIGTERM);
}

void ChildProcess::Reload() {
  Signal(SIGHUP);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
}

void ChildProcess::Resume() {
  Signal(SIGCONT);
}

void ChildProcess::Pause() {
  Signal(SIGSTOP);
  siginfo_t info = {};
  if (!exit_code_)
    waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED | WEXITED | WNOWAIT);
}

void ChildProcess::Signal(int signal) {
  // A reaped process id may belong to another process by now.
  if (!exit_code_)
    kill(pid_, signal);
}

absl::optional<int> ChildProcess::WaitForExit(absl::Duration timeout) {
  const absl::Time deadline = MonotonicNow() + timeout;
  while (!exit_code_) {
    int status = 0;
    const pid_t ended = waitpid(pid_, &status, WNOHANG);
    if (ended == pid_) {
      exit_code_ = ExitCode(status);
      break;
    }
    if (MonotonicNow() >= deadline)
      return absl::nullopt;
    absl::SleepFor(kExitPoll);
  }
  return exit_code_;
}

bool ChildProcess::ReadSome(absl::Time deadline) {
  std::array<char, 4096> bytes = {};
  const absl::Duration left = deadline - MonotonicNow();
  if (!WaitReadable({output_}, absl::Ceil(left, absl::Milliseconds(1))))
    return false;
  const ssize_t got = read(output_, bytes.data(), bytes.size());
  if (got <= 0)
    return false;
  buffer_.append(bytes.data(), static_cast<size_t>(got));
  return true;
}

absl::optional<std::string> ChildProcess::ReadLine(absl::Duration timeout) {
  const absl::Time deadline = MonotonicNow() + timeout;
  size_t end = buffer_.find('\n');
  while (end == std::string::npos) {
    if (!ReadSome(deadline))
      return absl::nullopt;
    end = buffer_.find('\n');
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  return line;
}

std::string ChildProcess::ReadAll(absl::Duration timeout) {
  const absl::Time deadline = MonotonicNow() + timeout;
  while (ReadSome(deadline)) {
  }
  return std::move(buffer_);
}

}  // namespace skylarkshunt
