#ifndef SKYLARKSHUNT_FORWARDING_WARMUP_LIMIT_H_
#define SKYLARKSHUNT_FORWARDING_WARMUP_LIMIT_H_

#include <cstddef>
#include <deque>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Limits the opening packets that an agent delivers to its target while the
/// target is cold. The hard limit holds in every window of a second. The usual
/// rate is lower: it is what a cold target can handle, and the difference only
/// covers bursts. Pure and not thread-safe.
class WarmupLimit {
 public:
  /// In any second a cold target gets at most `excess` times its rate plus
  /// `slack` opening packets; there is no limit if both are 0. `started` is the
  /// start of the agent. An earlier process of the agent may have delivered
  /// packets until then, so its usual rate counts as used. Preconditions:
  /// `excess` and `slack` are finite and not negative.
  WarmupLimit(double excess, double slack, absl::Time started);

  /// Sets the number of requests per second that the cold target can handle;
  /// there is no limit if it is 0. Until the first call the hard limit is
  /// `slack`. Precondition: `per_second` is finite and not negative.
  void SetRate(double per_second);

  /// Whether the number of opening packets to a cold target is limited.
  bool is_in_force() const;
  /// Largest number of opening packets in any second.
  size_t most_per_second() const;
  /// Usual time between two opening packets; at most kLongestInterval.
  absl::Duration interval() const;
  /// Returns the time from which one more opening packet may be delivered to
  /// the cold target; the infinite future if none may.
  absl::Time NextDelivery() const;
  /// Records that an opening packet is delivered now. Deliveries to a warm
  /// target count too, since it may have restarted unnoticed. Precondition:
  /// `now` does not fall.
  void Record(bool is_cold, absl::Time now);

  /// Maximum number of counted deliveries, and thus of most_per_second(). A
  /// target of the deployments handles some hundred requests per second.
  static constexpr size_t kMaxCounted = 4'096;
  /// Number of opening packets that may be delivered at once at the usual rate,
  /// so that requests that arrive together use the slots of a small target.
  static constexpr size_t kBurst = 2;
  /// Length of the counted window. A packet reaches its target up to 50 ms
  /// earlier or later than usual.
  static constexpr absl::Duration kWindow = absl::Milliseconds(1050);
  static constexpr absl::Duration kLongestInterval = absl::Minutes(1);

 private:
  /// Returns the usual number of opening packets per second.
  double rate() const;
  /// Number of deliveries that an earlier process of the agent may have made in
  /// the second before the start.
  size_t assumed() const;

  const double excess_;
  const double slack_;
  const absl::Time started_;
  bool is_rate_known_ = false;
  double per_second_ = 0;
  /// Times of the deliveries of the last kWindow, oldest first.
  std::deque<absl::Time> delivered_;
  /// Time at which the usual rate has caught up with the deliveries.
  absl::Time caught_up_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_WARMUP_LIMIT_H_
