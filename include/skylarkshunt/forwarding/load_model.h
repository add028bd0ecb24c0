#ifndef SKYLARKSHUNT_FORWARDING_LOAD_MODEL_H_
#define SKYLARKSHUNT_FORWARDING_LOAD_MODEL_H_

#include <cstdint>

#include "absl/time/time.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// Assumed service time of a target before its first answer.
inline constexpr absl::Duration kInitialServiceTime = absl::Milliseconds(30);

/// Returns the service time of `load` in microseconds, or kInitialServiceTime
/// if it is unknown. Thread-safe.
uint32_t ServiceTimeUs(const AgentLoad& load);

/// Returns how long one more request waits for a slot at a target with `load`,
/// in microseconds: the pending work if the target reports it, and otherwise a
/// share of the service time for each request beyond the slots. The
/// `additional` requests that `load` does not include count with that share.
/// The pending work is limited to the range that the number of requests makes
/// plausible. An entry that compares agents and an agent that declines use this
/// same estimate. Returns the maximum value if there is no slot. Thread-safe.
uint32_t ExpectedWaitUs(const AgentLoad& load, uint32_t additional);

/// Estimates the service time of a target. Averages logarithms, which limits
/// the effect of single long requests. Not thread-safe.
class ServiceTimeModel {
 public:
  /// Records a request that met `busy` others on `slots` slots and had its
  /// first byte after `elapsed`. The expected wait for a slot is subtracted.
  void Record(absl::Duration elapsed,
              uint32_t busy,
              uint32_t slots,
              absl::Time now);

  /// Records a request that has run for `elapsed` without an answer. Raises the
  /// estimate if it is far below `elapsed`.
  void RecordUnanswered(absl::Duration elapsed, absl::Time now);

  /// Discards all samples, for a target that restarted.
  void Reset();

  /// Returns the estimate; zero before the first answer. It decays while there
  /// are no answers, so that a target that was slow gets requests again.
  absl::Duration estimate(absl::Time now) const;

 private:
  double log_us_ = 0;
  uint32_t samples_ = 0;
  absl::Time sampled_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_LOAD_MODEL_H_
