#ifndef SKYLARKSHUNT_NET_POLLER_H_
#define SKYLARKSHUNT_NET_POLLER_H_

#include <cstdint>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Wakes a thread that waits in WaitReadable(): an eventfd. Notify() is
/// thread-safe; Drain() belongs to the waiting thread.
class Wakeup {
 public:
  /// Errors: kSystem.
  static Result<Wakeup> Create();

  Wakeup(Wakeup&& other) noexcept;
  Wakeup& operator=(Wakeup&& other) noexcept;
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;
  ~Wakeup();

  /// Makes fd() readable until Drain().
  void Notify() const;
  void Drain() const;
  int fd() const { return fd_; }

 private:
  explicit Wakeup(int fd) : fd_(fd) {}

  int fd_ = -1;
};

/// Waits until one of at most 8 file descriptors is readable or `timeout` has
/// passed. Returns whether one is readable. Thread-safe.
bool WaitReadable(absl::Span<const int> fds, absl::Duration timeout);

/// As WaitReadable(), but returns which ones are readable: bit i stands for
/// fds[i]. Thread-safe.
uint32_t WaitReadableSet(absl::Span<const int> fds, absl::Duration timeout);

/// The time for all decisions: wall-clock time at the first call plus the time
/// passed since on a clock that never steps and goes on while the process or
/// the instance is suspended (CLOCK_BOOTTIME). Close to the wall clock, because
/// agents on different instances compare the age of bindings. Thread-safe.
absl::Time MonotonicNow();

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_NET_POLLER_H_
