#ifndef SKYLARKSHUNT_FORWARDING_LOAD_MODEL_H_
#define SKYLARKSHUNT_FORWARDING_LOAD_MODEL_H_

#include <cstdint>

#include "absl/time/time.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// Service time assumed of a target before the first answer.
inline constexpr absl::Duration kInitialServiceTime = absl::Milliseconds(30);

/// Returns the service time of `load`, or kInitialServiceTime where none is
/// known, in microseconds. Thread-safe.
uint32_t ServiceTimeUs(const AgentLoad& load);

/// Returns how long one more request waits for a slot at a target with `load`,
/// in microseconds: each request beyond the slots costs a share of the service
/// time. The maximum where there is no slot. Thread-safe.
uint32_t ExpectedWaitUs(const AgentLoad& load, uint32_t additional);

/// Learns how long a target works on a request. The mean is taken of the
/// logarithm, so that single long requests hardly move it. Not thread-safe.
class ServiceTimeModel {
 public:
  /// A request that met `busy` others on `slots` slots had its first byte after
  /// `elapsed`. Waiting for a slot is taken off.
  void Record(absl::Duration elapsed,
              uint32_t busy,
              uint32_t slots,
              absl::Time now);

  /// A request has run for `elapsed` and is not answered: the estimate is
  /// raised where it is clearly below that.
  void RecordUnanswered(absl::Duration elapsed, absl::Time now);

  /// Forgets everything, for a target that started again.
  void Reset();

  /// Zero before the first answer. Without answers the estimate falls, so that
  /// a target that was slow is tried again.
  absl::Duration estimate(absl::Time now) const;

 private:
  double log_us_ = 0;
  uint32_t samples_ = 0;
  absl::Time sampled_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_LOAD_MODEL_H_
