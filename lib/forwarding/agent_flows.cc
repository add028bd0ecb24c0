#include "skylarkshunt/forwarding/agent_flows.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace skylarkshunt {
namespace {

/// Maximum number of flows that an agent tracks.
constexpr size_t kMaxFlows = 32'768;
/// Time for which an ended flow is kept for the last packets of both ends.
constexpr absl::Duration kEndedLifetime = absl::Seconds(5);
/// Time without packets after which a flow is removed. In the deployments a
/// flow ends after at most 60 s, and earlier if it is idle.
constexpr absl::Duration kIdleLifetime = absl::Seconds(70);
/// An acknowledgement less than this above a sequence number of the target
/// belongs to the same flow. The client's packets fall within the 16 packets
/// that a target sends ahead, and the sequences of other targets' grants are
/// random.
constexpr uint32_t kSequenceWindow = 1U << 17;
/// Weight of a new sample in the average handshake time.
constexpr double kHandshakeWeight = 0.05;
/// A request without an answer for this long counts as failed. The bound is
/// longer than any latency objective of the deployments. The factor is below
/// the one at which ServiceTimeModel raises its estimate.
constexpr absl::Duration kMinAnswerTimeout = absl::Seconds(1);
constexpr double kAnswerTimeoutFactor = 6.0;
/// A request whose client has ended its side counts as finished after this time
/// without packets.
constexpr absl::Duration kAbandonedTimeout = absl::Seconds(1);

bool FollowsSequence(uint32_t acknowledged, uint32_t initial) {
  return acknowledged - initial < kSequenceWindow;
}

bool IsAfter(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

bool IsInTargetRange(const AgentFlows::Flow& flow, uint32_t sequence) {
  const uint32_t length = flow.target_range_end - flow.target_range_begin;
  return sequence - flow.target_range_begin < length + kSequenceWindow;
}

}  // namespace

AgentFlows::Flow* AgentFlows::Find(const FlowId& id) {
  const auto known = flows_.find(id);
  return known == flows_.end() ? nullptr : &known->second;
}

bool AgentFlows::is_full() const {
  return flows_.size() >= kMaxFlows;
}

void AgentFlows::Open(const FlowId& id,
                      Endpoint entry,
                      RequestKind kind,
                      uint32_t sequence,
                      absl::Time now) {
  Erase(id);
  Flow& flow = flows_[id];
  flow.entry = entry;
  flow.kind = kind;
  flow.client_sequence = sequence;
  flow.client_sequence_known = true;
  flow.used = now;
  flow.opened = now;
  flow.requested = now;
  flow.busy_before = busy_;
  ++open_;
  BeginRequest(id, flow, now);
}

bool AgentFlows::IsOpenedBy(const FlowId& id, uint32_t sequence) const {
  const auto known = flows_.find(id);
  if (known == flows_.end())
    return false;
  const Flow& flow = known->second;
  return flow.client_sequence_known ? flow.client_sequence == sequence
                                    : flow.phase != Phase::kEnded;
}

void AgentFlows::Adopt(const FlowId& id,
                       const PacketHeader& header,
                       absl::Time now) {
  Flow& flow = flows_[id];
  flow.used = now;
  flow.answered = now;
  ++open_;
  if (header.opening) {
    RecordGrant(flow, header, now);
    return;
  }
  flow.phase = Phase::kOpen;
  flow.confirmed = true;
  ExtendTargetRange(flow, header);
  // The target has what it acknowledges and may have answered it already, so
  // that a retransmission of it is no request. The outcome is unknown.
  flow.client_next = header.acknowledged;
  flow.client_next_known = header.acknowledges;
  flow.timed_out = true;
}

void AgentFlows::RecordGrant(Flow& flow,
                             const PacketHeader& header,
                             absl::Time now) {
  flow.used = now;
  flow.answered = now;
  if (flow.confirmed) {
    if (!flow.target_range_known || IsInTargetRange(flow, header.sequence))
      return;
    SetBusy(flow, false);
    if (flow.phase == Phase::kEnded)
      ++open_;
    Flow later;
    later.entry = flow.entry;
    later.kind = flow.kind;
    later.used = now;
    later.answered = now;
    flow = later;
    // The range stays unknown, so that the target decides about packets of
    // either flow.
    flow.target_sequence = header.sequence;
    flow.target_sequence_known = true;
    return;
  }
  flow.target_sequence = header.sequence;
  flow.target_sequence_known = true;
  flow.target_range_known = true;
  flow.target_range_begin = header.sequence;
  flow.target_range_end = header.sequence;
}

void AgentFlows::RecordClientPacket(Flow& flow,
                                    const PacketHeader& header,
                                    absl::Time now) {
  flow.used = now;
  if (header.acknowledges) {
    flow.client_expects = header.acknowledged;
    flow.confirmed = flow.confirmed || (flow.target_sequence_known &&
                                        FollowsSequence(header.acknowledged,
                                                        flow.target_sequence));
  }
  if (flow.phase == Phase::kOpening)
    flow.phase = Phase::kOpen;
  if (header.payload_bytes > 0) {
    const uint32_t end = header.sequence + header.payload_bytes;
    const bool fresh =
        !flow.client_next_known || IsAfter(end, flow.client_next);
    if (fresh) {
      if (!flow.client_next_known && flow.opened != absl::Time())
        handshake_time_ +=
            kHandshakeWeight * (now - flow.opened - handshake_time_);
      if (flow.client_next_known && !flow.busy && !flow.target_ended)
        RecordAnswerEnd(header.flow_from_client(), flow, now);
      flow.answer_begin = header.acknowledged;
      flow.answer_end = header.acknowledged;
      flow.timed_out = false;
      flow.client_next = end;
      flow.client_next_known = true;
      flow.requested = now;
      if (!flow.busy)
        flow.busy_before = busy_;
      BeginRequest(header.flow_from_client(), flow, now);
      work_.OnRequest(flow.work, now);
    }
  }
  if (header.ending)
    flow.client_ended = true;
  const bool over = header.reset || (flow.client_ended && flow.target_ended);
  if (over && flow.phase != Phase::kEnded) {
    SetEnded(flow);
    SetBusy(flow, false);
  }
}

absl::optional<absl::Duration> AgentFlows::RecordTargetPacket(
    const FlowId& id,
    Flow& flow,
    const PacketHeader& header,
    uint32_t slots,
    absl::Time now) {
  flow.used = now;
  flow.answered = now;
  flow.confirmed = true;
  ExtendTargetRange(flow, header);
  // The packets of an answer arrive in any order, often the last one first.
  const bool answers = header.payload_bytes > 0 || header.ending;
  absl::optional<absl::Duration> answered_after;
  if (answers && flow.busy) {
    answered_after = now - flow.requested;
    work_.OnAnswer(flow.work, now);
    service_time_.Record(*answered_after, flow.busy_before, slots, now);
  }
  const uint32_t end = header.sequence + header.payload_bytes;
  if (answers && IsAfter(end, flow.answer_end))
    flow.answer_end = end;
  const bool unfinished = flow.phase == Phase::kOpen && flow.client_next_known;
  if (header.reset && unfinished && !flow.target_ended && !flow.timed_out)
    outcomes_.RecordFailure(now);
  if (answers || header.reset)
    SetBusy(flow, false);
  if (header.ending) {
    if (unfinished && !flow.target_ended)
      RecordAnswerEnd(id, flow, now);
    flow.target_ended = true;
  }
  const bool over = header.reset || (flow.client_ended && flow.target_ended);
  if (over && flow.phase != Phase::kEnded)
    SetEnded(flow);
  return answered_after;
}

void AgentFlows::RecordAnswerEnd(const FlowId& id,
                                 const Flow& flow,
                                 absl::Time now) {
  // An empty answer is the end of an unused flow.
  if (flow.answer_end == flow.answer_begin || flow.timed_out)
    return;
  outcomes_.RecordAnswer(id.service, flow.answer_end - flow.answer_begin, now);
}

void AgentFlows::RecordUnanswered(Flow& flow, absl::Time now) {
  const absl::Duration elapsed = now - flow.requested;
  const absl::Duration usual = service_time_.estimate(now);
  service_time_.RecordUnanswered(elapsed, now);
  if (flow.timed_out ||
      elapsed < std::max(kMinAnswerTimeout, kAnswerTimeoutFactor * usual)) {
    return;
  }
  flow.timed_out = true;
  outcomes_.RecordFailure(now);
}

void AgentFlows::StopAwaitingRequest(const FlowId& id) {
  Flow* flow = Find(id);
  if (flow != nullptr && flow->phase == Phase::kOpening)
    SetBusy(*flow, false);
}

void AgentFlows::ResetTargetModels() {
  service_time_.Reset();
  work_.Reset();
  outcomes_.Reset();
}

void AgentFlows::Sweep(absl::Time now) {
  std::vector<FlowId> expired;
  for (auto& [id, flow] : flows_) {
    const absl::Duration age = now - flow.used;
    const absl::Duration lifetime =
        flow.phase == Phase::kEnded ? kEndedLifetime : kIdleLifetime;
    if (age > lifetime)
      expired.push_back(id);
    if (flow.busy && flow.phase == Phase::kOpen)
      RecordUnanswered(flow, now);
    if (flow.client_ended && age > kAbandonedTimeout)
      SetBusy(flow, false);
  }
  for (const FlowId& id : expired)
    Erase(id);
}

bool AgentFlows::AcknowledgesOtherTarget(const Flow& flow,
                                         const PacketHeader& header) {
  return header.acknowledges && flow.target_range_known &&
         !IsInTargetRange(flow, header.acknowledged);
}

void AgentFlows::ExtendTargetRange(Flow& flow, const PacketHeader& header) {
  if (header.reset || (header.payload_bytes == 0 && !header.ending))
    return;
  const uint32_t end = header.sequence + header.payload_bytes;
  if (!flow.target_range_known) {
    flow.target_range_known = true;
    flow.target_range_begin = header.sequence - kSequenceWindow;
    flow.target_range_end = end;
  } else if (IsAfter(end, flow.target_range_end)) {
    flow.target_range_end = end;
  }
}

void AgentFlows::SetBusy(Flow& flow, bool busy) {
  if (flow.busy == busy)
    return;
  flow.busy = busy;
  busy_ += busy ? 1 : -1;
  if (!busy)
    work_.End(std::exchange(flow.work, 0));
}

void AgentFlows::BeginRequest(const FlowId& id, Flow& flow, absl::Time now) {
  if (!flow.busy)
    flow.work = work_.Begin(id.service, now);
  SetBusy(flow, true);
}

void AgentFlows::SetEnded(Flow& flow) {
  flow.phase = Phase::kEnded;
  --open_;
}

void AgentFlows::Erase(const FlowId& id) {
  const auto known = flows_.find(id);
  if (known == flows_.end())
    return;
  SetBusy(known->second, false);
  if (known->second.phase != Phase::kEnded)
    --open_;
  flows_.erase(known);
}

}  // namespace skylarkshunt
