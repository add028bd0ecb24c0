#include "skylarkshunt/forwarding/opening_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkshunt {
namespace {

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
  return std::tie(a.gives_up, a.priority) < std::tie(b.gives_up, b.priority);
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
  WaitingOpening next = std::move(*first);
  waiting_.erase(first);
  return next;
}

std::vector<WaitingOpening> OpeningQueue::TakeGivenUp(absl::Time time) {
  const auto kept = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [time](const WaitingOpening& o) { return o.gives_up > time; });
  std::vector<WaitingOpening> taken(std::make_move_iterator(kept),
                                    std::make_move_iterator(waiting_.end()));
  waiting_.erase(kept, waiting_.end());
  return taken;
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
