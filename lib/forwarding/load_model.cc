#include "skylarkshunt/forwarding/load_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace skylarkshunt {
namespace {

/// Weight of a new sample after the first few. About ten samples determine the
/// estimate; a target at half load provides them within a quarter of a second.
constexpr double kSampleWeight = 0.12;
/// A request that has run for this multiple of the estimate indicates a slow
/// target before it ends. 3% of requests run for 7 times the mean.
constexpr double kUnansweredFactor = 8.0;

/// Age up to which the last sample counts as current.
constexpr absl::Duration kMaxFreshAge = absl::Milliseconds(500);
/// Half-life of an estimate older than kMaxFreshAge. A target that was five
/// times slower gets requests again after less than two seconds.
constexpr absl::Duration kHalfLife = absl::Milliseconds(600);

/// Maximum ratio of the reported pending work to the wait that follows from the
/// number of requests, in either direction, in thousandths. It limits the cost
/// of a wrong estimate.
constexpr uint64_t kMaxPendingRatioMilli = 1750;

/// Returns the pending work of `load` without the unit that stands for a free
/// slot, within the bounds that follow from a wait of `least_us` to `most_us`.
uint64_t PlausiblePendingUs(const AgentLoad& load,
                            uint64_t least_us,
                            uint64_t most_us) {
  const uint64_t pending_us =
      std::max(load.pending_work_us, kPendingWorkUnitUs) - kPendingWorkUnitUs;
  return std::min(std::max(pending_us, least_us * 1000 / kMaxPendingRatioMilli),
                  most_us * kMaxPendingRatioMilli / 1000);
}

}  // namespace

uint32_t ServiceTimeUs(const AgentLoad& load) {
  return load.service_time_us != 0
             ? load.service_time_us
             : static_cast<uint32_t>(
                   absl::ToInt64Microseconds(kInitialServiceTime));
}

uint32_t ExpectedWaitUs(const AgentLoad& load, uint32_t additional) {
  if (load.slots == 0)
    return std::numeric_limits<uint32_t>::max();
  const uint64_t present = uint64_t{load.busy} + additional + 1;
  if (present <= load.slots)
    return 0;
  const uint64_t service_us = ServiceTimeUs(load);
  uint64_t wait = (present - load.slots) * service_us / load.slots;
  if (load.pending_work_us != 0 && load.busy >= load.slots) {
    const uint64_t beyond = load.busy - load.slots;
    wait = PlausiblePendingUs(load, beyond * service_us / load.slots,
                              (beyond + 1) * service_us / load.slots) +
           additional * service_us / load.slots;
  }
  return static_cast<uint32_t>(
      std::min<uint64_t>(wait, std::numeric_limits<uint32_t>::max() - 1));
}

void ServiceTimeModel::Reset() {
  samples_ = 0;
}

void ServiceTimeModel::Record(absl::Duration elapsed,
                              uint32_t busy,
                              uint32_t slots,
                              absl::Time now) {
  double factor = 1.0;
  if (slots > 0 && busy + 1 > slots)
    factor += static_cast<double>(busy + 1 - slots) / slots;
  const double sample =
      std::log(std::max(1.0, absl::ToDoubleMicroseconds(elapsed) / factor));
  // The target may have changed during a pause, so the next samples get more
  // weight.
  if (samples_ > 1 && now - sampled_ > kMaxFreshAge)
    samples_ = 1;
  ++samples_;
  const double weight =
      samples_ == 1 ? 1.0 : std::max(kSampleWeight, 1.0 / samples_);
  log_us_ += weight * (sample - log_us_);
  sampled_ = now;
}

void ServiceTimeModel::RecordUnanswered(absl::Duration elapsed,
                                        absl::Time now) {
  if (samples_ == 0)
    return;
  const double sample = absl::ToDoubleMicroseconds(elapsed) / kUnansweredFactor;
  if (sample <= std::exp(log_us_))
    return;
  log_us_ = std::log(sample);
  sampled_ = now;
}

absl::Duration ServiceTimeModel::estimate(absl::Time now) const {
  if (samples_ == 0)
    return absl::ZeroDuration();
  const absl::Duration stale = now - sampled_ - kMaxFreshAge;
  const double halvings =
      stale > absl::ZeroDuration() ? absl::FDivDuration(stale, kHalfLife) : 0.0;
  return absl::Microseconds(std::exp(log_us_ - halvings * M_LN2));
}

}  // namespace skylarkshunt
