#include "skylarkshunt/admission/target_health.h"

#include <algorithm>

namespace skylarkshunt {
namespace {

constexpr size_t kConsecutiveFailuresToEject = 5;
constexpr size_t kRecentResults = 20;
constexpr absl::Duration kFirstBackOff = absl::Seconds(5);
constexpr absl::Duration kLongestBackOff = absl::Seconds(60);

}  // namespace

bool TargetHealth::OnResult(absl::Time now, bool succeeded) {
  if (state_ == State::kEjected)
    return false;
  if (state_ == State::kProbing) {
    if (!succeeded) {
      Eject(now);
      return true;
    }
    state_ = State::kHealthy;
    back_off_ = absl::ZeroDuration();
    return true;
  }
  consecutive_failures_ = succeeded ? 0 : consecutive_failures_ + 1;
  recent_failures_.push_back(!succeeded);
  failed_of_recent_ += succeeded ? 0 : 1;
  if (recent_failures_.size() > kRecentResults) {
    failed_of_recent_ -= recent_failures_.front() ? 1 : 0;
    recent_failures_.pop_front();
  }
  if (!ShouldEject())
    return false;
  Eject(now);
  return true;
}

bool TargetHealth::OnTick(absl::Time now) {
  if (state_ != State::kEjected || now < probe_at_)
    return false;
  state_ = State::kProbing;
  return true;
}

void TargetHealth::OnHint(absl::Time now, bool healthy) {
  if (healthy && state_ == State::kEjected)
    probe_at_ = std::min(probe_at_, now + kFirstBackOff);
}

void TargetHealth::Eject(absl::Time now) {
  state_ = State::kEjected;
  back_off_ = std::clamp(2 * back_off_, kFirstBackOff, kLongestBackOff);
  probe_at_ = now + back_off_;
  recent_failures_.clear();
  failed_of_recent_ = 0;
  consecutive_failures_ = 0;
}

bool TargetHealth::ShouldEject() const {
  if (consecutive_failures_ >= kConsecutiveFailuresToEject)
    return true;
  return recent_failures_.size() == kRecentResults &&
         2 * failed_of_recent_ >= kRecentResults;
}

}  // namespace skylarkshunt
