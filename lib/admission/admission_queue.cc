#include "skylarkshunt/admission/admission_queue.h"

#include <algorithm>
#include <utility>

namespace skylarkshunt {
namespace {

/// Holds the backlog of a swing of seconds: at 1.5 times capacity a shorter
/// queue overflows within 0.2 s, and a refused request waits longer for its
/// repeat than it would have waited in the queue.
constexpr size_t kQueuedPerSlot = 16;
/// Seconds of expected duration that one second of waiting outweighs. A
/// straggler of d seconds is passed for at most 2 d seconds.
constexpr double kAgeingFactor = 0.5;
/// With more slots than this, stragglers hold at most half of them.
constexpr size_t kSlotsForHalfRule = 2;
/// While a short request waits, stragglers start only below one slot in so
/// many: a straggler cannot be taken back, and at the crest of a swing half of
/// the slots do not serve the short requests in time.
constexpr size_t kSlotsPerStraggler = 4;

/// One of this many requests that only their learned duration would refuse runs
/// nevertheless.
constexpr uint64_t kRefusalsPerTrial = 16;

}  // namespace

AdmissionQueue::AdmissionQueue(const DurationModel& model,
                               bool first_come_first_served)
    : model_(model), first_come_first_served_(first_come_first_served) {}

void AdmissionQueue::SetSlots(size_t slots) {
  slots_ = std::max<size_t>(slots, 1);
}

size_t AdmissionQueue::capacity() const {
  return kQueuedPerSlot * slots_;
}

// When slots are free, only the learned duration speaks against the request.
// It may be out of date, and a kind that never runs is never learned again.
bool AdmissionQueue::MissesDeadline(absl::Time now,
                                    const WaitingRequest& request) {
  const absl::Time end =
      ExpectedStart(now, request.kind) + model_.Expected(request.kind);
  if (end <= request.deadline)
    return false;
  if (!HasFreeSlot(request.kind))
    return true;
  ++refusals_with_free_slot_;
  return refusals_with_free_slot_ % kRefusalsPerTrial != 0;
}

AdmissionQueue::Admission AdmissionQueue::Offer(absl::Time now,
                                                WaitingRequest request) {
  Admission admission;
  if (now >= request.deadline ||
      (!first_come_first_served_ && MissesDeadline(now, request))) {
    admission.verdict = Verdict::kMissesDeadline;
    return admission;
  }
  const bool starts_now = HasFreeSlot(request.kind);
  if (waiting_.size() < capacity() || starts_now) {
    waiting_.push_back(std::move(request));
    return admission;
  }
  const size_t least = LeastWorth();
  if (first_come_first_served_ || Worth(request) <= Worth(waiting_[least])) {
    admission.verdict = Verdict::kFull;
    return admission;
  }
  admission.displaced = waiting_[least].id;
  waiting_[least] = std::move(request);
  return admission;
}

absl::optional<RequestId> AdmissionQueue::Next(absl::Time now) {
  if (running_.size() >= slots_)
    return absl::nullopt;
  size_t best = waiting_.size();
  for (size_t i = 0; i < waiting_.size(); ++i) {
    if (!HasFreeSlot(waiting_[i].kind))
      continue;
    if (best == waiting_.size() ||
        Order(waiting_[i].arrived, waiting_[i].kind) <
            Order(waiting_[best].arrived, waiting_[best].kind)) {
      best = i;
    }
  }
  if (best == waiting_.size())
    return absl::nullopt;
  const RequestId id = waiting_[best].id;
  running_[id] = Running{std::move(waiting_[best].kind), now};
  waiting_.erase(waiting_.begin() + static_cast<ptrdiff_t>(best));
  return id;
}

void AdmissionQueue::OnRunEnded(const RequestId& id) {
  running_.erase(id);
}

std::vector<RequestId> AdmissionQueue::TakeExpired(absl::Time now) {
  std::vector<RequestId> expired;
  const auto first = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [now](const WaitingRequest& r) { return now < r.deadline; });
  for (auto it = first; it != waiting_.end(); ++it)
    expired.push_back(it->id);
  waiting_.erase(first, waiting_.end());
  return expired;
}

std::vector<RequestId> AdmissionQueue::TakeAll() {
  return TakeExpired(absl::InfiniteFuture());
}

bool AdmissionQueue::HasFreeSlot(absl::string_view kind) const {
  if (running_.size() >= slots_)
    return false;
  if (first_come_first_served_ || !model_.IsStraggler(kind))
    return true;
  return RunningStragglers() < StragglerSlots();
}

absl::Time AdmissionQueue::ExpectedStart(absl::Time now,
                                         absl::string_view kind) const {
  if (HasFreeSlot(kind))
    return now;
  absl::Duration wait = WorkAhead(now, kind, false) / slots_;
  if (model_.IsStraggler(kind))
    wait = std::max(wait, WorkAhead(now, kind, true) / StragglerSlots());
  return now + wait;
}

size_t AdmissionQueue::StragglerSlots() const {
  // A target with one slot has to run its stragglers in it.
  if (slots_ <= kSlotsForHalfRule)
    return 1;
  return ShortRequestWaits() ? std::max<size_t>(1, slots_ / kSlotsPerStraggler)
                             : slots_ / 2;
}

bool AdmissionQueue::ShortRequestWaits() const {
  return std::any_of(
      waiting_.begin(), waiting_.end(),
      [this](const WaitingRequest& r) { return !model_.IsStraggler(r.kind); });
}

size_t AdmissionQueue::RunningStragglers() const {
  size_t count = 0;
  for (const auto& [id, run] : running_)
    count += model_.IsStraggler(run.kind) ? 1 : 0;
  return count;
}

absl::Duration AdmissionQueue::WorkAhead(absl::Time now,
                                         absl::string_view kind,
                                         bool stragglers_only) const {
  absl::Duration work = absl::ZeroDuration();
  for (const auto& [id, run] : running_) {
    if (stragglers_only && !model_.IsStraggler(run.kind))
      continue;
    const absl::Duration left = model_.Expected(run.kind) - (now - run.started);
    work += std::max(left, absl::ZeroDuration());
  }
  const double order = Order(now, kind);
  for (const WaitingRequest& waiting : waiting_) {
    if (stragglers_only && !model_.IsStraggler(waiting.kind))
      continue;
    if (Order(waiting.arrived, waiting.kind) <= order)
      work += model_.Expected(waiting.kind);
  }
  return work;
}

// Expected duration minus waiting time times the factor. The waiting time of
// all requests grows alike, so comparing arrivals gives the same order.
double AdmissionQueue::Order(absl::Time arrived, absl::string_view kind) const {
  const double arrival = absl::ToDoubleSeconds(arrived - absl::UnixEpoch());
  if (first_come_first_served_)
    return arrival;
  return absl::ToDoubleSeconds(model_.Expected(kind)) + kAgeingFactor * arrival;
}

double AdmissionQueue::Worth(const WaitingRequest& request) const {
  return request.weight / absl::ToDoubleSeconds(model_.Expected(request.kind));
}

size_t AdmissionQueue::LeastWorth() const {
  size_t least = 0;
  for (size_t i = 1; i < waiting_.size(); ++i) {
    if (Worth(waiting_[i]) < Worth(waiting_[least]))
      least = i;
  }
  return least;
}

}  // namespace skylarkshunt
