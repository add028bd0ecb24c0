#include "skylarkshunt/forwarding/entry_forwarder.h"

#include <algorithm>
#include <utility>

#include "skylarkshunt/forwarding/opening_request.h"

namespace skylarkshunt {
namespace {

/// Maximum number of cached flows. Further ones are found by a search.
constexpr size_t kMaxCachedFlows = 65'536;
/// Age at which an unfinished search is removed. A client has sent several
/// retransmissions by then.
constexpr absl::Duration kSearchLifetime = absl::Seconds(3);
/// Minimum time for which a flow is cached after its last packet, even if the
/// configuration sets a shorter one.
constexpr absl::Duration kMinIdleTime = absl::Seconds(2);
/// Time after its start in which an entry without a configuration, or without
/// agents of a service, defers opening packets.
constexpr absl::Duration kSettleTime = absl::Seconds(2);
/// Maximum number of recorded addresses whose route a configuration dropped.
/// Packets of the flows of further ones are dropped instead of reset.
constexpr size_t kMaxDroppedRoutes = 16'384;
/// Maximum number of flows without a route whose first packet is recorded.
/// Packets of further ones are dropped instead of reset.
constexpr size_t kMaxUnroutedFlows = 4'096;
/// Time by which all entries use a version that one of them uses. The bound of
/// the deployments is 3 to 6 s.
constexpr absl::Duration kVersionSpread = absl::Seconds(7);
/// Time for which a flow without a route is recorded.
constexpr absl::Duration kUnroutedLifetime = absl::Seconds(30);
/// Time since an agent's last message after which a retransmitted opening
/// packet goes to another agent, as a share of `suspect_timeout`. It is below 1
/// because the retransmission itself is evidence that the agent is
/// unresponsive.
constexpr double kRetransmissionSuspectShare = 0.6;
/// A client that waits no longer than this sends no further retransmission of
/// its opening packet.
constexpr absl::Duration kLastRetransmissionTimeLeft = absl::Seconds(1);
constexpr absl::string_view kLeastExpectedTime = "least_expected_time";

}  // namespace

void EntryActions::Clear() {
  to_agents.clear();
  queries.clear();
  resets.clear();
  refused.clear();
  decisions.clear();
}

EntryForwarder::EntryForwarder(uint32_t data_centre, absl::Time started)
    : data_centre_(data_centre), started_(started) {}

RouteChange EntryForwarder::SetRoutes(std::shared_ptr<const RouteTable> routes,
                                      absl::Time now) {
  RouteChange change;
  change.former_version = routes_ == nullptr ? 0 : routes_->version;
  change.former_use = route_use_;
  if (routes->version < change.former_version)
    return change;
  change.in_force = true;
  route_use_ = {};
  former_services_.Record(routes_.get(), *routes, now);
  if (routes_ != nullptr) {
    for (const auto& [address, route] : routes_->routes) {
      if (dropped_routes_.size() < kMaxDroppedRoutes)
        dropped_routes_.insert(address);
    }
  }
  absl::erase_if(dropped_routes_, [&routes](const Endpoint& address) {
    return routes->Find(address) != nullptr;
  });
  unrouted_.clear();
  routes_ = std::move(routes);
  return change;
}

void EntryForwarder::OnClientPacket(const PacketHeader& header,
                                    absl::Span<const uint8_t> packet,
                                    absl::Time now,
                                    EntryActions& actions) {
  const FlowId flow = header.flow_from_client();
  if (header.opening && !header.acknowledges)
    copies_.Record(header, now - socket_delay_, now);
  if (routes_ == nullptr) {
    RefuseWithoutConfiguration(header, now, actions);
    return;
  }
  const Route* route = routes_->Find(header.destination);
  if (route == nullptr) {
    RefuseWithoutRoute(header, now, actions);
    return;
  }
  if (header.opening) {
    Open(*route, flow, header, packet, now, actions);
    return;
  }
  const auto cached = flows_.find(flow);
  AgentView* agent =
      cached == flows_.end() ? nullptr : agents_.Find(cached->second.agent);
  if (agent == nullptr) {
    SearchFlow(*route, flow, header, packet, now, actions);
    return;
  }
  cached->second.used = now;
  cached->second.established = true;
  ForwardedPacket message;
  message.mode = ForwardMode::kEstablished;
  message.service = agent->identity.service;
  message.kind = route->kind;
  message.packet = packet;
  actions.to_agents.push_back({agent->endpoint, message});
}

Attempt EntryForwarder::AttemptOf(const FlowId& flow,
                                  const PacketHeader& header,
                                  absl::Time now) {
  const auto cached = flows_.find(flow);
  return cached != flows_.end()
             ? cached->second.attempt
             : retries_.TakeAttempt(flow, now - header.opening_age);
}

void EntryForwarder::Open(const Route& route,
                          const FlowId& flow,
                          const PacketHeader& header,
                          absl::Span<const uint8_t> packet,
                          absl::Time now,
                          EntryActions& actions) {
  const Attempt attempt = AttemptOf(flow, header, now);
  ForwardedPacket message = MakeOpeningRequest(
      route, flow, attempt, now - header.opening_age, packet);
  const auto cached = flows_.find(flow);
  if (cached != flows_.end()) {
    AgentView* agent = agents_.Find(cached->second.agent);
    // A retransmission stays, since the agent may have accepted a copy.
    const bool must_move = agent != nullptr && IsEvacuated(*agent) &&
                           IsNewFlow(cached->second, header);
    if (agent != nullptr && IsResponsive(*agent, now) &&
        now - agent->last_seen <
            kRetransmissionSuspectShare * agent->suspect_timeout &&
        agent->identity.service == message.service && !must_move) {
      cached->second.used = now;
      cached->second.since = now;
      // The packet may open a new flow with the addresses and ports of an
      // earlier one.
      cached->second.established = false;
      cached->second.opening_sequence = header.sequence;
      actions.to_agents.push_back({agent->endpoint, message});
      return;
    }
    if (!must_move) {
      message.declined.push_back(cached->second.agent);
      copies_.RecordUnanswered(flow, cached->second.agent);
    }
  }
  if (now < evacuated_limit_) {
    RecordDeferred(flow, "evacuations_unknown", now, actions);
    return;
  }
  if (agents_.AgentsOfService(message.service).empty() &&
      MaySucceedLater(header, now)) {
    RecordDeferred(flow, "no_agent_yet", now, actions);
    return;
  }
  if (!Place(flow, std::move(message), DecisionKind::kPlaced,
             kLeastExpectedTime, now, actions)) {
    RecordRefused(flow, attempt, now, actions);
    return;
  }
  actions.decisions.back().attempt = attempt.number();
  const auto placed = flows_.find(flow);
  if (placed == flows_.end())
    return;
  ++route_use_.placements;
  route_use_.last_placement = now;
  placed->second.attempt = attempt;
  placed->second.opening_sequence = header.sequence;
}

bool EntryForwarder::IsNewFlow(const CachedFlow& cached,
                               const PacketHeader& header) {
  return cached.opening_sequence.has_value()
             ? *cached.opening_sequence != header.sequence
             : header.opening_copy == 0;
}

bool EntryForwarder::IsEvacuated(const AgentView& agent) const {
  return std::binary_search(evacuated_.begin(), evacuated_.end(),
                            agent.identity.data_centre);
}

bool EntryForwarder::Place(const FlowId& flow,
                           ForwardedPacket message,
                           DecisionKind kind,
                           absl::string_view reason,
                           absl::Time now,
                           EntryActions& actions) {
  const absl::optional<Placement> placement =
      PlaceFlow(agents_, MakePlacementRequest(flow, message), now);
  if (!placement.has_value())
    return PlaceForced(flow, std::move(message), now, actions);
  SendOpening(flow, std::move(message), *placement, kind, reason, now, actions);
  return true;
}

PlacementRequest EntryForwarder::MakePlacementRequest(
    const FlowId& flow,
    const ForwardedPacket& message) const {
  PlacementRequest request;
  request.service = message.service;
  request.data_centre = data_centre_;
  request.flow_hash = StableFlowHash(flow);
  request.declined = message.declined;
  request.evacuated = evacuated_;
  return request;
}

void EntryForwarder::SendOpening(const FlowId& flow,
                                 ForwardedPacket message,
                                 const Placement& placement,
                                 DecisionKind kind,
                                 absl::string_view reason,
                                 absl::Time now,
                                 EntryActions& actions) {
  AgentView& agent = *placement.agent;
  message.wait_limit_us = placement.wait_limit_us;
  Decision decision = MakeDecision(kind, flow, reason);
  decision.agent = agent.identity.uid;
  decision.view_age = now - agent.last_seen;
  decision.time = absl::Microseconds(placement.wait_us);
  decision.busy = agent.load.busy;
  decision.slots = agent.load.slots;
  decision.hops = static_cast<uint32_t>(message.declined.size());
  actions.decisions.push_back(decision);
  if (now - agent.last_sent > kAgentReportInterval)
    agent.unreported = 0;
  ++agent.unreported;
  agent.last_sent = now;
  CacheFlow(flow, agent.identity.uid, now);
  unanswered_.Store(flow, agent.identity.uid, message, now);
  actions.to_agents.push_back({agent.endpoint, std::move(message)});
}

void EntryForwarder::Tick(absl::Time now, EntryActions& actions) {
  timed_out_ = unanswered_.TakeTimedOut(now);
  for (const UnansweredOpenings::Opening& timed_out : timed_out_)
    PlaceElsewhere(timed_out, now, actions);
  RepeatQueries(now, actions);
}

void EntryForwarder::PlaceElsewhere(
    const UnansweredOpenings::Opening& timed_out,
    absl::Time now,
    EntryActions& actions) {
  AgentView* agent = agents_.Find(timed_out.agent);
  if (agent != nullptr)
    RecordUnanswered(*agent, timed_out.sent);
  copies_.RecordUnanswered(timed_out.flow, timed_out.agent);
  const Route* route =
      routes_ == nullptr ? nullptr : routes_->Find(timed_out.flow.service);
  if (route == nullptr || timed_out.message.declined.size() + 1 >= kMaxDeclines)
    return;
  ForwardedPacket message = timed_out.message;
  message.service = ChooseService(*route, timed_out.flow);
  message.declined.push_back(timed_out.agent);
  message.packet = timed_out.packet;
  // If there is no other agent, the client is not refused: the unresponsive
  // agent may have accepted the packet.
  const absl::optional<Placement> placement =
      PlaceFlow(agents_, MakePlacementRequest(timed_out.flow, message), now);
  if (!placement.has_value())
    return;
  SendOpening(timed_out.flow, std::move(message), *placement,
              DecisionKind::kPlacedAgain, "agent_silent", now, actions);
}

absl::Time EntryForwarder::next_deadline() {
  const absl::Time query_round = query_rounds_.empty()
                                     ? absl::InfiniteFuture()
                                     : query_rounds_.begin()->first;
  return std::min(unanswered_.next_deadline(), query_round);
}

/// Sends an opening packet that all accepting agents have declined to the least
/// loaded of them, which must take it. Refuses the client if no agent accepts
/// flows, and returns false.
bool EntryForwarder::PlaceForced(const FlowId& flow,
                                 ForwardedPacket message,
                                 absl::Time now,
                                 EntryActions& actions) {
  PlacementRequest request = MakePlacementRequest(flow, message);
  request.declined = {};
  const absl::optional<Placement> placement = PlaceFlow(agents_, request, now);
  if (!placement.has_value() || message.declined.empty()) {
    if (DeferRefusal(flow, now, actions))
      return true;
    request.evacuated = {};
    const bool evacuated = !evacuated_.empty() && !placement.has_value() &&
                           PlaceFlow(agents_, request, now).has_value();
    Refuse(flow, 0, evacuated ? "evacuated" : "no_agent", now, actions);
    return false;
  }
  Decision decision =
      MakeDecision(DecisionKind::kPlacedAgain, flow, "all_declined");
  decision.agent = placement->agent->identity.uid;
  decision.time = absl::Microseconds(placement->wait_us);
  decision.busy = placement->agent->load.busy;
  decision.slots = placement->agent->load.slots;
  decision.hops = static_cast<uint32_t>(message.declined.size());
  actions.decisions.push_back(decision);
  MarkForced(message);
  CacheFlow(flow, placement->agent->identity.uid, now);
  actions.to_agents.push_back({placement->agent->endpoint, std::move(message)});
  return true;
}

void EntryForwarder::OnReturned(const ReturnedPacket& returned,
                                const PacketHeader& header,
                                Endpoint agent,
                                absl::Time now,
                                EntryActions& actions) {
  agents_.Update(returned.agent, returned.load, agent, now);
  const FlowId flow = header.flow_from_client();
  const Route* route =
      routes_ == nullptr ? nullptr : routes_->Find(header.destination);
  if (route == nullptr) {
    if (routes_ != nullptr)
      RefuseWithoutRoute(header, now, actions);
    return;
  }
  if (!header.opening) {
    if (returned.mode == ForwardMode::kSearch) {
      RecordNotHeld(returned.agent.uid, *route, flow, header, returned.packet,
                    now, actions);
      return;
    }
    const auto cached = flows_.find(flow);
    if (cached != flows_.end() && cached->second.agent == returned.agent.uid)
      flows_.erase(cached);
    SearchFlow(*route, flow, header, returned.packet, now, actions);
    return;
  }
  if (returned.reason == ReturnReason::kTargetUnresponsive)
    copies_.RecordUnansweredByTarget(flow);
  else
    copies_.RecordDeclined(flow, returned.agent.uid);
  const auto placed = flows_.find(flow);
  if (placed != flows_.end() && (placed->second.agent != returned.agent.uid ||
                                 placed->second.established)) {
    // Another agent has got the packet, since this one did not answer in time,
    // or another copy has opened the flow. A reset would end the flow.
    RecordDeferred(flow, "placed_elsewhere", now, actions);
    return;
  }
  unanswered_.Erase(flow);
  if (IsFinal(returned.reason)) {
    // If the flow is not cached, this entry may have restarted, and another
    // entry may have placed a retransmission.
    if (placed != flows_.end())
      RefuseReturned(returned, flow, now, actions);
    else
      RecordDeferred(flow, "not_cached", now, actions);
    return;
  }
  if (IsForced(returned)) {
    RefuseReturned(returned, flow, now, actions);
    return;
  }
  const Attempt attempt = AttemptOf(flow, header, now);
  ForwardedPacket message = MakeOpeningRequest(
      *route, flow, attempt, now - header.opening_age, returned.packet);
  message.declined = returned.declined;
  message.declined.push_back(returned.agent.uid);
  if (!Place(flow, std::move(message), DecisionKind::kPlacedAgain,
             kLeastExpectedTime, now, actions)) {
    RecordRefused(flow, attempt, now, actions);
  }
}

void EntryForwarder::OnPlaced(const FlowPlaced& placed,
                              Endpoint agent,
                              absl::Time now,
                              EntryActions& actions) {
  agents_.Update(placed.agent, placed.load, agent, now);
  const auto known = flows_.find(placed.flow);
  const bool established = known != flows_.end() && known->second.established;
  if (established && known->second.agent != placed.agent.uid) {
    Decision decision = MakeDecision(DecisionKind::kHeldTwice, placed.flow,
                                     "established_elsewhere");
    decision.agent = placed.agent.uid;
    decision.evidence = OtherHolderEvidence{known->second.agent};
    actions.decisions.push_back(decision);
  }
  const auto search = searches_.find(placed.flow);
  const bool searched = search != searches_.end();
  if (searched) {
    ReleaseHeldPackets(search->second, placed.flow, placed.agent, agent,
                       actions);
    searches_.erase(search);
  }
  CachedFlow* cached = CacheFlow(placed.flow, placed.agent.uid, now);
  if (cached != nullptr)
    cached->established = established || searched;
  unanswered_.Erase(placed.flow);
  if (searched) {
    ++search_counts_.found;
    Decision decision =
        MakeDecision(DecisionKind::kFound, placed.flow, "agent_holds_it");
    decision.agent = placed.agent.uid;
    actions.decisions.push_back(decision);
  }
}

bool EntryForwarder::MaySucceedLater(const PacketHeader& header,
                                     absl::Time now) const {
  return now - started_ < kSettleTime &&
         header.opening_time_left > kLastRetransmissionTimeLeft;
}

void EntryForwarder::RefuseWithoutConfiguration(const PacketHeader& header,
                                                absl::Time now,
                                                EntryActions& actions) {
  const FlowId flow = header.flow_from_client();
  // Another entry may have opened the flow of any other packet.
  if (!header.opening || MaySucceedLater(header, now)) {
    RecordDeferred(flow, "no_configuration", now, actions);
    return;
  }
  if (DeferRefusal(flow, now, actions))
    return;
  const Attempt attempt = AttemptOf(flow, header, now);
  Refuse(flow, 0, "no_configuration", now, actions);
  actions.decisions.back().attempt = attempt.number();
  RecordRefused(flow, attempt, now, actions);
}

void EntryForwarder::RefuseWithoutRoute(const PacketHeader& header,
                                        absl::Time now,
                                        EntryActions& actions) {
  const FlowId flow = header.flow_from_client();
  // Another entry may have adopted a configuration with this route and opened
  // the flow.
  const bool may_be_open = header.opening ? copies_.MayHaveMissedOne(flow, now)
                                          : MayBeOpenElsewhere(flow, now);
  if (may_be_open) {
    RecordDeferred(flow, "no_route", now, actions);
    return;
  }
  flows_.erase(flow);
  unrouted_.erase(flow);
  if (!header.reset)
    Refuse(flow, header.acknowledged, "no_route", now, actions);
}

bool EntryForwarder::MayBeOpenElsewhere(const FlowId& flow, absl::Time now) {
  if (!dropped_routes_.contains(flow.service))
    return true;
  // The flow was opened before the route was dropped here. If a newer version
  // had the route already, that version comes soon after the flow.
  const auto cached = flows_.find(flow);
  if (cached != flows_.end())
    return now - cached->second.since < kVersionSpread;
  const auto unrouted = unrouted_.find(flow);
  if (unrouted != unrouted_.end())
    return now - unrouted->second < kVersionSpread;
  if (unrouted_.size() < kMaxUnroutedFlows)
    unrouted_[flow] = now;
  return true;
}

void EntryForwarder::Refuse(const FlowId& flow,
                            uint32_t sequence,
                            absl::string_view reason,
                            absl::Time now,
                            EntryActions& actions) const {
  actions.resets.push_back({flow, sequence});
  Decision decision = MakeDecision(DecisionKind::kRefused, flow, reason);
  decision.sequence = sequence;
  decision.evidence = EvidenceOfOpening(flow, now);
  actions.decisions.push_back(decision);
}

void EntryForwarder::RecordDeferred(const FlowId& flow,
                                    absl::string_view reason,
                                    absl::Time now,
                                    EntryActions& actions) const {
  Decision decision = MakeDecision(DecisionKind::kDeferred, flow, reason);
  decision.evidence = EvidenceOfOpening(flow, now);
  actions.decisions.push_back(decision);
}

OpeningEvidence EntryForwarder::EvidenceOfOpening(const FlowId& flow,
                                                  absl::Time now) const {
  const OpeningCopies::Copies copies = copies_.Find(flow);
  return {copies.received, now - copies.first_sent};
}

bool EntryForwarder::DeferRefusal(const FlowId& flow,
                                  absl::Time now,
                                  EntryActions& actions) {
  const bool unanswered = copies_.HasUnanswered(flow);
  if (!unanswered && !copies_.MayHaveMissedOne(flow, now))
    return false;
  flows_.erase(flow);
  RecordDeferred(flow, unanswered ? "agent_silent" : "copy_elsewhere", now,
                 actions);
  return true;
}

void EntryForwarder::RefuseReturned(const ReturnedPacket& returned,
                                    const FlowId& flow,
                                    absl::Time now,
                                    EntryActions& actions) {
  if (DeferRefusal(flow, now, actions))
    return;
  // The flow never opened, so any sequence number is valid.
  actions.resets.push_back({flow, 0});
  Decision decision = MakeDecision(DecisionKind::kRefused, flow,
                                   ReturnReasonName(returned.reason));
  const auto placed = flows_.find(flow);
  if (placed != flows_.end()) {
    const Attempt& attempt = placed->second.attempt;
    decision.attempt = attempt.number();
    RecordRefused(flow, attempt, now, actions);
    flows_.erase(placed);
  }
  decision.agent = returned.agent.uid;
  decision.evidence = EvidenceOfOpening(flow, now);
  decision.busy = returned.load.busy;
  decision.slots = returned.load.slots;
  decision.hops = static_cast<uint32_t>(returned.declined.size());
  actions.decisions.push_back(decision);
}

EntryForwarder::CachedFlow* EntryForwarder::CacheFlow(const FlowId& flow,
                                                      InstanceUid agent,
                                                      absl::Time now) {
  if (flows_.size() >= kMaxCachedFlows && !flows_.contains(flow))
    return nullptr;
  CachedFlow& cached =
      flows_.try_emplace(flow, CachedFlow{agent, now, now, {now, 0}, false, {}})
          .first->second;
  cached.agent = agent;
  cached.used = now;
  cached.since = now;
  cached.established = false;
  return &cached;
}

void EntryForwarder::RecordRefused(const FlowId& flow,
                                   const Attempt& attempt,
                                   absl::Time now,
                                   EntryActions& actions) {
  const absl::optional<RefusedRequest> refused =
      retries_.RecordRefused(flow, attempt, now);
  if (refused.has_value())
    actions.refused.push_back(*refused);
}

void EntryForwarder::ExpireIdle(absl::Time now) {
  const absl::Duration idle =
      std::max(kMinIdleTime, routes_ == nullptr ? absl::ZeroDuration()
                                                : routes_->idle_timeout);
  absl::erase_if(flows_, [now, idle](const auto& flow) {
    return now - flow.second.used > idle;
  });
  retries_.Expire(now);
  copies_.Expire(now);
  former_services_.Expire(now);
  absl::erase_if(unrouted_, [now](const auto& flow) {
    return now - flow.second > kUnroutedLifetime;
  });
  const size_t searches = searches_.size();
  absl::erase_if(searches_, [this, now](const auto& search) {
    if (now - search.second.started <= kSearchLifetime)
      return false;
    for (const std::vector<uint8_t>& packet : search.second.held)
      held_bytes_ -= packet.size();
    return true;
  });
  search_counts_.not_proven += searches - searches_.size();
}

Decision EntryForwarder::MakeDecision(DecisionKind kind,
                                      const FlowId& flow,
                                      absl::string_view reason) const {
  Decision decision;
  decision.kind = kind;
  decision.flow = flow;
  decision.reason = reason;
  decision.configuration = routes_ == nullptr ? 0 : routes_->version;
  return decision;
}

}  // namespace skylarkshunt
