#include <utility>

#include "flows/agent_core_impl.h"

namespace skylarkshunt {

void AgentCoreImpl::OnRequest(const Forward& forward, const Request& request) {
  if (forward.service != options_.service)
    return RefuseUnserved(forward, request, Reason::kWrongInstance);
  if (ReplyIfKnown(forward, request))
    return;
  if (!config_.has_value())
    return RefuseUnserved(forward, request, Reason::kNoTarget);
  const KindConfig* kind = FindKind(request.kind);
  if (kind == nullptr)
    return RefuseUnserved(forward, request, Reason::kUnknownKind);
  if (kind->idempotent)
    OnIdempotent(forward, request, *kind);
  else
    OnNonIdempotent(forward, request, *kind);
}

bool AgentCoreImpl::ReplyIfKnown(const Forward& forward,
                                 const Request& request) {
  const RequestId& id = request.request_id;
  const FlowKey flow = MakeFlowKey(options_.service, request.flow_id);
  const auto active = active_.find(id);
  if (active != active_.end()) {
    // The entry that forwarded the first copy may have exited.
    active->second->forward.entry = forward.entry;
    active->second->forward.caller = forward.caller;
    ++stats_.repeats;
    RecordDecision(Decision::kRetransmissionIgnored, id, flow);
    SendOutcome(forward, id, Outcome::kPending, Reason::kNone,
                RenewedBinding(flow, request.binding));
    return true;
  }
  if (const StoredAnswer* answer = answers_.Find(id)) {
    ++stats_.repeats;
    SendChunks(forward, *answer, 0, kMaxChunksPerFetch,
               RenewedBinding(flow, request.binding));
    return true;
  }
  if (const LedgerEntry* entry = ledger_.Find(id)) {
    ++stats_.repeats;
    ReplyFromLedger(forward, id, *entry);
    return true;
  }
  if (!answers_.WasDropped(id))
    return false;
  ++stats_.repeats;
  SendOutcome(forward, id, Outcome::kAnswerGone, Reason::kNone);
  return true;
}

// Also answers a Fetch. Call after the answer store has no answer for `id`.
void AgentCoreImpl::ReplyFromLedger(const Forward& forward,
                                    const RequestId& id,
                                    const LedgerEntry& entry) {
  switch (entry.state) {
    case RequestState::kQueued:
    case RequestState::kRunning:
      return;
    case RequestState::kDone:
      return SendOutcome(forward, id, Outcome::kAnswerGone, Reason::kNone);
    case RequestState::kRefused:
      return SendOutcome(forward, id, Outcome::kNotRun, entry.reason);
    case RequestState::kTransferred:
      return SendTransferred(forward, *entry.transfer);
    case RequestState::kUnknown:
      return SendOutcome(forward, id, Outcome::kOutcomeUnknown, entry.reason);
  }
}

// Refuses or forwards a request whose service or kind is unknown at this agent.
void AgentCoreImpl::RefuseUnserved(const Forward& forward,
                                   const Request& request,
                                   Reason reason) {
  const RequestId& id = request.request_id;
  const KindConfig* kind = nullptr;
  if (config_.has_value() && config_->name == request.service)
    kind = FindKind(request.kind);
  const bool bound = request.binding.has_value();
  if (bound && IsRefusalBinding(*request.binding))
    return SendOutcome(forward, id, Outcome::kNotRun, reason);
  if (bound && ForwardToBound(forward, *request.binding, true))
    return;
  if (!bound && ForwardToNext(forward))
    return;
  if (kind != nullptr && kind->idempotent)
    return SendOutcome(forward, id, Outcome::kNotRun, reason);
  if (!bound) {
    return SendOutcome(forward, id, Outcome::kBind, reason,
                       bindings_.IssueRefusal());
  }
  const bool valid_here =
      forward.service == options_.service && !forward.transfer.has_value() &&
      bindings_.Check(now_, *request.binding) == Bindings::State::kValid;
  LedgerEntry* entry =
      valid_here
          ? ledger_.Insert(now_, id,
                           absl::FromUnixMillis(request.binding->issued_ms))
          : nullptr;
  if (entry == nullptr)
    return SendOutcome(forward, id, Outcome::kOutcomeUnknown, reason);
  entry->state = RequestState::kRefused;
  entry->reason = reason;
  SendOutcome(forward, id, Outcome::kNotRun, reason);
}

void AgentCoreImpl::OnIdempotent(const Forward& forward,
                                 const Request& request,
                                 const KindConfig& kind) {
  if (!request.binding.has_value())
    return OnUnbound(forward, request, kind);
  if (ForwardToBound(forward, *request.binding, true))
    return;
  const bool valid =
      bindings_.Check(now_, *request.binding) == Bindings::State::kValid;
  const FlowKey flow = MakeFlowKey(options_.service, request.flow_id);
  const bool stays =
      !drain_limit_passed() && (valid || flows_.Find(flow) != nullptr);
  if (stays && health_.state() != TargetHealth::State::kEjected)
    return Admit(forward, request, kind);
  SearchCandidates(forward, request, kind);
}

void AgentCoreImpl::OnNonIdempotent(const Forward& forward,
                                    const Request& request,
                                    const KindConfig& kind) {
  const RequestId& id = request.request_id;
  if (!request.binding.has_value())
    return OnUnbound(forward, request, kind);
  if (IsRefusalBinding(*request.binding))
    return SendOutcome(forward, id, Outcome::kNotRun, RefusalReason());
  if (forward.transfer.has_value())
    return OnTransferred(forward, request, kind);
  if (ForwardToBound(forward, *request.binding, false))
    return;
  switch (bindings_.Check(now_, *request.binding)) {
    case Bindings::State::kForeign:
      return SendOutcome(forward, id, Outcome::kOutcomeUnknown,
                         Reason::kWrongInstance);
    case Bindings::State::kExpired:
      return SendOutcome(forward, id, Outcome::kOutcomeUnknown,
                         Reason::kExpiredBinding);
    case Bindings::State::kRevoked:
      return RefuseRevoked(forward, request);
    case Bindings::State::kValid:
      return AcceptBound(forward, request, kind);
  }
}

// Every non-idempotent request that runs is admitted here, including those of
// OnTransferred(). It is in the ledger from this point on.
void AgentCoreImpl::AcceptBound(const Forward& forward,
                                const Request& request,
                                const KindConfig& kind) {
  const absl::Time issued = absl::FromUnixMillis(request.binding->issued_ms);
  if (ledger_.Insert(now_, request.request_id, issued) == nullptr)
    return OnLedgerFull(forward, request);
  Admit(forward, request, kind);
}

void AgentCoreImpl::OnLedgerFull(const Forward& forward,
                                 const Request& request) {
  bindings_.RevokeAll(now_);
  transfers_revoked_through_ms_ = ToIssuedMs(now_);
  RecordDecision(Decision::kBindingsRevoked, request.request_id, {},
                 Reason::kLedgerFull);
  const bool refused_for_good =
      !forward.transfer.has_value() ||
      request.binding->issued_ms <= transfers_revoked_through_ms_;
  SendOutcome(forward, request.request_id,
              refused_for_good ? Outcome::kNotRun : Outcome::kOutcomeUnknown,
              Reason::kLedgerFull);
}

// A request under a revoked binding that is not in the ledger has never run and
// never will. The refusal is recorded when the ledger has room, in case the
// caller sends the request again under another binding.
void AgentCoreImpl::RefuseRevoked(const Forward& forward,
                                  const Request& request) {
  LedgerEntry* entry =
      ledger_.Insert(now_, request.request_id,
                     absl::FromUnixMillis(request.binding->issued_ms));
  if (entry != nullptr) {
    entry->state = RequestState::kRefused;
    entry->reason = Reason::kRebind;
  }
  SendOutcome(forward, request.request_id, Outcome::kNotRun, Reason::kRebind);
}

// The sending agent never runs the request again and names only this
// incarnation as receiver. The binding is checked against the local clock,
// which also decides how long the ledger keeps the request. A late copy
// therefore never runs again, regardless of the clock of the sending agent.
void AgentCoreImpl::OnTransferred(const Forward& forward,
                                  const Request& request,
                                  const KindConfig& kind) {
  const RequestId& id = request.request_id;
  const Transfer& transfer = *forward.transfer;
  const Binding& binding = *request.binding;
  const bool for_this_agent = transfer.to == options_.uid &&
                              transfer.to_incarnation == incarnation() &&
                              transfer.from == binding.target_uid &&
                              transfer.from_incarnation == binding.incarnation;
  if (!for_this_agent) {
    return SendOutcome(forward, id, Outcome::kOutcomeUnknown,
                       Reason::kWrongInstance);
  }
  const absl::Time issued = absl::FromUnixMillis(binding.issued_ms);
  if (IsExpired(now_, binding.issued_ms) || issued > now_ + kMaxClockAhead) {
    return SendOutcome(forward, id, Outcome::kOutcomeUnknown,
                       Reason::kExpiredBinding);
  }
  if (binding.issued_ms <= transfers_revoked_through_ms_)
    return RefuseRevoked(forward, request);
  AcceptBound(forward, request, kind);
}

void AgentCoreImpl::OnUnbound(const Forward& forward,
                              const Request& request,
                              const KindConfig& kind) {
  const FlowKey flow = MakeFlowKey(options_.service, request.flow_id);
  const bool known = flows_.Find(flow) != nullptr;
  if (!known && !request.opening) {
    if (!ForwardToNext(forward))
      RefuseNewFlow(forward, request, kind, Reason::kFlowUnknown);
    return;
  }
  const bool stays = known && !drain_limit_passed() &&
                     health_.state() != TargetHealth::State::kEjected;
  if (!stays) {
    // The flow moves, and no other agent has state for it. The request must
    // therefore open it there.
    Forward opening = forward;
    std::get<Request>(opening.message).opening = true;
    return SearchCandidates(opening, request, kind);
  }
  if (kind.idempotent)
    return Admit(forward, request, kind);
  SendBind(forward, request);
}

// Searches the candidates for the agent that takes a new flow: the first with a
// free slot, else the one with the lowest load. The last candidate makes that
// choice.
void AgentCoreImpl::SearchCandidates(const Forward& forward,
                                     const Request& request,
                                     const KindConfig& kind) {
  const bool takes = TakesNewFlows();
  if (takes && queue_.HasFreeSlot(kind.name))
    return AcceptOrRefuse(forward, request, kind);
  if (takes && options_.policy.no_second_candidate)
    return AcceptOrRefuse(forward, request, kind);
  if (ForwardForLoad(forward) || ReturnToLowestLoad(forward))
    return;
  AcceptOrRefuse(forward, request, kind);
}

void AgentCoreImpl::AcceptOrRefuse(const Forward& forward,
                                   const Request& request,
                                   const KindConfig& kind) {
  if (!TakesNewFlows()) {
    const bool moves = kind.idempotent && request.binding.has_value();
    if (moves && MoveToOtherCandidate(forward, true, RefusalReason()))
      return;
    return RefuseNewFlow(forward, request, kind, RefusalReason());
  }
  const FlowKey flow = MakeFlowKey(options_.service, request.flow_id);
  flows_.Touch(now_, flow, false);
  RecordDecision(Decision::kFlowAccepted, request.request_id, flow);
  if (kind.idempotent)
    return Admit(forward, request, kind);
  SendBind(forward, request);
}

Reason AgentCoreImpl::RefusalReason() const {
  if (draining())
    return Reason::kDraining;
  if (health_.state() == TargetHealth::State::kEjected)
    return Reason::kTargetUnreachable;
  if (flows_.full())
    return Reason::kFlowLimit;
  return Reason::kRebind;
}

void AgentCoreImpl::RefuseNewFlow(const Forward& forward,
                                  const Request& request,
                                  const KindConfig& kind,
                                  Reason reason) {
  const RequestId& id = request.request_id;
  if (kind.idempotent)
    return SendOutcome(forward, id, Outcome::kNotRun, reason);
  SendOutcome(forward, id, Outcome::kBind, reason, bindings_.IssueRefusal());
}

void AgentCoreImpl::SendBind(const Forward& forward, const Request& request) {
  const FlowKey flow = MakeFlowKey(options_.service, request.flow_id);
  flows_.Touch(now_, flow, false);
  RecordDecision(Decision::kBindingIssued, request.request_id, flow);
  SendOutcome(forward, request.request_id, Outcome::kBind, Reason::kNone,
              RenewedBinding(flow, absl::nullopt));
}

}  // namespace skylarkshunt
