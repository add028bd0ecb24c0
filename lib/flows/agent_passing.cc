#include <algorithm>
#include <random>
#include <utility>

#include "flows/agent_core_impl.h"

namespace skylarkshunt {
namespace {

/// The last candidate returns a message only to an agent whose load is lower by
/// at least this, in thousandths of a slot, because the extra hop has a cost.
constexpr uint32_t kMinLoadDifference = 250;

}  // namespace

bool AgentCoreImpl::IsLastHop(const Forward& forward) const {
  return forward.final_hop || forward.hops >= kMaxHops;
}

bool AgentCoreImpl::ForwardToNext(const Forward& forward) {
  const size_t next = size_t{forward.position} + 1;
  if (IsLastHop(forward) || next >= forward.candidates.size())
    return false;
  SendTo(forward, next);
  return true;
}

// With `only_onward`, only the first agent may forward to an earlier candidate.
// This keeps messages whose binding may have expired from looping between the
// bound agent and the rest of the list.
bool AgentCoreImpl::ForwardToBound(const Forward& forward,
                                   const Binding& binding,
                                   bool only_onward) {
  if (binding.target_uid == options_.uid || IsLastHop(forward))
    return false;
  const bool from_here = only_onward && forward.hops > 0;
  const size_t first = from_here ? size_t{forward.position} + 1 : 0;
  for (size_t i = first; i < forward.candidates.size(); ++i) {
    if (forward.candidates[i].uid != binding.target_uid)
      continue;
    // This agent now has the address of the bound target.
    if (i == forward.position)
      return false;
    SendTo(forward, i);
    return true;
  }
  return false;
}

bool AgentCoreImpl::ForwardForLoad(const Forward& forward) {
  Forward forwarded = forward;
  const uint16_t load = Load();
  if (load < forwarded.lowest_load) {
    forwarded.lowest_load = load;
    forwarded.lowest_index = forward.position;
  }
  return ForwardToNext(forwarded);
}

bool AgentCoreImpl::ReturnToLowestLoad(const Forward& forward) {
  if (IsLastHop(forward) || forward.lowest_load == kLoadFull ||
      forward.lowest_index >= forward.candidates.size() ||
      forward.lowest_index == forward.position) {
    return false;
  }
  if (forward.lowest_load + kMinLoadDifference > Load())
    return false;
  Forward back = forward;
  back.final_hop = true;
  SendTo(std::move(back), forward.lowest_index);
  return true;
}

// Sends a request that is not running to a random other candidate, which must
// accept or refuse it. A non-idempotent request must be in the ledger, which
// records it as transferred before the message is sent. Returns false when the
// request cannot be moved.
bool AgentCoreImpl::MoveToOtherCandidate(const Forward& forward,
                                         bool idempotent,
                                         Reason reason) {
  if (IsLastHop(forward) || forward.transfer.has_value() ||
      options_.policy.no_second_candidate) {
    return false;
  }
  absl::InlinedVector<size_t, kMaxCandidates> others;
  for (size_t i = 0; i < forward.candidates.size(); ++i) {
    if (forward.candidates[i].uid != options_.uid && i != forward.position)
      others.push_back(i);
  }
  if (others.empty())
    return false;
  std::uniform_int_distribution<size_t> draw(0, others.size() - 1);
  const size_t index = others[draw(random_)];
  Forward forwarded = forward;
  forwarded.final_hop = true;
  if (!idempotent) {
    const Request& request = std::get<Request>(forward.message);
    LedgerEntry* entry = ledger_.Find(request.request_id);
    if (entry == nullptr || !request.binding.has_value())
      return false;
    const Candidate& to = forward.candidates[index];
    const Transfer transfer{options_.uid, request.binding->incarnation, to.uid,
                            to.incarnation};
    entry->state = RequestState::kTransferred;
    entry->transfer =
        std::make_unique<TransferRecord>(TransferRecord{transfer, to.data});
    forwarded.transfer = transfer;
    ++stats_.transferred;
    RecordDecision(Decision::kTransferred, request.request_id,
                   MakeFlowKey(options_.service, request.flow_id), reason,
                   to.uid);
  }
  SendTo(std::move(forwarded), index);
  return true;
}

void AgentCoreImpl::SendTransferred(const Forward& forward,
                                    const TransferRecord& record) {
  // A message that carries a transfer has already reached its receiver.
  if (forward.transfer.has_value() || forward.hops >= kMaxHops)
    return;
  Forward forwarded = forward;
  forwarded.transfer = record.transfer;
  forwarded.final_hop = true;
  forwarded.sender = incarnation();
  forwarded.revision = revision_;
  ++forwarded.hops;
  for (size_t i = 0; i < forwarded.candidates.size(); ++i) {
    if (forwarded.candidates[i].uid == record.transfer.to)
      forwarded.position = static_cast<uint8_t>(i);
  }
  ++stats_.passed_on;
  actions_.push_back(SendForward{record.agent, std::move(forwarded)});
}

void AgentCoreImpl::SendTo(Forward forward, size_t index) {
  const Candidate to = forward.candidates[index];
  forward.sender = incarnation();
  forward.revision = revision_;
  forward.position = static_cast<uint8_t>(index);
  ++forward.hops;
  ++stats_.passed_on;
  if (const auto* request = std::get_if<Request>(&forward.message)) {
    RecordDecision(Decision::kForwarded, request->request_id,
                   MakeFlowKey(options_.service, request->flow_id),
                   Reason::kNone, to.uid);
  }
  actions_.push_back(SendForward{to.data, std::move(forward)});
}

}  // namespace skylarkshunt
