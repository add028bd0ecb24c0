#ifndef SKYLARKSHUNT_PROCESS_BACKOFF_H_
#define SKYLARKSHUNT_PROCESS_BACKOFF_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Waits that double up to a limit, each drawn from the upper half of its range
/// so that processes that failed together do not return together. Not
/// thread-safe.
class Backoff {
 public:
  Backoff(absl::Duration first, absl::Duration limit, uint64_t seed)
      : first_(first), limit_(limit), next_(first), random_(seed) {}

  /// Returns the time to wait after one more failure.
  absl::Duration OnFailure() {
    const absl::Duration range = next_;
    next_ = std::min(2 * next_, limit_);
    return Jitter(range);
  }
  /// The next failure starts again at the first wait.
  void OnSuccess() { next_ = first_; }
  /// Returns between half of `range` and all of it.
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
