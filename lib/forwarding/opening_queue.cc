#include "skylarkshunt/forwarding/opening_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkshunt {
namespace {

/// Weight of a new sample: about the last ten slots determine the share.
constexpr double kLateShareWeight = 0.1;
/// Minimum assumed share of the slots that late packets get: one in fifty.
constexpr double kMinLateShare = 0.02;
/// Multiple of the slot interval that is reserved for each packet ahead: slots
/// free up irregularly, and more urgent packets arrive meanwhile.
constexpr double kTurnMargin = 2.0;
/// An overload is expected to last this much longer, as a multiple of the time
/// that it has lasted.
constexpr double kOverloadDurationFactor = 0.5;

/// Whether `a` comes before `b` among the packets that can be served in time.
bool IsMoreUrgent(const WaitingOpening& a, const WaitingOpening& b) {
  return std::tie(a.priority, a.objective) < std::tie(b.priority, b.objective);
}

/// Whether `a` comes before `b` among the late packets.
bool EndsBefore(const WaitingOpening& a, const WaitingOpening& b) {
  return std::tie(a.client_deadline, a.priority) <
         std::tie(b.client_deadline, b.priority);
}

}  // namespace

absl::optional<WaitingOpening> OpeningQueue::Push(
    WaitingOpening opening,
    absl::Time now,
    const SlotForecast& forecast) {
  waiting_.push_back(std::move(opening));
  Arrange(now, forecast);
  if (waiting_.size() <= kMaxWaiting)
    return absl::nullopt;
  WaitingOpening dropped = std::move(waiting_.back());
  waiting_.pop_back();
  in_time_ = std::min(in_time_, waiting_.size());
  return dropped;
}

void OpeningQueue::Arrange(absl::Time now, const SlotForecast& forecast) {
  std::sort(waiting_.begin(), waiting_.end(), IsMoreUrgent);
  // Each packet that is served in time delays those behind it.
  absl::Time answered = now + forecast.answer_time;
  std::vector<WaitingOpening> late;
  in_time_ = 0;
  for (WaitingOpening& opening : waiting_) {
    if (answered > opening.objective) {
      late.push_back(std::move(opening));
      continue;
    }
    answered += kTurnMargin * forecast.slot_interval;
    if (&opening != &waiting_[in_time_])
      waiting_[in_time_] = std::move(opening);
    ++in_time_;
  }
  std::sort(late.begin(), late.end(), EndsBefore);
  std::move(late.begin(), late.end(),
            waiting_.begin() + static_cast<ptrdiff_t>(in_time_));
}

absl::optional<WaitingOpening> OpeningQueue::Pop(absl::Time now,
                                                 const SlotForecast& forecast) {
  if (waiting_.empty())
    return absl::nullopt;
  Arrange(now, forecast);
  const bool is_late = in_time_ == 0;
  if (in_time_ < waiting_.size())
    late_share_ += kLateShareWeight * ((is_late ? 1.0 : 0.0) - late_share_);
  WaitingOpening next = std::move(waiting_.front());
  waiting_.erase(waiting_.begin());
  if (!is_late)
    --in_time_;
  if (waiting_.empty())
    late_share_ = 1.0;
  return next;
}

std::vector<WaitingOpening> OpeningQueue::TakeUnservable(
    absl::Time now,
    const SlotForecast& forecast) {
  Arrange(now, forecast);
  const absl::Duration interval =
      forecast.slot_interval / std::max(late_share_, kMinLateShare);
  const absl::Duration overload_left = std::max(
      kOverloadDurationFactor * forecast.overloaded_for, forecast.limited_for);
  std::vector<WaitingOpening> unservable;
  size_t kept = in_time_;
  for (size_t i = in_time_; i < waiting_.size(); ++i) {
    WaitingOpening& opening = waiting_[i];
    const absl::Duration turn = static_cast<double>(kept - in_time_) * interval;
    const absl::Duration left = opening.client_deadline - now - kRefusalMargin;
    const bool may_recover =
        overload_left <= opening.client_deadline - opening.opened;
    if (left <= absl::ZeroDuration() || (turn > left && !may_recover)) {
      unservable.push_back(std::move(opening));
      continue;
    }
    if (kept != i)
      waiting_[kept] = std::move(opening);
    ++kept;
  }
  waiting_.erase(waiting_.begin() + static_cast<ptrdiff_t>(kept),
                 waiting_.end());
  return unservable;
}

std::vector<WaitingOpening> OpeningQueue::TakeAll() {
  in_time_ = 0;
  return std::exchange(waiting_, {});
}

void OpeningQueue::Remove(const FlowId& flow) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&flow](const WaitingOpening& o) { return o.flow == flow; });
  if (found == waiting_.end())
    return;
  if (static_cast<size_t>(found - waiting_.begin()) < in_time_)
    --in_time_;
  waiting_.erase(found);
  if (waiting_.empty())
    late_share_ = 1.0;
}

bool OpeningQueue::Contains(const FlowId& flow) const {
  return std::any_of(
      waiting_.begin(), waiting_.end(),
      [&flow](const WaitingOpening& o) { return o.flow == flow; });
}

}  // namespace skylarkshunt
