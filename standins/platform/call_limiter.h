#ifndef SKYLARKSHUNT_STANDINS_PLATFORM_CALL_LIMITER_H_
#define SKYLARKSHUNT_STANDINS_PLATFORM_CALL_LIMITER_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Token bucket: takes up to `per_second` calls at once and refills at that
/// rate. Not thread-safe.
class CallLimiter {
 public:
  explicit CallLimiter(uint32_t per_second)
      : per_second_(per_second), tokens_(per_second) {}

  /// Takes one token; false when none is left. `now` must not go back.
  bool Take(absl::Time now) {
    const double seconds = absl::ToDoubleSeconds(now - last_);
    if (last_ != absl::InfinitePast())
      tokens_ = std::min(per_second_, tokens_ + seconds * per_second_);
    last_ = now;
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const double per_second_;
  double tokens_;
  absl::Time last_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PLATFORM_CALL_LIMITER_H_
