#include <algorithm>
#include <utility>

#include "flows/agent_core_impl.h"

namespace skylarkshunt {
namespace {

uint64_t FlowIdOf(const CallerMessage& message) {
  return std::visit([](const auto& m) { return m.flow_id; }, message);
}

constexpr absl::Duration kShortestRetryDelay = absl::Milliseconds(50);
constexpr absl::Duration kLongestRetryDelay = absl::Seconds(5);
constexpr uint32_t kUnavailableRetryMs = 1000;

}  // namespace

void AgentCoreImpl::SendAnswer(const Forward& forward, Answer answer) {
  Reply reply;
  reply.sender_uid = options_.uid;
  reply.sender = incarnation();
  reply.service = options_.service;
  reply.revision = revision_;
  reply.caller = forward.caller;
  reply.load = Load();
  reply.answer = std::move(answer);
  actions_.push_back(SendReply{forward.entry, std::move(reply)});
}

void AgentCoreImpl::SendOutcome(const Forward& forward,
                                const RequestId& id,
                                Outcome outcome,
                                Reason reason,
                                absl::optional<Binding> binding) {
  const FlowKey flow = MakeFlowKey(options_.service, FlowIdOf(forward.message));
  Answer answer;
  answer.request_id = id;
  // "Not run" proves nothing for an idempotent request: another copy may have
  // reached another agent.
  if (outcome == Outcome::kNotRun && IsIdempotent(forward.message))
    outcome = Outcome::kRefused;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.binding = binding;
  if (outcome == Outcome::kNotRun || outcome == Outcome::kRefused) {
    ++stats_.refused;
    answer.retry_after_ms = RetryAfterMs(reason);
    RecordDecision(Decision::kRequestRefused, id, flow, reason);
  }
  if (outcome == Outcome::kBind && reason != Reason::kNone)
    RecordDecision(Decision::kRequestRefused, id, flow, reason);
  if (outcome == Outcome::kOutcomeUnknown) {
    ++stats_.outcome_unknown;
    RecordDecision(Decision::kOutcomeUnknown, id, flow, reason);
  }
  SendAnswer(forward, std::move(answer));
}

bool AgentCoreImpl::IsIdempotent(const CallerMessage& message) const {
  const auto* request = std::get_if<Request>(&message);
  if (request == nullptr)
    return false;
  const KindConfig* kind = FindKind(request->kind);
  return kind != nullptr && kind->idempotent;
}

void AgentCoreImpl::SendChunks(const Forward& forward,
                               const StoredAnswer& answer,
                               uint32_t first,
                               uint32_t count,
                               const absl::optional<Binding>& binding) {
  for (Answer& chunk : MakeChunks(answer, first, count)) {
    chunk.binding = binding;
    SendAnswer(forward, std::move(chunk));
  }
}

// Returns the flow's binding if it differs from the caller's binding `held`,
// else nullopt. First issues a new one if the flow's binding is invalid or half
// of its lifetime (kBindingRenewAge) has passed.
absl::optional<Binding> AgentCoreImpl::RenewedBinding(
    FlowKey key,
    const absl::optional<Binding>& held) {
  FlowTable::Flow* flow = flows_.Find(key);
  if (flow == nullptr || drain_limit_passed())
    return absl::nullopt;
  const bool fresh =
      bindings_.Check(now_, flow->binding) == Bindings::State::kValid &&
      now_ < absl::FromUnixMillis(flow->binding.issued_ms) + kBindingRenewAge;
  if (!fresh)
    flow->binding = bindings_.Issue(now_);
  if (held == flow->binding)
    return absl::nullopt;
  return flow->binding;
}

uint32_t AgentCoreImpl::RetryAfterMs(Reason reason) const {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kDeadline:
      return static_cast<uint32_t>(absl::ToInt64Milliseconds(
          std::clamp(queue_.ExpectedStart(now_, "") - now_, kShortestRetryDelay,
                     kLongestRetryDelay)));
    case Reason::kFlowLimit:
    case Reason::kLedgerFull:
    case Reason::kTargetUnreachable:
      return kUnavailableRetryMs;
    default:
      return 0;
  }
}

void AgentCoreImpl::OnFetch(const Forward& forward, const Fetch& fetch) {
  const RequestId& id = fetch.request_id;
  const bool is_local = forward.service == options_.service;
  if (is_local && active_.contains(id))
    return;
  if (const StoredAnswer* answer = is_local ? answers_.Find(id) : nullptr) {
    return SendChunks(forward, *answer, fetch.first_chunk, fetch.chunk_count,
                      absl::nullopt);
  }
  if (const LedgerEntry* entry = is_local ? ledger_.Find(id) : nullptr)
    return ReplyFromLedger(forward, id, *entry);
  if (is_local && answers_.WasDropped(id))
    return SendOutcome(forward, id, Outcome::kAnswerGone, Reason::kNone);
  if (fetch.binding.has_value() &&
      ForwardToBound(forward, *fetch.binding, true))
    return;
  if (ForwardToNext(forward))
    return;
  SendOutcome(forward, id, Outcome::kOutcomeUnknown, Reason::kFlowUnknown);
}

void AgentCoreImpl::OnDone(const Forward& forward, const Done& done) {
  const RequestId& id = done.request_id;
  const bool is_local = forward.service == options_.service;
  if (is_local && answers_.Find(id) != nullptr)
    return answers_.Drop(now_, id);
  const LedgerEntry* entry = is_local ? ledger_.Find(id) : nullptr;
  if (entry != nullptr && entry->state == RequestState::kTransferred)
    return SendTransferred(forward, *entry->transfer);
  if (entry != nullptr || (is_local && answers_.WasDropped(id)))
    return;
  if (done.binding.has_value() && ForwardToBound(forward, *done.binding, true))
    return;
  ForwardToNext(forward);
}

void AgentCoreImpl::OnClose(const Forward& forward, const Close& close) {
  const FlowKey flow = MakeFlowKey(options_.service, close.flow_id);
  if (forward.service == options_.service && flows_.Find(flow) != nullptr)
    return flows_.Remove(flow);
  if (close.binding.has_value() &&
      ForwardToBound(forward, *close.binding, true))
    return;
  ForwardToNext(forward);
}

}  // namespace skylarkshunt
