#include "skylarkshunt/forwarding/outcome_model.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace skylarkshunt {
namespace {

/// Weight of a new outcome. About ten outcomes determine the share; a target at
/// half load provides them within a quarter of a second.
constexpr double kOutcomeWeight = 0.12;
/// Number of outcomes from which on the share is reported.
constexpr uint32_t kMinSamples = 4;
/// An answer counts as short if it is below this share of the 10th percentile
/// of the usual sizes. Errors are far smaller than any answer with content, and
/// the sizes for one address vary by a factor of ten and more.
constexpr double kShortShare = 0.6;
constexpr size_t kLowRankDivisor = 10;
/// Number of known sizes from which on answers are evaluated.
constexpr size_t kMinSizes = 16;
/// One in this many short answers is recorded as a usual one. A service whose
/// answers became shorter for good therefore stops counting as failing.
constexpr uint32_t kShortAnswersPerUsual = 32;
/// Maximum number of addresses whose sizes are recorded. Answers for other
/// addresses count as usual.
constexpr size_t kMaxAddresses = 256;
/// Time without outcomes after which the share begins to decay, and its
/// half-life from then on.
constexpr absl::Duration kMaxFreshAge = absl::Seconds(1);
constexpr absl::Duration kHalfLife = absl::Seconds(1);
constexpr double kPermille = 1000.0;

}  // namespace

void OutcomeModel::RecordAnswer(Endpoint address,
                                uint32_t bytes,
                                absl::Time now) {
  if (sizes_.size() >= kMaxAddresses && !sizes_.contains(address)) {
    Record(0.0, now);
    return;
  }
  Sizes& sizes = sizes_[address];
  const bool is_short = IsShort(sizes, bytes);
  if (!is_short || ++sizes.short_answers % kShortAnswersPerUsual == 0)
    Learn(sizes, bytes);
  Record(is_short ? 1.0 : 0.0, now);
}

bool OutcomeModel::IsShort(const Sizes& sizes, uint32_t bytes) {
  if (sizes.count < kMinSizes)
    return false;
  std::array<uint32_t, std::tuple_size<decltype(sizes.bytes)>::value> sorted =
      sizes.bytes;
  const auto low = sorted.begin() + sizes.count / kLowRankDivisor;
  std::nth_element(sorted.begin(), low, sorted.begin() + sizes.count);
  return bytes < kShortShare * *low;
}

void OutcomeModel::Learn(Sizes& sizes, uint32_t bytes) {
  sizes.bytes[sizes.next] = bytes;
  sizes.next = (sizes.next + 1) % sizes.bytes.size();
  sizes.count = std::min(sizes.count + 1, sizes.bytes.size());
}

void OutcomeModel::RecordFailure(absl::Time now) {
  Record(1.0, now);
}

void OutcomeModel::Record(double failed, absl::Time now) {
  ++samples_;
  recent_share_ = RecentShare(now);
  recent_share_ +=
      std::max(kOutcomeWeight, 1.0 / samples_) * (failed - recent_share_);
  sampled_ = now;
}

void OutcomeModel::Reset() {
  recent_share_ = 0;
  samples_ = 0;
}

double OutcomeModel::RecentShare(absl::Time now) const {
  const absl::Duration stale = now - sampled_ - kMaxFreshAge;
  if (samples_ == 0 || stale <= absl::ZeroDuration())
    return recent_share_;
  return recent_share_ * std::exp2(-absl::FDivDuration(stale, kHalfLife));
}

uint16_t OutcomeModel::failing_permille(absl::Time now) const {
  if (samples_ < kMinSamples)
    return 0;
  return static_cast<uint16_t>(std::lround(RecentShare(now) * kPermille));
}

}  // namespace skylarkshunt
