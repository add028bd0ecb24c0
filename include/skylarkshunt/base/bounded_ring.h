#ifndef SKYLARKSHUNT_BASE_BOUNDED_RING_H_
#define SKYLARKSHUNT_BASE_BOUNDED_RING_H_

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace skylarkshunt {

/// A first-in first-out queue of fixed capacity that joins two threads. A push
/// never waits: a full ring refuses the value or replaces the oldest one, and
/// counts it. All methods are thread-safe.
template <typename T>
class BoundedRing {
 public:
  /// Precondition: `capacity` is at least 1. `on_push` runs on the pushing
  /// thread after each accepted push, outside the lock, for example to write
  /// to an eventfd that the reader polls; it may be empty.
  explicit BoundedRing(size_t capacity, std::function<void()> on_push = {})
      : slots_(capacity), on_push_(std::move(on_push)) {
    assert(capacity > 0 && "a ring needs at least one slot");
  }

  /// Adds `value`, or refuses it and returns false when the ring is full.
  bool TryPush(T value) {
    {
      absl::MutexLock lock(&mutex_);
      if (size_ == slots_.size()) {
        ++overflows_;
        return false;
      }
      PushLocked(std::move(value));
    }
    if (on_push_)
      on_push_();
    return true;
  }

  /// Adds `value`; a full ring drops its oldest value first.
  void PushReplacingOldest(T value) {
    {
      absl::MutexLock lock(&mutex_);
      if (size_ == slots_.size()) {
        ++overflows_;
        PopLocked();
      }
      PushLocked(std::move(value));
    }
    if (on_push_)
      on_push_();
  }

  /// Returns the oldest value, or nothing when the ring is empty.
  absl::optional<T> TryPop() {
    absl::MutexLock lock(&mutex_);
    if (size_ == 0)
      return absl::nullopt;
    return PopLocked();
  }

  /// Waits up to `timeout` for a value.
  absl::optional<T> Pop(absl::Duration timeout) {
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(
        absl::Condition(
            +[](BoundedRing* ring) { return ring->size_ > 0; }, this),
        timeout);
    if (size_ == 0)
      return absl::nullopt;
    return PopLocked();
  }

  /// Returns how many pushes found the ring full.
  uint64_t overflows() const {
    absl::MutexLock lock(&mutex_);
    return overflows_;
  }

  /// Returns the number of values now in the ring.
  size_t size() const {
    absl::MutexLock lock(&mutex_);
    return size_;
  }

 private:
  void PushLocked(T value) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    slots_[(first_ + size_) % slots_.size()] = std::move(value);
    ++size_;
  }

  T PopLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    T value = std::move(*slots_[first_]);
    slots_[first_].reset();
    first_ = (first_ + 1) % slots_.size();
    --size_;
    return value;
  }

  mutable absl::Mutex mutex_;
  std::vector<absl::optional<T>> slots_ ABSL_GUARDED_BY(mutex_);
  size_t first_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t size_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t overflows_ ABSL_GUARDED_BY(mutex_) = 0;
  const std::function<void()> on_push_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_BOUNDED_RING_H_
