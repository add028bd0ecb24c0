#include "skylarkshunt/forwarding/opening_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkshunt {
namespace {

/// Weight of one more slot: about the last ten decide.
constexpr double kLateShareWeight = 0.1;
/// Least share of the slots that late ones are taken to get: one of fifty.
constexpr double kLeastLateShare = 0.02;

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
  // The newest first: the oldest would each be served when it is nearly too
  // late, and most of them would miss their objective by a little.
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
  std::vector<WaitingOpening> hopeless;
  const bool any_judged = std::any_of(
      waiting_.begin(), waiting_.end(), [now](const WaitingOpening& o) {
        return std::min(o.evaluated_from, o.client_deadline - kRefusalMargin) <=
               now;
      });
  if (!any_judged)
    return hopeless;
  std::sort(waiting_.begin(), waiting_.end(),
            [](const WaitingOpening& a, const WaitingOpening& b) {
              return a.client_deadline < b.client_deadline;
            });
  const absl::Duration interval =
      slot_interval / std::max(late_share_, kLeastLateShare);
  std::vector<WaitingOpening> kept;
  for (WaitingOpening& opening : waiting_) {
    const absl::Duration left = opening.client_deadline - now - kRefusalMargin;
    const bool judged = opening.evaluated_from <= now;
    // Those before it in the order have the same claim.
    const absl::Duration turn = static_cast<double>(kept.size()) * interval;
    const bool lost = left <= absl::ZeroDuration() || (judged && turn > left);
    (lost ? hopeless : kept).push_back(std::move(opening));
  }
  waiting_ = std::move(kept);
  return hopeless;
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
