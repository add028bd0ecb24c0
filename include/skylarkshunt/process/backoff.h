#ifndef SKYLARKSHUNT_PROCESS_BACKOFF_H_
#define SKYLARKSHUNT_PROCESS_BACKOFF_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Exponential backoff. Each wait is drawn from the upper half of its range, so
/// that processes that failed at the same time do not retry at the same time.
/// Not thread-safe.
class Backoff {
 public:
  Backoff(absl::Duration first, absl::Duration limit, uint64_t seed)
      : first_(first), limit_(limit), next_(first), random_(seed) {}

  /// Returns the time to wait after a failure, and doubles the next one up to
  /// the limit.
  absl::Duration OnFailure() {
    const absl::Duration range = next_;
    next_ = std::min(2 * next_, limit_);
    return Jitter(range);
  }
  /// Resets the wait to its initial value.
  void OnSuccess() { next_ = first_; }
  /// Returns a random duration between half of `range` and `range`.
  absl::Duration Jitter(absl::Duration range) {
    return range * std::uniform_real_distribution<double>(0.5, 1.0)(random_);
  }

 private:
  const absl::Duration first_;
  const absl::Duration limit_;
  absl::Duration next_;
  std::mt19937_64 random_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PROCESS_BACKOFF_H_
