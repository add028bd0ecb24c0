#include "skylarkshunt/forwarding/agent_forwarder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace skylarkshunt {
namespace {

/// Number of recent deliveries whose origin is known if the target returns
/// them. A target returns a packet within a millisecond, long before this many
/// others follow.
constexpr size_t kMaxDeliveries = 4'096;
/// Maximum number of flows recorded as not held.
constexpr size_t kMaxNotHeld = 8'192;
/// Maximum number of flows whose packet the target got although no flow was
/// known. The entries of further ones search again.
constexpr size_t kMaxProbes = 4'096;
/// Timeout of a target for an opening packet. A running target answers within a
/// millisecond, and the client's first retransmission arrives after 200 ms.
constexpr absl::Duration kOpeningTimeout = absl::Milliseconds(80);
/// Time between two sweeps over all flows.
constexpr absl::Duration kSweepInterval = absl::Milliseconds(250);
/// Time for a client to send its request after the target has granted the flow,
/// as a multiple of the average handshake time, with its bounds. The slot then
/// goes to another client, since many clients in a queue have given up.
constexpr double kRequestTimeoutFactor = 2.5;
constexpr absl::Duration kMinRequestTimeout = absl::Milliseconds(15);
constexpr absl::Duration kMaxRequestTimeout = absl::Milliseconds(50);
/// Time for which a flow that the target returned counts as not held.
constexpr absl::Duration kNotHeldLifetime = absl::Seconds(10);
/// Time for which a flow without state may be open at the target: longer than
/// the deployments keep a flow without packets.
constexpr absl::Duration kUntrackedLifetime = absl::Seconds(70);
/// Time between two checks of the queue for clients that give up.
constexpr absl::Duration kQueueCheckInterval = absl::Milliseconds(20);

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
      target_(options_.service, options_.report_interval, now),
      deliveries_(kMaxDeliveries),
      overload_(now),
      warmup_limit_(options_.warmup_excess, options_.warmup_slack, now),
      next_sweep_(now + kSweepInterval) {}

void AgentForwarder::SetServiceSettings(const ServiceSettings* settings) {
  warmup_ = settings == nullptr ? absl::ZeroDuration() : settings->warmup;
  warmup_limit_.SetRate(settings == nullptr ? 0 : settings->warmup_per_second);
}

void AgentForwarder::OnForwarded(const ForwardedPacket& forwarded,
                                 const PacketHeader& header,
                                 Endpoint entry,
                                 absl::Time now,
                                 AgentActions& actions) {
  served_.clear();
  if (header.opening)
    OnOpening(forwarded, header, entry, now, actions);
  else
    OnEstablished(forwarded, header, entry, now, actions);
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
  if (flows_.IsOpenedBy(delivery.flow, header.sequence)) {
    // A retransmission: the target answers it like the first packet.
    Deliver(std::move(delivery), forwarded.packet, actions);
    ReportPlaced(header.flow_from_client(), entry, now, actions);
    return;
  }
  if (queue_.Contains(delivery.flow)) {
    ReportPlaced(delivery.flow, entry, now, actions);
    return;
  }
  if (forwarded.service != options_.identity.service) {
    ReturnToEntry(delivery, ReturnReason::kWrongService, forwarded.packet, now,
                  actions);
    return;
  }
  const AgentLoad current = load(now);
  if (!current.accepts_flows() || flows_.is_full()) {
    ReturnToEntry(delivery, ReturnReason::kNotAccepting, forwarded.packet, now,
                  actions);
    return;
  }
  if (ExpectedWaitUs(current, 0) > forwarded.wait_limit_us) {
    ReturnToEntry(delivery, ReturnReason::kBusy, forwarded.packet, now,
                  actions);
    return;
  }
  WaitingOpening opening;
  opening.flow = delivery.flow;
  opening.entry = entry;
  opening.kind = forwarded.kind;
  opening.sequence = header.sequence;
  opening.priority = forwarded.priority;
  opening.opened = now - header.opening_age;
  opening.objective =
      opening.opened + absl::Milliseconds(forwarded.objective_ms);
  opening.client_deadline =
      std::min(now + header.opening_time_left,
               opening.opened + absl::Milliseconds(forwarded.attempt_ms));
  opening.declined = forwarded.declined;
  opening.packet.assign(forwarded.packet.begin(), forwarded.packet.end());
  absl::optional<WaitingOpening> dropped =
      queue_.Push(std::move(opening), now, Forecast(now));
  if (dropped.has_value())
    ReturnWaiting(*std::move(dropped), ReturnReason::kQueueFull, now, actions);
  ServeQueue(now, actions);
  if (IsWarmupLimitReached(now) && queue_.Contains(delivery.flow))
    ++warmup_counts_.delayed;
  RefuseUnservable(now, actions);
  if (queue_.Contains(delivery.flow) ||
      flows_.IsOpenedBy(delivery.flow, header.sequence))
    ReportPlaced(delivery.flow, entry, now, actions);
}

void AgentForwarder::ReportPlaced(const FlowId& flow,
                                  Endpoint entry,
                                  absl::Time now,
                                  AgentActions& actions) const {
  actions.to_entries.push_back(
      {entry, FlowPlaced{options_.identity, load(now), flow}});
}

void AgentForwarder::ServeQueue(absl::Time now, AgentActions& actions) {
  overload_.Record(!queue_.empty(), now);
  if (queue_.empty())
    return;
  if (!load(now).accepts_flows()) {
    for (WaitingOpening& opening : queue_.TakeAll())
      ReturnWaiting(std::move(opening), ReturnReason::kNotAccepting, now,
                    actions);
    return;
  }
  const SlotForecast forecast = Forecast(now);
  while (flows_.busy() < forecast.request_limit && !IsWarmupLimitReached(now)) {
    absl::optional<WaitingOpening> opening = queue_.Pop(now, forecast);
    if (!opening.has_value())
      return;
    served_.push_back(*std::move(opening));
    OpenAtTarget(served_.back(), now, actions);
  }
}

void AgentForwarder::RefuseUnservable(absl::Time now, AgentActions& actions) {
  for (WaitingOpening& opening : queue_.TakeUnservable(now, Forecast(now)))
    ReturnWaiting(std::move(opening), ReturnReason::kNoSlotInTime, now,
                  actions);
}

void AgentForwarder::OpenAtTarget(const WaitingOpening& opening,
                                  absl::Time now,
                                  AgentActions& actions) {
  not_held_.erase(opening.flow);
  if (flows_.IsOpenedBy(opening.flow, opening.sequence)) {
    // The target granted an earlier transmission after its timeout.
    Delivery retransmission;
    retransmission.flow = opening.flow;
    retransmission.entry = opening.entry;
    retransmission.declined = opening.declined;
    Deliver(std::move(retransmission), opening.packet, actions);
    return;
  }
  const bool is_cold = is_warming_up(now);
  warmup_limit_.Record(is_cold, now);
  if (is_cold)
    ++warmup_counts_.delivered;
  flows_.Open(opening.flow, opening.entry, opening.kind, opening.sequence, now);
  Decision decision =
      MakeDecision(DecisionKind::kAccepted, opening.flow, "slot");
  decision.time = opening.client_deadline - now;
  decision.waited = now - opening.opened;
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

void AgentForwarder::ReturnWaiting(WaitingOpening opening,
                                   ReturnReason reason,
                                   absl::Time now,
                                   AgentActions& actions) {
  Delivery delivery;
  delivery.flow = opening.flow;
  delivery.entry = opening.entry;
  delivery.declined = opening.declined;
  const WaitingOpening& returned = served_.emplace_back(std::move(opening));
  ReturnToEntry(delivery, reason, returned.packet, now, actions);
  actions.decisions.back().time = returned.client_deadline - now;
  actions.decisions.back().waited = now - returned.opened;
}

SlotForecast AgentForwarder::Forecast(absl::Time now) const {
  const absl::Duration known = flows_.known_service_time(now);
  SlotForecast forecast = MakeSlotForecast(
      target_.slots(),
      known > absl::ZeroDuration() ? known : kInitialServiceTime,
      flows_.handshake_time(), overload_.duration());
  if (is_warming_up(now)) {
    forecast.slot_interval =
        std::max(forecast.slot_interval, warmup_limit_.interval());
    forecast.answer_time +=
        std::max(absl::ZeroDuration(), warmup_limit_.NextDelivery() - now);
    // A target that is cold for certain remains so. Otherwise its next report
    // may end the limit.
    forecast.limited_for = target_.is_warmup_reported()
                               ? target_.warm_at(warmup_) - now
                               : absl::ZeroDuration();
  }
  return forecast;
}

bool AgentForwarder::is_warming_up(absl::Time now) const {
  return warmup_limit_.is_in_force() && now < target_.warm_at(warmup_);
}

bool AgentForwarder::IsWarmupLimitReached(absl::Time now) const {
  return is_warming_up(now) && now < warmup_limit_.NextDelivery();
}

void AgentForwarder::OnEstablished(const ForwardedPacket& forwarded,
                                   const PacketHeader& header,
                                   Endpoint entry,
                                   absl::Time now,
                                   AgentActions& actions) {
  const FlowId id = header.flow_from_client();
  Delivery delivery;
  delivery.flow = id;
  delivery.entry = entry;
  delivery.mode = forwarded.mode;
  AgentFlows::Flow* flow = flows_.Find(id);
  const bool other =
      flow != nullptr && AgentFlows::AcknowledgesOtherTarget(*flow, header);
  // The flow is open at another target. Returning its waiting opening packet
  // would refuse the client.
  if (flow == nullptr || other)
    queue_.Remove(id);
  if (flow == nullptr) {
    const absl::optional<NotHeldEvidence> evidence = EvidenceAgainst(id, now);
    if (evidence.has_value())
      ReturnNotHeld(delivery, *evidence, forwarded.packet, now, actions);
    else if (!forwarded.known_only) {
      if (forwarded.mode == ForwardMode::kSearch && probes_.size() < kMaxProbes)
        probes_[id] = entry;
      Deliver(std::move(delivery), forwarded.packet, actions);
    }
    return;
  }
  if (other) {
    if (!flow->confirmed)
      flows_.Erase(id);
    ReturnNotHeld(delivery, NotHeldEvidence::kOtherGrant, forwarded.packet, now,
                  actions);
    return;
  }
  if (forwarded.mode == ForwardMode::kSearch)
    ReportPlaced(id, entry, now, actions);
  flow->entry = entry;
  flows_.RecordClientPacket(*flow, header, now);
  Deliver(std::move(delivery), forwarded.packet, actions);
  ServeQueue(now, actions);
}

void AgentForwarder::OnQuery(const FlowQuery& query,
                             Endpoint entry,
                             absl::Time now,
                             AgentActions& actions) {
  served_.clear();
  PacketHeader header;
  header.acknowledges = query.acknowledges;
  header.acknowledged = query.acknowledged;
  const AgentFlows::Flow* flow = flows_.Find(query.flow);
  const bool other =
      flow != nullptr && AgentFlows::AcknowledgesOtherTarget(*flow, header);
  if (flow != nullptr && !other) {
    ReportPlaced(query.flow, entry, now, actions);
    return;
  }
  // The flow is open at another target, as in OnEstablished().
  queue_.Remove(query.flow);
  absl::optional<NotHeldEvidence> evidence = NotHeldEvidence::kOtherGrant;
  if (flow == nullptr)
    evidence = EvidenceAgainst(query.flow, now);
  else if (!flow->confirmed)
    flows_.Erase(query.flow);
  QueryAnswer answer;
  answer.agent = options_.identity;
  answer.load = load(now);
  answer.flow = query.flow;
  if (evidence.has_value()) {
    answer.outcome = QueryAnswer::Outcome::kNotHeld;
    ++not_held_counts_[static_cast<size_t>(*evidence)];
  }
  actions.to_entries.push_back({entry, answer});
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
  target_.OnPacket(now);
  const FlowId id = header.flow_to_client();
  AgentFlows::Flow* flow = flows_.Find(id);
  if (flow != nullptr) {
    RecordTargetPacket(id, *flow, header, now, actions);
  } else if (flows_.is_full()) {
    untracked_until_ = now + kUntrackedLifetime;
    not_held_.erase(id);
  } else if (!header.reset) {
    flows_.Adopt(id, header, now);
    not_held_.erase(id);
    // The entry need not search any longer. A grant does not show that the flow
    // is open here: its client may have accepted that of another target.
    const auto probe = probes_.find(id);
    if (probe != probes_.end() && !header.opening) {
      ReportPlaced(id, probe->second, now, actions);
      probes_.erase(probe);
    }
    // A waiting retransmission must not refuse the flow.
    if (header.opening)
      queue_.Remove(id);
  }
  actions.to_clients.push_back({header.destination.address, packet});
  ServeQueue(now, actions);
}

void AgentForwarder::RecordTargetPacket(const FlowId& id,
                                        AgentFlows::Flow& flow,
                                        const PacketHeader& header,
                                        absl::Time now,
                                        AgentActions& actions) {
  if (header.opening) {
    flows_.RecordGrant(flow, header, now);
    const absl::Duration request_timeout =
        std::min(std::max(kRequestTimeoutFactor * flows_.handshake_time(),
                          kMinRequestTimeout),
                 kMaxRequestTimeout);
    granted_.emplace_back(now + request_timeout, id);
    unanswered_.erase(
        std::remove_if(unanswered_.begin(), unanswered_.end(),
                       [&id](const Unanswered& u) { return u.flow == id; }),
        unanswered_.end());
    return;
  }
  const absl::optional<absl::Duration> answered_after =
      flows_.RecordTargetPacket(id, flow, header, target_.slots(), now);
  if (!answered_after.has_value())
    return;
  Decision decision = MakeDecision(DecisionKind::kAnswered, id, "first_byte");
  decision.request_kind = flow.kind;
  decision.time = *answered_after;
  actions.decisions.push_back(decision);
}

void AgentForwarder::OnReturnedByTarget(const PacketHeader& header,
                                        absl::Span<const uint8_t> packet,
                                        absl::Time now,
                                        AgentActions& actions) {
  const FlowId id = header.flow_from_client();
  const Delivery& delivery =
      deliveries_[header.return_token % deliveries_.size()];
  if (delivery.token != header.return_token || delivery.flow != id)
    return;  // The delivery is too old; relies on the client's retransmission.
  const AgentFlows::Flow* flow = flows_.Find(id);
  if (header.opening) {
    if (flow != nullptr && flow->phase == AgentFlows::Phase::kOpening)
      flows_.Erase(id);
    if (target_.OnRefused()) {
      target_.OnPossibleRestart(now);
      actions.probe_target = true;
    }
    ReturnToEntry(delivery, ReturnReason::kTargetRefused, packet, now, actions);
    ServeQueue(now, actions);
    return;
  }
  const bool other =
      flow != nullptr && AgentFlows::AcknowledgesOtherTarget(*flow, header);
  const bool lost = flow != nullptr && !other &&
                    flow->phase == AgentFlows::Phase::kOpen && flow->confirmed;
  if (lost) {
    // The flow was open at this target, which has lost it: the target has
    // restarted, and no other target can hold the flow. A flow that was only
    // granted here may be open at another target whose grant the client
    // accepted.
    if (!header.reset) {
      ResetFlow(id, *flow, header.acknowledged, "target_lost_flow", now,
                actions);
    }
    flows_.Erase(id);
    return;
  }
  // The packet may belong to a later flow while the target still holds this
  // one.
  if (!other || !flow->confirmed) {
    flows_.Erase(id);
    if (not_held_.size() < kMaxNotHeld)
      not_held_[id] = now;
  }
  ReturnNotHeld(delivery, NotHeldEvidence::kTargetReturned, packet, now,
                actions);
}

absl::optional<NotHeldEvidence> AgentForwarder::EvidenceAgainst(
    const FlowId& flow,
    absl::Time now) const {
  if (target_.seen_from_start() && now >= untracked_until_)
    return NotHeldEvidence::kSeenFromStart;
  if (target_.state(now) == InstanceState::kDown)
    return NotHeldEvidence::kTargetDown;
  const auto returned = not_held_.find(flow);
  if (returned != not_held_.end() && now - returned->second < kNotHeldLifetime)
    return NotHeldEvidence::kTargetReturned;
  return absl::nullopt;
}

void AgentForwarder::ReturnNotHeld(const Delivery& delivery,
                                   NotHeldEvidence evidence,
                                   absl::Span<const uint8_t> packet,
                                   absl::Time now,
                                   AgentActions& actions) {
  ++not_held_counts_[static_cast<size_t>(evidence)];
  ReturnToEntry(delivery, ReturnReason::kNotHeld, packet, now, actions);
}

void AgentForwarder::ReturnToEntry(const Delivery& delivery,
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
  Decision decision = MakeDecision(DecisionKind::kReturned, delivery.flow,
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

TargetChange AgentForwarder::OnTargetReport(const TargetReport& report,
                                            absl::Time now,
                                            AgentActions& actions) {
  served_.clear();
  const TargetChange change = target_.OnReport(report, now);
  flows_.set_slots(target_.slots());
  if (change == TargetChange::kRestarted) {
    ResetFlows(target_.restarted_after(), "target_started_again", now, actions);
    flows_.ResetTargetModels();
  }
  ServeQueue(now, actions);
  return change;
}

bool AgentForwarder::OnTargetLeft(absl::string_view id,
                                  int64_t started_unix_ms) {
  return target_.OnLeave(id, started_unix_ms);
}

void AgentForwarder::OnTargetHealthy(uint32_t slots) {
  target_.OnHealthy(slots);
  flows_.set_slots(target_.slots());
  target_.OnResponse();
}

void AgentForwarder::OnTargetCrashed(absl::Time began,
                                     absl::Time now,
                                     AgentActions& actions) {
  target_.OnConnectionRefused(began);
  ResetFlows(began, "target_crashed", now, actions);
}

void AgentForwarder::ResetFlows(absl::Time since,
                                absl::string_view reason,
                                absl::Time now,
                                AgentActions& actions) {
  const auto reset = [&](const FlowId& id, const AgentFlows::Flow& flow) {
    if (flow.phase != AgentFlows::Phase::kOpen || !flow.confirmed)
      return;
    ResetFlow(id, flow, flow.client_expects, reason, now, actions);
  };
  flows_.EraseOlder(since, reset);
  const auto is_removed = [this](const FlowId& id) {
    return !flows_.Contains(id);
  };
  unanswered_.erase(
      std::remove_if(unanswered_.begin(), unanswered_.end(),
                     [&](const Unanswered& u) { return is_removed(u.flow); }),
      unanswered_.end());
  granted_.erase(
      std::remove_if(granted_.begin(), granted_.end(),
                     [&](const auto& g) { return is_removed(g.second); }),
      granted_.end());
}

void AgentForwarder::ResetFlow(const FlowId& id,
                               const AgentFlows::Flow& flow,
                               uint32_t sequence,
                               absl::string_view reason,
                               absl::Time now,
                               AgentActions& actions) const {
  actions.resets.push_back({id, sequence});
  Decision decision = MakeDecision(DecisionKind::kFlowReset, id, reason);
  decision.sequence = sequence;
  AgentFlowEvidence evidence;
  if (flow.opened != absl::Time())
    evidence.age = now - flow.opened;
  decision.evidence = evidence;
  actions.decisions.push_back(decision);
}

void AgentForwarder::Tick(absl::Time now, AgentActions& actions) {
  served_.clear();
  timed_out_.clear();
  while (!unanswered_.empty() && unanswered_.front().deadline <= now) {
    timed_out_.push_back(std::move(unanswered_.front()));
    unanswered_.pop_front();
  }
  for (const Unanswered& unanswered : timed_out_) {
    const AgentFlows::Flow* flow = flows_.Find(unanswered.flow);
    if (flow == nullptr || flow->phase != AgentFlows::Phase::kOpening)
      continue;
    target_.OnUnresponsive();
    actions.probe_target = true;
    flows_.Erase(unanswered.flow);
    const Delivery& delivery =
        deliveries_[unanswered.token % deliveries_.size()];
    if (delivery.token == unanswered.token) {
      ReturnToEntry(delivery, ReturnReason::kTargetUnresponsive,
                    unanswered.packet, now, actions);
    }
  }
  while (!granted_.empty() && granted_.front().first <= now) {
    flows_.StopAwaitingRequest(granted_.front().second);
    granted_.pop_front();
  }
  ServeQueue(now, actions);
  RefuseUnservable(now, actions);
  if (now < next_sweep_)
    return;
  next_sweep_ = now + kSweepInterval;
  // A target answers or returns a packet within a millisecond.
  probes_.clear();
  flows_.Sweep(now);
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
  if (!queue_.empty() && IsWarmupLimitReached(now))
    next = std::min(next, warmup_limit_.NextDelivery());
  return next;
}

void AgentForwarder::BeginShutdown() {
  leaving_ = true;
}

bool AgentForwarder::is_idle() const {
  return flows_.busy() == 0 && queue_.empty();
}

bool AgentForwarder::is_target_gone(absl::Time now) const {
  return target_.state(now) == InstanceState::kDown;
}

AgentLoad AgentForwarder::load(absl::Time now) const {
  AgentLoad load;
  load.slots = static_cast<uint16_t>(std::min<uint32_t>(
      target_.slots(), std::numeric_limits<uint16_t>::max()));
  size_t at_target = flows_.busy();
  absl::Duration service_time = flows_.known_service_time(now);
  if (is_warming_up(now)) {
    service_time =
        std::max(service_time, load.slots * warmup_limit_.interval());
    // The next packet waits as if the slots were occupied.
    if (IsWarmupLimitReached(now))
      at_target = std::max<size_t>(at_target, load.slots);
  }
  const size_t busy = at_target + queue_.in_time();
  load.busy = static_cast<uint16_t>(
      std::min<size_t>(busy, std::numeric_limits<uint16_t>::max()));
  load.open_flows = flows_.open();
  load.service_time_us = static_cast<uint32_t>(
      std::min<int64_t>(absl::ToInt64Microseconds(service_time),
                        std::numeric_limits<uint32_t>::max()));
  // The rate of a cold target is limited, not its work.
  if (!is_warming_up(now))
    load.pending_work_us = PendingWorkUs(now);
  load.failing_permille = flows_.failing_permille(now);
  load.state = target_.state(now);
  if (leaving_)
    load.state = std::max(load.state, InstanceState::kLeaving);
  return load;
}

uint32_t AgentForwarder::PendingWorkUs(absl::Time now) const {
  WorkModel::QueueWork queue;
  queue_.ForEachInTime([&](const WaitingOpening& opening) {
    queue.Add(queue.is_full()
                  ? 0
                  : flows_.work().ExpectedWorkUs(opening.flow.service));
  });
  return flows_.work().PendingUs(flows_.busy(), queue, now);
}

AdmissionState AgentForwarder::admission() const {
  AdmissionState state;
  state.waiting = static_cast<uint32_t>(queue_.size());
  state.in_time = static_cast<uint32_t>(queue_.in_time());
  state.overloaded_for = overload_.duration();
  return state;
}

Decision AgentForwarder::MakeDecision(DecisionKind kind,
                                      const FlowId& flow,
                                      absl::string_view reason) const {
  Decision decision;
  decision.kind = kind;
  decision.flow = flow;
  decision.agent = options_.identity.uid;
  decision.reason = reason;
  decision.busy = flows_.busy();
  decision.slots = target_.slots();
  return decision;
}

}  // namespace skylarkshunt
