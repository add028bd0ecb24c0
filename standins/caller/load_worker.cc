#include "standins/caller/load_worker.h"

#include <algorithm>
#include <utility>

#include "absl/memory/memory.h"
#include "absl/time/clock.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/edge/codec.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

// Requests of one flow that may wait at once when a rate is set.
constexpr size_t kMaxPendingPerFlow = 16;
// Flows start spread over this time, so that they do not all open at once.
constexpr absl::Duration kOpeningSpread = absl::Milliseconds(500);
constexpr uint32_t kClosesPerPause = 16;
constexpr absl::Duration kClosePause = absl::Milliseconds(1);
constexpr absl::Duration kLongestWait = absl::Milliseconds(50);
constexpr absl::Duration kShortestReissueDelay = absl::Milliseconds(10);

}  // namespace

Result<std::unique_ptr<LoadWorker>> LoadWorker::Create(
    const LoadOptions& options,
    uint32_t index) {
  std::vector<UdpSocket> sockets;
  for (uint32_t i = 0; i < options.sockets; ++i) {
    BOOST_OUTCOME_TRY(socket, UdpSocket::Bind(options.local));
    sockets.push_back(std::move(socket));
  }
  return absl::WrapUnique(new LoadWorker(options, index, std::move(sockets)));
}

LoadWorker::LoadWorker(const LoadOptions& options,
                       uint32_t index,
                       std::vector<UdpSocket> sockets)
    : options_(options),
      random_(StableHash(index, options.seed)),
      sockets_(std::move(sockets)),
      tally_(options.kinds.size()) {
  for (const UdpSocket& socket : sockets_)
    fds_.push_back(socket.fd());
  for (const KindLoad& kind : options.kinds)
    shares_.push_back(kind.share);
  const uint32_t extra = index < options.flows % options.threads ? 1 : 0;
  slots_.resize(options.flows / options.threads + extra);
  for (Slot& slot : slots_)
    OpenFlow(&slot);
}

void LoadWorker::OpenFlow(Slot* slot) {
  const uint64_t flow_id = random_();
  slot->session = std::make_unique<CallerSession>(
      CallerSession::Options{options_.service, flow_id, random_()});
  slot->started = 0;
  ++tally_.flows;
}

void LoadWorker::EndFlow(uint32_t index, bool open_next) {
  Slot& slot = slots_[index];
  CallerOutput output;
  slot.session->Close(&output);
  Apply(MonotonicNow(), index, output);
  tally_.broken_flows += slot.session->broken() ? 1 : 0;
  tally_.moved_flows += slot.session->moves() > 0 ? 1 : 0;
  tally_.ignored_answers += slot.session->ignored_answers();
  if (open_next)
    OpenFlow(&slot);
}

absl::Duration LoadWorker::Exponential(absl::Duration mean) {
  return mean * std::exponential_distribution<double>(1)(random_);
}

uint32_t LoadWorker::DrawKind() {
  std::discrete_distribution<uint32_t> draw(shares_.begin(), shares_.end());
  return draw(random_);
}

void LoadWorker::ScheduleFirst(absl::Time now) {
  if (options_.rate > 0) {
    timers_.push({now, TimerKind::kIssue, 0, {}});
    return;
  }
  std::uniform_real_distribution<double> spread(0, 1);
  for (uint32_t i = 0; i < slots_.size(); ++i) {
    timers_.push(
        {now + kOpeningSpread * spread(random_), TimerKind::kIssue, i, {}});
  }
}

void LoadWorker::Run() {
  const absl::Time start = MonotonicNow();
  end_ = start + options_.duration;
  ScheduleFirst(start);
  for (absl::Time now = start;
       now < end_ || !works_.empty() || waiting_reissues_ > 0;
       now = MonotonicNow()) {
    FireTimers(now);
    absl::Duration wait = kLongestWait;
    if (!timers_.empty())
      wait = std::min(wait, timers_.top().at - MonotonicNow());
    // Rounded up, since a wait below a millisecond would not wait at all.
    WaitReadable(fds_, absl::Ceil(wait, absl::Milliseconds(1)));
    ReadSockets();
  }
  CloseAll();
}

void LoadWorker::CloseAll() {
  for (uint32_t i = 0; i < slots_.size(); ++i) {
    EndFlow(i, /*open_next=*/false);
    // A burst of all flows would overflow the socket buffers on the way, and
    // no answer tells of a lost Close.
    if (i % kClosesPerPause == kClosesPerPause - 1)
      absl::SleepFor(kClosePause);
  }
}

void LoadWorker::FireTimers(absl::Time now) {
  while (!timers_.empty() && timers_.top().at <= now) {
    Timer timer = timers_.top();
    timers_.pop();
    Fire(now, timer);
  }
}

void LoadWorker::Fire(absl::Time now, const Timer& timer) {
  Slot& slot = slots_[timer.slot];
  switch (timer.kind) {
    case TimerKind::kIssue:
      return IssueDue(now, timer.slot, timer.at);
    case TimerKind::kReissue:
      --waiting_reissues_;
      return Issue(now, timer.work);
    case TimerKind::kSession:
      if (timer.at != slot.wake)
        return;
      slot.wake = absl::InfiniteFuture();
      CallerOutput output;
      slot.session->OnTime(now, &output);
      return Apply(now, timer.slot, output);
  }
}

void LoadWorker::IssueDue(absl::Time now, uint32_t slot, absl::Time due) {
  if (due >= end_)
    return;
  if (options_.rate > 0) {
    const double own_rate = options_.rate / options_.threads;
    timers_.push({due + Exponential(absl::Seconds(1 / own_rate)),
                  TimerKind::kIssue,
                  0,
                  {}});
    if (!PickSlot(&slot)) {
      ++tally_.not_issued;
      return;
    }
  }
  Work work;
  work.slot = slot;
  work.kind = DrawKind();
  work.plan = options_.kinds[work.kind].plan;
  work.plan.run_time *=
      std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  work.due = due;
  work.reissues_left = options_.reissues;
  ++slots_[slot].started;
  Issue(now, work);
}

bool LoadWorker::PickSlot(uint32_t* slot) {
  for (size_t i = 0; i < slots_.size(); ++i) {
    next_slot_ = (next_slot_ + 1) % static_cast<uint32_t>(slots_.size());
    const Slot& found = slots_[next_slot_];
    const bool spent = options_.requests_per_flow > 0 &&
                       found.started >= options_.requests_per_flow;
    if (spent || found.session->pending() >= kMaxPendingPerFlow)
      continue;
    *slot = next_slot_;
    return true;
  }
  return false;
}

void LoadWorker::Issue(absl::Time now, const Work& work) {
  CallPlan plan = work.plan;
  plan.deadline =
      std::max(absl::Milliseconds(1), work.due + work.plan.deadline - now);
  ++tally_.kinds[work.kind].issued;
  issued_.fetch_add(1, std::memory_order_relaxed);
  CallerOutput output;
  const uint32_t slot = work.slot;
  const RequestId id = slots_[slot].session->Start(now, plan, &output);
  works_.emplace(id, work);
  Apply(now, slot, output);
}

void LoadWorker::ReadSockets() {
  for (UdpSocket& socket : sockets_) {
    while (auto datagram = socket.Receive()) {
      const Result<Answer> answer = DecodeAnswer(datagram->bytes);
      if (!answer) {
        ++tally_.malformed_answers;
        continue;
      }
      const auto found = works_.find(answer.value().request_id);
      if (found == works_.end()) {
        ++tally_.ignored_answers;
        continue;
      }
      const absl::Time now = MonotonicNow();
      const uint32_t slot = found->second.slot;
      CallerOutput output;
      slots_[slot].session->OnAnswer(now, answer.value(), &output);
      Apply(now, slot, output);
    }
  }
}

void LoadWorker::Apply(absl::Time now,
                       uint32_t index,
                       const CallerOutput& output) {
  const UdpSocket& socket = sockets_[index % sockets_.size()];
  for (const CallerMessage& message : output.messages) {
    const auto bytes = EncodeCallerMessage(message);
    if (bytes)
      socket.Send(options_.fabric, bytes.value());
  }
  for (const FinishedRequest& finished : output.finished)
    OnFinished(now, finished);
  Slot& slot = slots_[index];
  const absl::Time wake = slot.session->NextWake();
  if (wake < slot.wake) {
    slot.wake = wake;
    timers_.push({wake, TimerKind::kSession, index, {}});
  }
}

void LoadWorker::OnFinished(absl::Time now, const FinishedRequest& finished) {
  const auto found = works_.find(finished.id);
  if (found == works_.end())
    return;
  Work work = std::move(found->second);
  works_.erase(found);
  ended_.fetch_add(1, std::memory_order_relaxed);
  Record(work, finished);
  const uint32_t index = work.slot;
  KindTally& kind = tally_.kinds[work.kind];
  if (finished.end == CallEnd::kOk) {
    kind.waiting_us.Record(
        static_cast<uint64_t>(absl::ToInt64Microseconds(now - work.due)));
  } else if (IsRefusal(finished.end)) {
    if (Reissue(now, std::move(work), finished))
      return;
    ++kind.given_up;
  }
  Slot& slot = slots_[index];
  if (options_.requests_per_flow > 0 && slot.session->pending() == 0 &&
      slot.started >= options_.requests_per_flow) {
    EndFlow(index, /*open_next=*/true);
  }
  if (options_.rate <= 0) {
    timers_.push(
        {now + Exponential(options_.think_time), TimerKind::kIssue, index, {}});
  }
}

void LoadWorker::Record(const Work& work, const FinishedRequest& finished) {
  KindTally& kind = tally_.kinds[work.kind];
  ++kind.ends[static_cast<size_t>(finished.end)];
  kind.missing += finished.missing ? 1 : 0;
  kind.attempts += finished.attempts;
  kind.max_attempts = std::max(kind.max_attempts, finished.attempts);
  if (IsRefusal(finished.end))
    ++kind.not_run[finished.reason];
  if (finished.end == CallEnd::kOk)
    ++tally_.targets[ToNumber(finished.target)];
  if (!options_.records.empty() && tally_.records.size() < kMaxRecords) {
    tally_.records.push_back(
        {finished.id, work.kind, finished.end, finished.reason});
  }
}

bool LoadWorker::Reissue(absl::Time now,
                         Work work,
                         const FinishedRequest& finished) {
  const absl::Time at =
      now + std::max(kShortestReissueDelay,
                     absl::Milliseconds(finished.retry_after_ms));
  if (work.reissues_left == 0 || at >= work.due + work.plan.deadline)
    return false;
  --work.reissues_left;
  ++waiting_reissues_;
  const uint32_t slot = work.slot;
  timers_.push({at, TimerKind::kReissue, slot, std::move(work)});
  return true;
}

}  // namespace skylarkshunt
