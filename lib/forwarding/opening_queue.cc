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

bool IsInTime(const WaitingOpening& opening,
              absl::Time now,
              absl::Duration answer_time) {
  return now + answer_time <= opening.objective;
}

/// Whether `a` gets a slot before `b`.
bool ComesBefore(const WaitingOpening& a,
                 const WaitingOpening& b,
                 absl::Time now,
                 absl::Duration answer_time) {
  const bool a_in_time = IsInTime(a, now, answer_time);
  const bool b_in_time = IsInTime(b, now, answer_time);
  if (a_in_time != b_in_time)
    return a_in_time;
  // The newest first. In the opposite order each packet would be served when it
  // is nearly too late, and most would narrowly miss their objective.
  if (a_in_time) {
    return std::tie(a.priority, b.objective) <
           std::tie(b.priority, a.objective);
  }
  return std::tie(a.client_deadline, a.priority) <
         std::tie(b.client_deadline, b.priority);
}

}  // namespace

absl::optional<WaitingOpening> OpeningQueue::Push(WaitingOpening opening,
                                                  absl::Time now) {
  waiting_.push_back(std::move(opening));
  if (waiting_.size() <= kMaxWaiting)
    return absl::nullopt;
  const auto last =
      std::max_element(waiting_.begin(), waiting_.end(),
                       [now](const WaitingOpening& a, const WaitingOpening& b) {
                         return ComesBefore(a, b, now, absl::ZeroDuration());
                       });
  WaitingOpening dropped = std::move(*last);
  waiting_.erase(last);
  return dropped;
}

absl::optional<WaitingOpening> OpeningQueue::Pop(absl::Time now,
                                                 absl::Duration answer_time) {
  const auto first = std::min_element(
      waiting_.begin(), waiting_.end(),
      [now, answer_time](const WaitingOpening& a, const WaitingOpening& b) {
        return ComesBefore(a, b, now, answer_time);
      });
  if (first == waiting_.end())
    return absl::nullopt;
  const bool is_late = !IsInTime(*first, now, answer_time);
  if (is_late || CountInTime(now, answer_time) < waiting_.size())
    late_share_ += kLateShareWeight * ((is_late ? 1.0 : 0.0) - late_share_);
  WaitingOpening next = std::move(*first);
  waiting_.erase(first);
  if (waiting_.empty())
    late_share_ = 1.0;
  return next;
}

std::vector<WaitingOpening> OpeningQueue::TakeUnservable(
    absl::Time now,
    absl::Duration slot_interval) {
  std::vector<WaitingOpening> unservable;
  const bool any_evaluated = std::any_of(
      waiting_.begin(), waiting_.end(), [now](const WaitingOpening& o) {
        return std::min(o.evaluated_from, o.client_deadline - kRefusalMargin) <=
               now;
      });
  if (!any_evaluated)
    return unservable;
  std::sort(waiting_.begin(), waiting_.end(),
            [](const WaitingOpening& a, const WaitingOpening& b) {
              return a.client_deadline < b.client_deadline;
            });
  const absl::Duration interval =
      slot_interval / std::max(late_share_, kMinLateShare);
  std::vector<WaitingOpening> kept;
  for (WaitingOpening& opening : waiting_) {
    const absl::Duration left = opening.client_deadline - now - kRefusalMargin;
    const bool evaluated = opening.evaluated_from <= now;
    // Packets ahead of it in the order get their slots first.
    const absl::Duration turn = static_cast<double>(kept.size()) * interval;
    const bool lost =
        left <= absl::ZeroDuration() || (evaluated && turn > left);
    (lost ? unservable : kept).push_back(std::move(opening));
  }
  waiting_ = std::move(kept);
  return unservable;
}

std::vector<WaitingOpening> OpeningQueue::TakeAll() {
  return std::exchange(waiting_, {});
}

bool OpeningQueue::Contains(const FlowId& flow) const {
  return std::any_of(
      waiting_.begin(), waiting_.end(),
      [&flow](const WaitingOpening& o) { return o.flow == flow; });
}

size_t OpeningQueue::CountInTime(absl::Time now,
                                 absl::Duration answer_time) const {
  return static_cast<size_t>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [now, answer_time](const WaitingOpening& o) {
                      return IsInTime(o, now, answer_time);
                    }));
}

}  // namespace skylarkshunt
