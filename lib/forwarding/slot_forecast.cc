#include "skylarkshunt/forwarding/slot_forecast.h"

#include <algorithm>
#include <cmath>

namespace skylarkshunt {
namespace {

/// Maximum number of requests sent to the target beyond its slots, as a
/// multiple of them. A target queues four times its slots.
constexpr double kMaxAheadFactor = 2.0;
/// Multiple of the service time that is reserved for an answer in time. About
/// nine of ten requests take less.
constexpr double kServiceTimeMargin = 1.8;
/// Time by which a moment without waiting packets shortens an overload, as a
/// multiple of its length.
constexpr double kRecoveryFactor = 4.0;

}  // namespace

SlotForecast MakeSlotForecast(uint32_t slots,
                              absl::Duration service_time,
                              absl::Duration handshake_time,
                              absl::Duration overloaded_for) {
  const double ahead = std::ceil(
      std::min(slots * absl::FDivDuration(handshake_time, service_time),
               kMaxAheadFactor * slots));
  SlotForecast forecast;
  forecast.request_limit = slots + static_cast<uint32_t>(ahead);
  forecast.slot_interval = service_time / std::max<uint32_t>(1, slots);
  // Requests beyond the slots wait at the target, part of it while the client
  // sends its request.
  forecast.answer_time =
      std::max(handshake_time, ahead * forecast.slot_interval) +
      kServiceTimeMargin * service_time;
  forecast.overloaded_for = overloaded_for;
  return forecast;
}

void OverloadTimer::Record(bool waiting, absl::Time now) {
  const absl::Duration elapsed = now - recorded_;
  recorded_ = now;
  duration_ = waiting ? duration_ + elapsed
                      : std::max(absl::ZeroDuration(),
                                 duration_ - kRecoveryFactor * elapsed);
}

}  // namespace skylarkshunt
