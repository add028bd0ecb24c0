#include <algorithm>
#include <utility>

#include "flows/agent_core_impl.h"

namespace skylarkshunt {
namespace {

constexpr uint16_t kFirstServerErrorStatus = 500;
/// Callers retransmit after about 150 ms; a run shorter than this answers
/// first.
constexpr absl::Duration kPendingNoticeDelay = absl::Milliseconds(100);

}  // namespace

void AgentCoreImpl::Admit(const Forward& forward,
                          const Request& request,
                          const KindConfig& kind) {
  auto active = std::make_unique<ActiveRequest>();
  active->forward = forward;
  active->flow = MakeFlowKey(options_.service, request.flow_id);
  active->idempotent = kind.idempotent;
  active->weight = kind.weight;
  const uint32_t deadline_ms = std::min(request.deadline_ms, kMaxDeadlineMs);
  active->deadline =
      now_ + std::min(absl::Milliseconds(deadline_ms), config_->deadline);
  if (TakesNewFlows() || flows_.Find(active->flow) != nullptr)
    flows_.Touch(now_, active->flow, true);
  // A transferred request is new work from another agent, which a drain
  // refuses.
  const bool ejected = health_.state() == TargetHealth::State::kEjected;
  if (ejected || (forward.transfer.has_value() && draining()))
    return MoveOrRefuse(*active, RefusalReason());
  retry_budget_.OnAccepted();
  Offer(std::move(active));
  if (!request.binding.has_value())
    NotifyPending(forward, request);
}

// Binds a new flow before a long run ends. Retransmissions of the request then
// reach this agent and do not start it at another target.
void AgentCoreImpl::NotifyPending(const Forward& forward,
                                  const Request& request) {
  const auto found = active_.find(request.request_id);
  if (found == active_.end())
    return;
  const ActiveRequest& active = *found->second;
  const bool within_notice_delay =
      active.running && model_.Expected(request.kind) < kPendingNoticeDelay;
  if (within_notice_delay)
    return;
  SendOutcome(forward, request.request_id, Outcome::kPending, Reason::kNone,
              RenewedBinding(active.flow, absl::nullopt));
}

void AgentCoreImpl::Offer(std::unique_ptr<ActiveRequest> active) {
  const Request& request = std::get<Request>(active->forward.message);
  const RequestId id = request.request_id;
  const AdmissionQueue::Admission admission = queue_.Offer(
      now_,
      WaitingRequest{id, request.kind, active->weight, now_, active->deadline});
  switch (admission.verdict) {
    case AdmissionQueue::Verdict::kMissesDeadline:
      return MoveOrRefuse(*active, Reason::kDeadline);
    case AdmissionQueue::Verdict::kFull:
      return MoveOrRefuse(*active, Reason::kOverloaded);
    case AdmissionQueue::Verdict::kQueued:
      break;
  }
  RecordDecision(Decision::kRequestQueued, id, active->flow);
  active_[id] = std::move(active);
  if (admission.displaced.has_value())
    MoveOrRefuse(*TakeActive(*admission.displaced), Reason::kOverloaded);
  StartQueuedRequests();
}

void AgentCoreImpl::StartQueuedRequests() {
  // The deadline of a queued request may have passed since the last event.
  for (const RequestId& id : queue_.TakeExpired(now_))
    RefuseActive(*TakeActive(id), Reason::kDeadline);
  while (const absl::optional<RequestId> next = queue_.Next(now_))
    Start(*active_.at(*next));
}

void AgentCoreImpl::Start(ActiveRequest& active) {
  const Request& request = std::get<Request>(active.forward.message);
  if (LedgerEntry* entry = ledger_.Find(request.request_id))
    entry->state = RequestState::kRunning;
  active.running = true;
  active.started = now_;
  active.run = RunId{next_run_++};
  runs_[active.run] = request.request_id;
  actions_.push_back(StartRun{active.run, request.request_id, request.kind,
                              request.body, active.deadline});
  RecordDecision(Decision::kRequestStarted, request.request_id, active.flow);
}

AgentActions AgentCoreImpl::OnRunEnded(absl::Time now,
                                       RunId run,
                                       const RunResult& result) {
  BeginEvent(now);
  const auto found = runs_.find(run);
  if (found == runs_.end())
    return EndEvent();
  const RequestId id = found->second;
  runs_.erase(found);
  queue_.OnRunEnded(id);
  std::unique_ptr<ActiveRequest> active = TakeActive(id);
  switch (result.kind) {
    case RunResult::Kind::kAnswered:
      if (result.shed_unrun) {
        OnNotRun(std::move(active), Reason::kOverloaded);
        break;
      }
      RecordResult(result.status < kFirstServerErrorStatus);
      Finish(*active, result);
      break;
    case RunResult::Kind::kNotSent:
      RecordResult(false);
      OnNotRun(std::move(active), Reason::kTargetUnreachable);
      break;
    case RunResult::Kind::kConnectionLost:
      RecordResult(false);
      OnRunLost(std::move(active), Reason::kConnectionLost);
      break;
    case RunResult::Kind::kTimedOut:
      RecordResult(false);
      OnRunLost(std::move(active), Reason::kDeadline);
      break;
  }
  return EndEvent();
}

void AgentCoreImpl::Finish(const ActiveRequest& active,
                           const RunResult& result) {
  const Request& request = std::get<Request>(active.forward.message);
  model_.Observe(request.kind, now_ - active.started);
  ++stats_.completed;
  if (LedgerEntry* entry = ledger_.Find(request.request_id))
    entry->state = RequestState::kDone;
  StoredAnswer answer;
  answer.id = request.request_id;
  answer.outcome = result.status < kFirstServerErrorStatus
                       ? Outcome::kOk
                       : Outcome::kTargetError;
  answer.status = result.status;
  answer.body = result.body;
  answer.stored = now_;
  SendChunks(active.forward, answer, 0, kMaxChunksPerFetch,
             RenewedBinding(active.flow, request.binding));
  answers_.Put(std::move(answer));
}

void AgentCoreImpl::OnNotRun(std::unique_ptr<ActiveRequest> active,
                             Reason reason) {
  MoveOrRefuse(*active, reason);
}

void AgentCoreImpl::OnRunLost(std::unique_ptr<ActiveRequest> active,
                              Reason reason) {
  active->may_have_run = true;
  if (active->idempotent && Retry(active))
    return;
  const RequestId id = std::get<Request>(active->forward.message).request_id;
  if (LedgerEntry* entry = ledger_.Find(id)) {
    entry->state = RequestState::kUnknown;
    entry->reason = reason;
  }
  SendOutcome(active->forward, id, Outcome::kOutcomeUnknown, reason);
}

bool AgentCoreImpl::Retry(std::unique_ptr<ActiveRequest>& active) {
  if (now_ >= active->deadline)
    return false;
  if (!options_.policy.no_retry_budget && !retry_budget_.TryTake())
    return false;
  ++stats_.retries;
  if (MoveToOtherCandidate(WithTimeLeft(*active, now_), true,
                           Reason::kConnectionLost))
    return true;
  if (health_.state() == TargetHealth::State::kEjected)
    return false;
  active->running = false;
  active->cancel_sent = false;
  Offer(std::move(active));
  return true;
}

Forward AgentCoreImpl::WithTimeLeft(const ActiveRequest& active,
                                    absl::Time now) {
  Forward forward = active.forward;
  const int64_t left_ms = absl::ToInt64Milliseconds(active.deadline - now);
  std::get<Request>(forward.message).deadline_ms =
      static_cast<uint32_t>(std::max<int64_t>(left_ms, 0));
  return forward;
}

void AgentCoreImpl::MoveOrRefuse(const ActiveRequest& active, Reason reason) {
  if (now_ < active.deadline &&
      MoveToOtherCandidate(WithTimeLeft(active, now_), active.idempotent,
                           reason)) {
    return;
  }
  RefuseActive(active, reason);
}

void AgentCoreImpl::RefuseActive(const ActiveRequest& active, Reason reason) {
  const RequestId id = std::get<Request>(active.forward.message).request_id;
  if (LedgerEntry* entry = ledger_.Find(id)) {
    entry->state = RequestState::kRefused;
    entry->reason = reason;
  }
  const Outcome outcome =
      active.may_have_run ? Outcome::kOutcomeUnknown : Outcome::kNotRun;
  SendOutcome(active.forward, id, outcome, reason);
}

void AgentCoreImpl::CancelTimedOutRuns() {
  for (auto& [id, active] : active_) {
    // A non-idempotent run may still succeed, so it is not cancelled.
    if (!active->running || !active->idempotent || active->cancel_sent ||
        now_ <= active->deadline) {
      continue;
    }
    active->cancel_sent = true;
    actions_.push_back(CancelRun{active->run});
  }
}

std::unique_ptr<ActiveRequest> AgentCoreImpl::TakeActive(const RequestId& id) {
  const auto found = active_.find(id);
  std::unique_ptr<ActiveRequest> active = std::move(found->second);
  active_.erase(found);
  return active;
}

}  // namespace skylarkshunt
