#ifndef SKYLARKSHUNT_FORWARDING_SLOT_FORECAST_H_
#define SKYLARKSHUNT_FORWARDING_SLOT_FORECAST_H_

#include <cstdint>

#include "absl/time/time.h"

namespace skylarkshunt {

/// What a queue of opening packets expects of the slots of its target.
struct SlotForecast {
  /// Maximum number of requests at the target: its slots, plus enough to keep
  /// them occupied while the next clients' requests are in transit.
  uint32_t request_limit = 0;
  /// Time from the assignment of a slot to the first byte at the client.
  absl::Duration answer_time;
  /// Time between two free slots.
  absl::Duration slot_interval;
  /// How long the target has been overloaded, as OverloadTimer measures it.
  absl::Duration overloaded_for;
  /// Time for which an overload is known to last, since the target cannot serve
  /// more until then.
  absl::Duration limited_for;
};

/// Returns the forecast for a target with `slots` slots. `handshake_time` is
/// the time from an opening packet to its client's request. Precondition:
/// `service_time` is positive. Thread-safe.
SlotForecast MakeSlotForecast(uint32_t slots,
                              absl::Duration service_time,
                              absl::Duration handshake_time,
                              absl::Duration overloaded_for);

/// Measures how long opening packets have been waiting at a target. A short
/// time without waiting packets shortens the duration instead of ending the
/// overload, since clients arrive in groups. Not thread-safe.
class OverloadTimer {
 public:
  explicit OverloadTimer(absl::Time now) : recorded_(now) {}

  /// Records whether packets have been waiting since the last call.
  void Record(bool waiting, absl::Time now);

  absl::Duration duration() const { return duration_; }

 private:
  absl::Duration duration_;
  absl::Time recorded_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_SLOT_FORECAST_H_
