#include "skylarkshunt/net/poller.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <utility>

namespace skylarkshunt {
namespace {

absl::Time ReadClock(clockid_t clock) {
  timespec now = {};
  clock_gettime(clock, &now);
  return absl::TimeFromTimespec(now);
}

}  // namespace

Result<Wakeup> Wakeup::Create() {
  const int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (fd < 0) {
    return MakeError(ErrorKind::kSystem, std::strerror(errno),
                     "raise the limit of open files");
  }
  return Wakeup(fd);
}

Wakeup::Wakeup(Wakeup&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Wakeup& Wakeup::operator=(Wakeup&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Wakeup::~Wakeup() {
  if (fd_ >= 0)
    close(fd_);
}

void Wakeup::Notify() const {
  const uint64_t one = 1;
  // A full counter means that the reader has been notified already.
  [[maybe_unused]] const ssize_t written = write(fd_, &one, sizeof(one));
}

void Wakeup::Drain() const {
  uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = read(fd_, &count, sizeof(count));
}

bool WaitReadable(absl::Span<const int> fds, absl::Duration timeout) {
  return WaitReadableSet(fds, timeout) != 0;
}

uint32_t WaitReadableSet(absl::Span<const int> fds, absl::Duration timeout) {
  constexpr size_t kMaxFds = 8;
  assert(fds.size() <= kMaxFds && "too many file descriptors to wait for");
  std::array<pollfd, kMaxFds> polled = {};
  const size_t count = std::min(fds.size(), kMaxFds);
  for (size_t i = 0; i < count; ++i)
    polled[i] = pollfd{fds[i], POLLIN, 0};
  const int64_t timeout_ms =
      std::max<int64_t>(0, absl::ToInt64Milliseconds(timeout));
  uint32_t readable = 0;
  if (poll(polled.data(), count, static_cast<int>(timeout_ms)) <= 0)
    return readable;
  for (size_t i = 0; i < count; ++i) {
    if (polled[i].revents != 0)
      readable |= 1U << i;
  }
  return readable;
}

absl::Time MonotonicNow() {
  static const absl::Duration wall_offset =
      ReadClock(CLOCK_REALTIME) - ReadClock(CLOCK_BOOTTIME);
  return ReadClock(CLOCK_BOOTTIME) + wall_offset;
}

}  // namespace skylarkshunt
