#include "standins/flow_simulation/simulated_target.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kLinkDelay = absl::Microseconds(100);
constexpr absl::Duration kFirstRetransmission = absl::Milliseconds(200);
constexpr absl::Duration kLongestRetransmission = absl::Milliseconds(1600);
constexpr int kMaxRetransmissions = 8;
/// Requests that wait beyond the slots, as a multiple of these.
constexpr size_t kQueueFactor = 3;
/// Flows that a target holds, of which it keeps the ended ones to its end.
constexpr size_t kMaxOpenFlows = 200;
/// Time after which a granted flow without a packet is discarded.
constexpr absl::Duration kHalfOpenLifetime = absl::Seconds(5);
/// A new life is slower by this factor for some seconds.
constexpr double kColdFactor = 2.0;
constexpr absl::Duration kColdTime = absl::Seconds(2);
/// Share of the restarts that keep the id.
constexpr double kSameIdShare = 0.2;

PacketHeader HeaderFrom(const FlowId& flow) {
  PacketHeader header;
  header.source = flow.service;
  header.destination = flow.client;
  header.acknowledges = true;
  return header;
}

bool IsAfter(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

}  // namespace

SimulatedTarget::SimulatedTarget(SimulationContext& context,
                                 size_t index,
                                 std::string service,
                                 Outputs outputs)
    : context_(context),
      actor_{ActorKind::kTarget, index},
      service_(std::move(service)),
      outputs_(std::move(outputs)) {}

void SimulatedTarget::Start(absl::Duration first_report) {
  if (running_)
    return;
  running_ = true;
  context_.Log("start", actor_);
  draining_ = false;
  ++life_;
  if (id_ == 0 || !context_.random.Chance(kSameIdShare))
    ++id_;
  born_ms_ = absl::ToUnixMillis(context_.events.now());
  report_sequence_ = 0;
  ScheduleReport(first_report);
}

void SimulatedTarget::Crash() {
  if (!running_)
    return;
  running_ = false;
  ++life_;
  context_.Log("end", actor_);
  flows_.clear();
  waiting_.clear();
  working_ = 0;
  granted_ = 0;
  context_.judge.OnTargetEnded(actor_.index);
}

void SimulatedTarget::Drain(absl::Duration time) {
  if (!running_ || draining_)
    return;
  draining_ = true;
  ScheduleReport(absl::ZeroDuration());
  AfterInThisLife(time, [this] {
    outputs_.left(absl::StrCat("i-", actor_.index, "-", id_));
    Crash();
  });
}

void SimulatedTarget::AfterInThisLife(absl::Duration delay,
                                      std::function<void()> run) {
  context_.events.After(delay, [this, life = life_, run = std::move(run)] {
    if (life == life_)
      run();
  });
}

void SimulatedTarget::ScheduleReport(absl::Duration delay) {
  AfterInThisLife(delay, [this, draining = draining_] {
    if (draining != draining_)
      return;
    TargetReport report;
    report.id = absl::StrCat("i-", actor_.index, "-", id_);
    report.service = service_;
    report.started_unix_ms = born_ms_;
    report.started = absl::FromUnixMillis(born_ms_);
    report.sequence = ++report_sequence_;
    report.slots = context_.options.slots;
    report.draining = draining_;
    outputs_.report(report);
    ScheduleReport(kReportInterval);
  });
}

void SimulatedTarget::Receive(const PacketHeader& header) {
  context_.events.After(kLinkDelay, [this, header] {
    const FlowId id = header.flow_from_client();
    context_.judge.OnDelivered(id, actor_.index);
    if (running_)
      OnPacket(header);
    else
      Return(header);
  });
}

void SimulatedTarget::Return(PacketHeader header) {
  context_.Record(header.flow_from_client(), actor_, "returns");
  header.returned = true;
  context_.events.After(kLinkDelay,
                        [this, header] { outputs_.packet(header); });
}

void SimulatedTarget::OnPacket(const PacketHeader& header) {
  const FlowId id = header.flow_from_client();
  if (header.opening) {
    OnOpening(id, header);
    return;
  }
  const auto found = flows_.find(id);
  if (found == flows_.end() ||
      (!found->second.open && header.acknowledged != found->second.next)) {
    Return(header);
    return;
  }
  Flow& flow = found->second;
  if (!flow.open) {
    flow.open = true;
    flow.acknowledged = header.acknowledged;
    context_.Record(id, actor_, "opens");
    ++context_.figures.opened;
    context_.judge.OnOpened(id, actor_.index);
  }
  if (header.reset) {
    SetEnded(flow);
    flow.client_ended = true;
    flow.unacknowledged.clear();
    return;
  }
  OnAcknowledgement(flow, header);
  if (flow.ended && flow.client_ended && header.payload_bytes > 0) {
    SendBare(id, flow, true);
    return;
  }
  if (header.payload_bytes > 0)
    OnRequest(id, flow, header);
  if (!header.ending)
    return;
  if (header.sequence + header.payload_bytes == flow.client_next) {
    flow.client_ended = true;
    ++flow.client_next;
  }
  if (flow.ended) {
    SendBare(id, flow, false);
    return;
  }
  SetEnded(flow);
  PacketHeader end = HeaderFrom(id);
  end.ending = true;
  Send(id, flow, end);
}

void SimulatedTarget::OnOpening(const FlowId& id, const PacketHeader& header) {
  const auto found = flows_.find(id);
  if (found == flows_.end() ||
      found->second.client_sequence != header.sequence) {
    if (granted_ >= kMaxOpenFlows) {
      Return(header);
      return;
    }
    Flow flow;
    flow.client_sequence = header.sequence;
    flow.client_next = header.sequence + 1;
    flow.next = context_.random.Number() + 1;
    flow.number = ++next_number_;
    if (found != flows_.end() && !found->second.ended)
      --granted_;
    flows_[id] = flow;
    ++granted_;
    AfterInThisLife(kHalfOpenLifetime, [this, id, number = flow.number] {
      const auto granted = flows_.find(id);
      if (granted != flows_.end() && granted->second.number == number &&
          !granted->second.open) {
        SetEnded(granted->second);
        flows_.erase(granted);
      }
    });
  }
  const Flow& flow = flows_[id];
  PacketHeader grant = HeaderFrom(id);
  grant.opening = true;
  grant.sequence = flow.next - 1;
  // A repeated opening packet after the first answer has the same grant.
  if (flow.open)
    return;
  grant.acknowledged = flow.client_next;
  context_.Record(id, actor_, "grants", {}, {}, header.acknowledged);
  context_.events.After(kLinkDelay, [this, grant] { outputs_.packet(grant); });
}

void SimulatedTarget::SetEnded(Flow& flow) {
  if (!std::exchange(flow.ended, true))
    --granted_;
}

void SimulatedTarget::OnAcknowledgement(Flow& flow,
                                        const PacketHeader& header) {
  if (!header.acknowledges || !IsAfter(header.acknowledged, flow.acknowledged))
    return;
  flow.acknowledged = header.acknowledged;
  flow.retransmissions = 0;
  while (!flow.unacknowledged.empty()) {
    const PacketHeader& sent = flow.unacknowledged.front();
    const uint32_t end =
        sent.sequence + sent.payload_bytes + (sent.ending ? 1 : 0);
    if (IsAfter(end, flow.acknowledged))
      return;
    flow.unacknowledged.pop_front();
  }
}

void SimulatedTarget::OnRequest(const FlowId& id,
                                Flow& flow,
                                const PacketHeader& header) {
  if (header.sequence != flow.client_next) {
    SendBare(id, flow, false);
    return;
  }
  flow.client_next += header.payload_bytes;
  const Request request{id, flow.number,
                        header.payload_bytes == kLastRequestBytes};
  if (waiting_.size() >= kQueueFactor * context_.options.slots) {
    Answer(request, kRejectionBytes);
    return;
  }
  waiting_.push_back(request);
  StartWork();
}

void SimulatedTarget::StartWork() {
  if (working_ >= context_.options.slots || waiting_.empty())
    return;
  const Request request = waiting_.front();
  waiting_.pop_front();
  ++working_;
  const bool cold = absl::ToUnixMillis(context_.events.now()) - born_ms_ <
                    absl::ToInt64Milliseconds(kColdTime);
  const absl::Duration work =
      (cold ? kColdFactor : 1.0) *
      context_.random.Work(context_.options.work, context_.options.work_spread);
  AfterInThisLife(work, [this, request] {
    --working_;
    Answer(request, kAnswerBytes);
    StartWork();
  });
}

void SimulatedTarget::Answer(const Request& request, uint16_t payload_bytes) {
  const auto found = flows_.find(request.flow);
  if (found == flows_.end() || found->second.number != request.number ||
      found->second.ended)
    return;
  Flow& flow = found->second;
  PacketHeader answer = HeaderFrom(request.flow);
  answer.payload_bytes = payload_bytes;
  answer.ending = request.last || draining_;
  if (answer.ending)
    SetEnded(flow);
  Send(request.flow, flow, answer);
}

void SimulatedTarget::Send(const FlowId& id, Flow& flow, PacketHeader header) {
  header.sequence = flow.next;
  header.acknowledged = flow.client_next;
  flow.next += header.payload_bytes + (header.ending ? 1 : 0);
  flow.unacknowledged.push_back(header);
  flow.retransmissions = 0;
  outputs_.packet(header);
  if (flow.unacknowledged.size() == 1)
    ScheduleRetransmission(id, flow.number, kFirstRetransmission);
}

void SimulatedTarget::ScheduleRetransmission(const FlowId& id,
                                             uint64_t number,
                                             absl::Duration delay) {
  AfterInThisLife(delay, [this, id, number, delay] {
    const auto found = flows_.find(id);
    if (found == flows_.end() || found->second.number != number ||
        found->second.unacknowledged.empty())
      return;
    Flow& flow = found->second;
    if (++flow.retransmissions > kMaxRetransmissions) {
      SetEnded(flow);
      flow.client_ended = true;
      flow.unacknowledged.clear();
      return;
    }
    for (PacketHeader& header : flow.unacknowledged) {
      header.acknowledged = flow.client_next;
      outputs_.packet(header);
    }
    ScheduleRetransmission(id, number,
                           std::min(2 * delay, kLongestRetransmission));
  });
}

void SimulatedTarget::SendBare(const FlowId& id, const Flow& flow, bool reset) {
  PacketHeader header = HeaderFrom(id);
  header.sequence = flow.next;
  header.acknowledged = flow.client_next;
  header.reset = reset;
  context_.events.After(kLinkDelay,
                        [this, header] { outputs_.packet(header); });
}

}  // namespace skylarkshunt
