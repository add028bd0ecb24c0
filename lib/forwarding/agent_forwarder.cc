#include "skylarkshunt/forwarding/agent_forwarder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace skylarkshunt {
namespace {

/// Deliveries whose return can be told apart; a target returns a packet within
/// a millisecond, long before so many others follow.
constexpr size_t kMaxDeliveries = 4'096;
/// Most flows that an agent keeps. At the limit it gives opening packets back.
constexpr size_t kMaxFlows = 32'768;
/// Most flows remembered as not held.
constexpr size_t kMaxNotHeld = 8'192;
/// Time that a target has to answer an opening packet. It answers within a
/// millisecond while it runs; the client's first copy comes after 200 ms.
constexpr absl::Duration kOpeningTimeout = absl::Milliseconds(80);
/// Time between two sweeps over all flows.
constexpr absl::Duration kSweepInterval = absl::Milliseconds(250);
/// Time that a client has to send its request once the target has granted the
/// flow, as a multiple of the usual time, and its bounds. After it the slot
/// goes to another client, since many clients of a queue have given up.
constexpr double kRequestTimeoutFactor = 2.5;
constexpr absl::Duration kLeastRequestTimeout = absl::Milliseconds(15);
constexpr absl::Duration kMostRequestTimeout = absl::Milliseconds(50);
/// An ended flow is kept for the last packets of both ends.
constexpr absl::Duration kEndedLifetime = absl::Seconds(5);
/// A flow without packets is forgotten after this: the deployments let flows
/// end after 60 s in all, and sooner when they are idle.
constexpr absl::Duration kIdleLifetime = absl::Seconds(70);
/// How long a target's answer "not held" is believed.
constexpr absl::Duration kNotHeldLifetime = absl::Seconds(10);
/// Sequence numbers of two ends that differ by less belong together; a flow
/// carries less, and a foreign sequence number is random.
constexpr uint32_t kSequenceWindow = 1U << 24;

/// Time from an opening packet at the target to its client's request: two
/// passages of the network between client and target.
constexpr absl::Duration kInitialHandshakeTime = absl::Milliseconds(8);
constexpr double kHandshakeWeight = 0.05;
/// Most requests that are let through beyond the slots, as a multiple of them:
/// a target queues four times its slots.
constexpr double kMaxAheadFactor = 2.0;
/// Share of the service time that is reserved for an answer in time: about nine
/// of ten requests take less.
constexpr double kServiceTimeMargin = 1.8;
/// Time between two looks at the queue for clients that give up.
constexpr absl::Duration kQueueCheckInterval = absl::Milliseconds(20);

/// A request without an answer for this long counts as failed: longer than any
/// latency objective of the deployments, and a multiple of the usual time below
/// the one at which the usual time itself is raised.
constexpr absl::Duration kLeastOverdueTime = absl::Seconds(1);
constexpr double kOverdueFactor = 6.0;
/// A request whose client has ended its side and that sees no packet for this
/// long runs no more.
constexpr absl::Duration kAbandonedAfter = absl::Seconds(1);

bool FollowsSequence(uint32_t acknowledged, uint32_t initial) {
  return acknowledged - initial < kSequenceWindow;
}

bool IsAfter(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

}  // namespace

void AgentActions::Clear() {
  to_target.clear();
  to_clients.clear();
  to_entries.clear();
  resets.clear();
  decisions.clear();
  probe_target = false;
}

AgentForwarder::AgentForwarder(Options options, absl::Time now)
    : options_(std::move(options)),
      target_(options_.service, options_.report_interval),
      handshake_time_(kInitialHandshakeTime),
      deliveries_(kMaxDeliveries),
      next_sweep_(now + kSweepInterval) {}

void AgentForwarder::OnForwarded(const ForwardedPacket& forwarded,
                                 const PacketHeader& header,
                                 Endpoint entry,
                                 absl::Time now,
                                 AgentActions& actions) {
  served_.clear();
  if (header.opening)
    OnOpening(forwarded, header, entry, now, actions);
  else
    OnLater(forwarded, header, entry, now, actions);
}

void AgentForwarder::OnOpening(const ForwardedPacket& forwarded,
                               const PacketHeader& header,
                               Endpoint entry,
                               absl::Time now,
                               AgentActions& actions) {
  Delivery delivery;
  delivery.flow = header.flow_from_client();
  delivery.entry = entry;
  delivery.mode = ForwardMode::kOpening;
  delivery.declined = forwarded.declined;
  if (flows_.contains(delivery.flow)) {
    // A copy: the target answers it as it answered the first one.
    Deliver(std::move(delivery), forwarded.packet, actions);
    TellPlaced(header.flow_from_client(), entry, now, actions);
    return;
  }
  if (queue_.Contains(delivery.flow)) {
    TellPlaced(delivery.flow, entry, now, actions);
    return;
  }
  if (forwarded.service != options_.identity.service) {
    GiveBack(delivery, ReturnReason::kWrongService, forwarded.packet, now,
             actions);
    return;
  }
  const AgentLoad current = load(now);
  if (!current.accepts_flows() || flows_.size() >= kMaxFlows) {
    GiveBack(delivery, ReturnReason::kNotAccepting, forwarded.packet, now,
             actions);
    return;
  }
  if (ExpectedWaitUs(current, 0) > forwarded.wait_limit_us) {
    GiveBack(delivery, ReturnReason::kBusy, forwarded.packet, now, actions);
    return;
  }
  WaitingOpening opening;
  opening.flow = delivery.flow;
  opening.entry = entry;
  opening.kind = forwarded.kind;
  opening.priority = forwarded.priority;
  opening.objective =
      now - header.opening_age + absl::Milliseconds(forwarded.objective_ms);
  opening.judged_from =
      now - header.opening_age + absl::Milliseconds(forwarded.attempt_ms);
  opening.gives_up = now + header.opening_time_left;
  opening.declined = forwarded.declined;
  opening.packet.assign(forwarded.packet.begin(), forwarded.packet.end());
  absl::optional<WaitingOpening> dropped = queue_.Push(std::move(opening), now);
  if (dropped.has_value())
    GiveBackWaiting(*std::move(dropped), ReturnReason::kQueueFull, now,
                    actions);
  ServeQueue(now, actions);
  TellPlaced(delivery.flow, entry, now, actions);
}

void AgentForwarder::TellPlaced(const FlowId& flow,
                                Endpoint entry,
                                absl::Time now,
                                AgentActions& actions) const {
  actions.to_entries.push_back(
      {entry, FlowPlaced{options_.identity, load(now), flow}});
}

void AgentForwarder::ServeQueue(absl::Time now, AgentActions& actions) {
  if (queue_.empty())
    return;
  if (!load(now).accepts_flows()) {
    for (WaitingOpening& opening : queue_.TakeAll())
      GiveBackWaiting(std::move(opening), ReturnReason::kNotAccepting, now,
                      actions);
    return;
  }
  while (busy_ < RequestLimit(now)) {
    absl::optional<WaitingOpening> opening = queue_.Pop(now, AnswerTime(now));
    if (!opening.has_value())
      return;
    served_.push_back(*std::move(opening));
    OpenAtTarget(served_.back(), now, actions);
  }
}

void AgentForwarder::OpenAtTarget(const WaitingOpening& opening,
                                  absl::Time now,
                                  AgentActions& actions) {
  not_held_.erase(opening.flow);
  Flow& flow = flows_[opening.flow];
  flow.entry = opening.entry;
  flow.kind = opening.kind;
  flow.used = now;
  flow.opened = now;
  flow.requested = now;
  flow.busy_before = busy_;
  ++open_;
  SetBusy(flow, true);
  Decision decision =
      MakeDecision(DecisionKind::kAccepted, opening.flow, "slot");
  decision.time = opening.gives_up - now;
  decision.hops = static_cast<uint32_t>(opening.declined.size());
  actions.decisions.push_back(decision);
  Delivery delivery;
  delivery.flow = opening.flow;
  delivery.entry = opening.entry;
  delivery.mode = ForwardMode::kOpening;
  delivery.declined = opening.declined;
  Unanswered unanswered;
  unanswered.flow = opening.flow;
  unanswered.deadline = now + kOpeningTimeout;
  unanswered.packet = opening.packet;
  unanswered.token = Deliver(std::move(delivery), opening.packet, actions);
  unanswered_.push_back(std::move(unanswered));
}

void AgentForwarder::GiveBackWaiting(WaitingOpening opening,
                                     ReturnReason reason,
                                     absl::Time now,
                                     AgentActions& actions) {
  Delivery delivery;
  delivery.flow = opening.flow;
  delivery.entry = opening.entry;
  delivery.declined = opening.declined;
  const absl::Duration time_left = opening.gives_up - now;
  served_.push_back(std::move(opening));
  GiveBack(delivery, reason, served_.back().packet, now, actions);
  actions.decisions.back().time = time_left;
}

absl::Duration AgentForwarder::ServiceTime(absl::Time now) const {
  const absl::Duration known = service_time_.estimate(now);
  return known > absl::ZeroDuration() ? known : kInitialServiceTime;
}

absl::Duration AgentForwarder::AnswerTime(absl::Time now) const {
  return handshake_time_ + kServiceTimeMargin * ServiceTime(now);
}

uint32_t AgentForwarder::RequestLimit(absl::Time now) const {
  const double ahead =
      target_.slots() * absl::FDivDuration(handshake_time_, ServiceTime(now));
  return target_.slots() + static_cast<uint32_t>(std::ceil(std::min<double>(
                               ahead, kMaxAheadFactor * target_.slots())));
}

void AgentForwarder::OnLater(const ForwardedPacket& forwarded,
                             const PacketHeader& header,
                             Endpoint entry,
                             absl::Time now,
                             AgentActions& actions) {
  const FlowId id = header.flow_from_client();
  Delivery delivery;
  delivery.flow = id;
  delivery.entry = entry;
  delivery.mode = forwarded.mode;
  const auto known = flows_.find(id);
  if (known == flows_.end()) {
    const auto denied = not_held_.find(id);
    const bool not_held =
        target_.seen_from_start() ||
        target_.state(now) == InstanceState::kDown ||
        (denied != not_held_.end() && now - denied->second < kNotHeldLifetime);
    if (not_held)
      GiveBack(delivery, ReturnReason::kNotHeld, forwarded.packet, now,
               actions);
    else
      Deliver(std::move(delivery), forwarded.packet, actions);
    return;
  }
  Flow& flow = known->second;
  const bool foreign =
      flow.phase == Phase::kOpening && header.acknowledges &&
      flow.target_sequence_known &&
      !FollowsSequence(header.acknowledged, flow.target_sequence);
  if (foreign) {
    // The client took the grant of another target.
    EraseFlow(id);
    GiveBack(delivery, ReturnReason::kNotHeld, forwarded.packet, now, actions);
    return;
  }
  if (forwarded.mode == ForwardMode::kSearch)
    TellPlaced(id, entry, now, actions);
  flow.entry = entry;
  NoteClientPacket(flow, header, now);
  Deliver(std::move(delivery), forwarded.packet, actions);
  ServeQueue(now, actions);
}

void AgentForwarder::NoteClientPacket(Flow& flow,
                                      const PacketHeader& header,
                                      absl::Time now) {
  flow.used = now;
  if (header.acknowledges)
    flow.client_expects = header.acknowledged;
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
        NoteAnswerEnd(header.flow_from_client(), flow, now);
      flow.answer_begin = header.acknowledged;
      flow.answer_end = header.acknowledged;
      flow.overdue = false;
      flow.client_next = end;
      flow.client_next_known = true;
      flow.requested = now;
      if (!flow.busy)
        flow.busy_before = busy_;
      SetBusy(flow, true);
    }
  }
  if (header.ending)
    flow.client_ended = true;
  const bool over = header.reset || (flow.client_ended && flow.target_ended);
  if (over && flow.phase != Phase::kEnded) {
    flow.phase = Phase::kEnded;
    --open_;
    SetBusy(flow, false);
  }
}

void AgentForwarder::OnTargetPacket(const PacketHeader& header,
                                    absl::Span<const uint8_t> packet,
                                    absl::Time now,
                                    AgentActions& actions) {
  served_.clear();
  if (header.returned) {
    OnReturnedByTarget(header, packet, now, actions);
    return;
  }
  target_.OnAlive();
  const FlowId id = header.flow_to_client();
  const auto known = flows_.find(id);
  if (known != flows_.end()) {
    NoteTargetPacket(id, known->second, header, now, actions);
  } else if (flows_.size() < kMaxFlows && !header.reset) {
    // The flow was opened before this agent started.
    Flow& flow = flows_[id];
    flow.phase = Phase::kOpen;
    flow.confirmed = true;
    flow.used = now;
    ++open_;
    not_held_.erase(id);
  }
  actions.to_clients.push_back({header.destination.address, packet});
  ServeQueue(now, actions);
}

void AgentForwarder::NoteTargetPacket(const FlowId& id,
                                      Flow& flow,
                                      const PacketHeader& header,
                                      absl::Time now,
                                      AgentActions& actions) {
  flow.used = now;
  if (header.opening) {
    flow.target_sequence = header.sequence;
    flow.target_sequence_known = true;
    const absl::Duration patience = std::min(
        std::max(kRequestTimeoutFactor * handshake_time_, kLeastRequestTimeout),
        kMostRequestTimeout);
    granted_.emplace_back(now + patience, id);
    unanswered_.erase(
        std::remove_if(unanswered_.begin(), unanswered_.end(),
                       [&id](const Unanswered& u) { return u.flow == id; }),
        unanswered_.end());
    return;
  }
  flow.confirmed = true;
  // The packets of an answer come in any order, and its end often comes first.
  const bool answers = header.payload_bytes > 0 || header.ending;
  if (answers && flow.busy) {
    const absl::Duration elapsed = now - flow.requested;
    service_time_.Record(elapsed, flow.busy_before, target_.slots(), now);
    Decision decision = MakeDecision(DecisionKind::kAnswered, id, "first_byte");
    decision.request_kind = flow.kind;
    decision.time = elapsed;
    actions.decisions.push_back(decision);
  }
  const uint32_t end = header.sequence + header.payload_bytes;
  if (answers && IsAfter(end, flow.answer_end))
    flow.answer_end = end;
  const bool unfinished = flow.phase == Phase::kOpen && flow.client_next_known;
  if (header.reset && unfinished && !flow.target_ended && !flow.overdue)
    outcomes_.RecordFailure(now);
  if (answers || header.reset)
    SetBusy(flow, false);
  if (header.ending) {
    if (unfinished && !flow.target_ended)
      NoteAnswerEnd(id, flow, now);
    flow.target_ended = true;
  }
  const bool over = header.reset || (flow.client_ended && flow.target_ended);
  if (over && flow.phase != Phase::kEnded) {
    flow.phase = Phase::kEnded;
    --open_;
  }
}

void AgentForwarder::NoteAnswerEnd(const FlowId& id,
                                   const Flow& flow,
                                   absl::Time now) {
  // An answer without a byte is the end of a flow that was not used.
  if (flow.answer_end == flow.answer_begin || flow.overdue)
    return;
  outcomes_.RecordAnswer(id.service, flow.answer_end - flow.answer_begin, now);
}

void AgentForwarder::NoteUnanswered(Flow& flow, absl::Time now) {
  const absl::Duration elapsed = now - flow.requested;
  const absl::Duration usual = service_time_.estimate(now);
  service_time_.RecordUnanswered(elapsed, now);
  if (flow.overdue ||
      elapsed < std::max(kLeastOverdueTime, kOverdueFactor * usual)) {
    return;
  }
  flow.overdue = true;
  outcomes_.RecordFailure(now);
}

void AgentForwarder::OnReturnedByTarget(const PacketHeader& header,
                                        absl::Span<const uint8_t> packet,
                                        absl::Time now,
                                        AgentActions& actions) {
  const FlowId id = header.flow_from_client();
  const Delivery& delivery =
      deliveries_[header.return_token % deliveries_.size()];
  if (delivery.token != header.return_token || delivery.flow != id)
    return;  // Its delivery is too long ago; the client sends a copy.
  const auto known = flows_.find(id);
  if (header.opening) {
    if (known != flows_.end() && known->second.phase == Phase::kOpening)
      EraseFlow(id);
    if (target_.OnRefused())
      actions.probe_target = true;
    GiveBack(delivery, ReturnReason::kTargetRefused, packet, now, actions);
    ServeQueue(now, actions);
    return;
  }
  const bool lost = known != flows_.end() &&
                    known->second.phase == Phase::kOpen &&
                    known->second.confirmed;
  if (lost) {
    // The flow was open here and the target forgot it: it started again, and no
    // other target can hold the flow. A flow that was only granted here may be
    // open at another target, whose grant the client took.
    if (!header.reset) {
      actions.resets.push_back({id, header.acknowledged});
      actions.decisions.push_back(
          MakeDecision(DecisionKind::kCut, id, "target_lost_flow"));
    }
    EraseFlow(id);
    return;
  }
  if (known != flows_.end())
    EraseFlow(id);
  if (not_held_.size() < kMaxNotHeld)
    not_held_[id] = now;
  GiveBack(delivery, ReturnReason::kNotHeld, packet, now, actions);
}

void AgentForwarder::GiveBack(const Delivery& delivery,
                              ReturnReason reason,
                              absl::Span<const uint8_t> packet,
                              absl::Time now,
                              AgentActions& actions) {
  ReturnedPacket returned;
  returned.agent = options_.identity;
  returned.load = load(now);
  returned.reason = reason;
  returned.mode = delivery.mode;
  returned.declined = delivery.declined;
  returned.packet = packet;
  actions.to_entries.push_back({delivery.entry, std::move(returned)});
  if (delivery.mode == ForwardMode::kSearch)
    return;
  Decision decision = MakeDecision(DecisionKind::kGivenBack, delivery.flow,
                                   ReturnReasonName(reason));
  decision.hops = static_cast<uint32_t>(delivery.declined.size());
  actions.decisions.push_back(decision);
}

uint32_t AgentForwarder::Deliver(Delivery delivery,
                                 absl::Span<const uint8_t> packet,
                                 AgentActions& actions) {
  delivery.token = next_token_++;
  actions.to_target.push_back({packet, delivery.token});
  const uint32_t token = delivery.token;
  deliveries_[token % deliveries_.size()] = std::move(delivery);
  return token;
}

TargetNews AgentForwarder::OnTargetReport(const TargetReport& report,
                                          absl::Time now,
                                          AgentActions& actions) {
  served_.clear();
  const TargetNews news = target_.OnReport(report, now);
  if (news == TargetNews::kStartedAgain) {
    CutFlows("target_started_again", actions);
    service_time_.Reset();
    outcomes_.Reset();
  }
  ServeQueue(now, actions);
  return news;
}

bool AgentForwarder::OnTargetLeft(absl::string_view id) {
  return target_.OnLeave(id);
}

void AgentForwarder::OnTargetHealthy(uint32_t slots) {
  target_.OnHealthy(slots);
  target_.OnAlive();
}

void AgentForwarder::OnTargetCrashed(AgentActions& actions) {
  target_.OnSilent();
  CutFlows("target_crashed", actions);
}

void AgentForwarder::CutFlows(absl::string_view reason, AgentActions& actions) {
  for (const auto& [id, flow] : flows_) {
    if (flow.phase != Phase::kOpen)
      continue;
    actions.resets.push_back({id, flow.client_expects});
    Decision decision;
    decision.kind = DecisionKind::kCut;
    decision.flow = id;
    decision.agent = options_.identity.uid;
    decision.reason = reason;
    actions.decisions.push_back(decision);
  }
  flows_.clear();
  unanswered_.clear();
  granted_.clear();
  busy_ = 0;
  open_ = 0;
}

void AgentForwarder::Tick(absl::Time now, AgentActions& actions) {
  served_.clear();
  overdue_.clear();
  while (!unanswered_.empty() && unanswered_.front().deadline <= now) {
    overdue_.push_back(std::move(unanswered_.front()));
    unanswered_.pop_front();
  }
  for (const Unanswered& unanswered : overdue_) {
    const auto known = flows_.find(unanswered.flow);
    if (known == flows_.end() || known->second.phase != Phase::kOpening)
      continue;
    target_.OnSilent();
    actions.probe_target = true;
    EraseFlow(unanswered.flow);
    const Delivery& delivery =
        deliveries_[unanswered.token % deliveries_.size()];
    if (delivery.token == unanswered.token) {
      GiveBack(delivery, ReturnReason::kTargetSilent, unanswered.packet, now,
               actions);
    }
  }
  while (!granted_.empty() && granted_.front().first <= now) {
    const auto known = flows_.find(granted_.front().second);
    if (known != flows_.end() && known->second.phase == Phase::kOpening)
      SetBusy(known->second, false);
    granted_.pop_front();
  }
  const absl::Duration slot_interval =
      ServiceTime(now) / std::max<uint32_t>(1, target_.slots());
  for (WaitingOpening& opening : queue_.TakeHopeless(now, slot_interval))
    GiveBackWaiting(std::move(opening), ReturnReason::kNoSlotInTime, now,
                    actions);
  ServeQueue(now, actions);
  if (now < next_sweep_)
    return;
  next_sweep_ = now + kSweepInterval;
  std::vector<FlowId> expired;
  for (auto& [id, flow] : flows_) {
    const absl::Duration age = now - flow.used;
    const absl::Duration lifetime =
        flow.phase == Phase::kEnded ? kEndedLifetime : kIdleLifetime;
    if (age > lifetime)
      expired.push_back(id);
    if (flow.busy && flow.phase == Phase::kOpen)
      NoteUnanswered(flow, now);
    if (flow.client_ended && age > kAbandonedAfter)
      SetBusy(flow, false);
  }
  for (const FlowId& id : expired)
    EraseFlow(id);
  absl::erase_if(not_held_, [now](const auto& entry) {
    return now - entry.second > kNotHeldLifetime;
  });
}

absl::Time AgentForwarder::next_deadline(absl::Time now) const {
  absl::Time next = next_sweep_;
  if (!unanswered_.empty())
    next = std::min(next, unanswered_.front().deadline);
  if (!granted_.empty())
    next = std::min(next, granted_.front().first);
  if (!queue_.empty())
    next = std::min(next, now + kQueueCheckInterval);
  return next;
}

void AgentForwarder::BeginShutdown() {
  leaving_ = true;
}

bool AgentForwarder::is_idle() const {
  return busy_ == 0 && queue_.empty();
}

bool AgentForwarder::is_target_gone(absl::Time now) const {
  return target_.state(now) == InstanceState::kDown;
}

AgentLoad AgentForwarder::load(absl::Time now) const {
  AgentLoad load;
  load.slots = static_cast<uint16_t>(std::min<uint32_t>(
      target_.slots(), std::numeric_limits<uint16_t>::max()));
  const size_t busy =
      busy_ + (queue_.empty() ? 0 : queue_.CountInTime(now, AnswerTime(now)));
  load.busy = static_cast<uint16_t>(
      std::min<size_t>(busy, std::numeric_limits<uint16_t>::max()));
  load.open_flows = open_;
  load.service_time_us = static_cast<uint32_t>(
      std::min<int64_t>(absl::ToInt64Microseconds(service_time_.estimate(now)),
                        std::numeric_limits<uint32_t>::max()));
  load.failing_permille = outcomes_.failing_permille(now);
  load.state = target_.state(now);
  if (leaving_)
    load.state = std::max(load.state, InstanceState::kLeaving);
  return load;
}

void AgentForwarder::SetBusy(Flow& flow, bool busy) {
  if (flow.busy == busy)
    return;
  flow.busy = busy;
  busy_ += busy ? 1 : -1;
}

void AgentForwarder::EraseFlow(const FlowId& id) {
  const auto known = flows_.find(id);
  if (known == flows_.end())
    return;
  SetBusy(known->second, false);
  if (known->second.phase != Phase::kEnded)
    --open_;
  flows_.erase(known);
}

Decision AgentForwarder::MakeDecision(DecisionKind kind,
                                      const FlowId& flow,
                                      absl::string_view reason) const {
  Decision decision;
  decision.kind = kind;
  decision.flow = flow;
  decision.agent = options_.identity.uid;
  decision.reason = reason;
  decision.busy = busy_;
  decision.slots = target_.slots();
  return decision;
}

}  // namespace skylarkshunt
