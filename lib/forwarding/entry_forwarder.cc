#include "skylarkshunt/forwarding/entry_forwarder.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace skylarkshunt {
namespace {

/// Most flows that the cache holds; further ones are found by a search.
constexpr size_t kMaxCachedFlows = 65'536;
/// Most searches at a time; further packets are searched for without a count of
/// the answers, so that they are never answered with a reset.
constexpr size_t kMaxSearches = 4'096;
/// Age of an unfinished search at which it is forgotten: a client has sent
/// several copies by then.
constexpr absl::Duration kSearchLifetime = absl::Seconds(3);
/// Time that the candidates of a flow have to answer a search; with the next
/// packet after it all agents are asked.
constexpr absl::Duration kCandidatesAnswerTime = absl::Milliseconds(60);
/// Flows are kept this long beyond their last packet at least, even if the
/// configuration says less.
constexpr absl::Duration kMinIdleTime = absl::Seconds(2);
/// Time after its start in which an entry may not know all agents yet; it then
/// says of no flow that it does not exist.
constexpr absl::Duration kSettleTime = absl::Seconds(2);
/// Silence of an agent after which the copy of an opening packet goes to
/// another one, as a share of the silence after which it gets no new flow: the
/// copy is evidence of its own.
constexpr double kCopyElsewhereAfter = 0.6;
/// A client that waits no longer than this sends no further copy of its opening
/// packet.
constexpr absl::Duration kLastCopyTimeLeft = absl::Seconds(1);
/// Time that an agent has to answer an opening packet before another one gets
/// it: a round trip between data centres takes a few milliseconds, and an agent
/// that has used up its processor share stands still for up to 100 ms. The
/// client's own first copy comes after 200 ms.
constexpr absl::Duration kAgentAnswerTime = absl::Milliseconds(60);
/// Most opening packets that are kept until their agent answers. Beyond it the
/// client's copies serve.
constexpr size_t kMaxUnanswered = 4'096;
/// Attempts that a client makes within a request's deadline: the first one and
/// the two retries of the deployments.
constexpr int kAttempts = 3;
constexpr uint32_t kNoLimit = std::numeric_limits<uint32_t>::max();

constexpr absl::string_view kLeastExpectedTime = "least_expected_time";

/// Marks a packet that the next agent takes in any case.
void MarkForced(ForwardedPacket& message) {
  message.declined.resize(kMaxDeclines);
  message.wait_limit_us = kNoLimit;
}

uint32_t ToMilliseconds(absl::Duration time) {
  return static_cast<uint32_t>(std::min<int64_t>(
      absl::ToInt64Milliseconds(time), std::numeric_limits<uint32_t>::max()));
}

void DescribeRequest(const Route& route, ForwardedPacket& message) {
  message.kind = route.kind;
  message.priority = static_cast<uint8_t>(
      std::min<uint32_t>(route.priority, std::numeric_limits<uint8_t>::max()));
  message.objective_ms = ToMilliseconds(route.latency_objective);
  // The last attempt needs the time of an answer.
  const absl::Duration answer =
      std::min(route.latency_objective, route.deadline / kAttempts);
  message.attempt_ms = ToMilliseconds((route.deadline - answer) / kAttempts);
}

bool IsForced(const ReturnedPacket& returned) {
  return returned.declined.size() >= kMaxDeclines;
}

}  // namespace

void EntryActions::Clear() {
  to_agents.clear();
  resets.clear();
  decisions.clear();
}

EntryForwarder::EntryForwarder(uint32_t data_centre, absl::Time started)
    : data_centre_(data_centre), started_(started) {}

void EntryForwarder::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  if (routes_ == nullptr || routes->version >= routes_->version)
    routes_ = std::move(routes);
}

void EntryForwarder::OnClientPacket(const PacketHeader& header,
                                    absl::Span<const uint8_t> packet,
                                    absl::Time now,
                                    EntryActions& actions) {
  const FlowId flow = header.flow_from_client();
  if (routes_ == nullptr) {
    actions.decisions.push_back(
        MakeDecision(DecisionKind::kDeferred, flow, "no_configuration"));
    return;
  }
  const Route* route = routes_->Find(header.destination);
  if (route == nullptr) {
    flows_.erase(flow);
    Refuse(flow, header, "no_route", actions);
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
    SearchFlow(*route, flow, packet, now, actions);
    return;
  }
  cached->second.used = now;
  ForwardedPacket message;
  message.mode = ForwardMode::kEstablished;
  message.service = agent->identity.service;
  message.kind = route->kind;
  message.packet = packet;
  actions.to_agents.push_back({agent->endpoint, message});
}

void EntryForwarder::Open(const Route& route,
                          const FlowId& flow,
                          const PacketHeader& header,
                          absl::Span<const uint8_t> packet,
                          absl::Time now,
                          EntryActions& actions) {
  ForwardedPacket message;
  message.mode = ForwardMode::kOpening;
  message.service = ChooseService(route, flow);
  DescribeRequest(route, message);
  message.wait_limit_us = kNoLimit;
  message.packet = packet;
  const auto cached = flows_.find(flow);
  if (cached != flows_.end()) {
    AgentView* agent = agents_.Find(cached->second.agent);
    if (agent != nullptr && IsResponsive(*agent, now) &&
        now - agent->heard < kCopyElsewhereAfter * agent->suspect_timeout &&
        agent->identity.service == message.service) {
      cached->second.used = now;
      actions.to_agents.push_back({agent->endpoint, message});
      return;
    }
    message.declined.push_back(cached->second.agent);
  }
  if (agents_.AgentsOfService(message.service).empty() &&
      now - started_ < kSettleTime &&
      header.opening_time_left > kLastCopyTimeLeft) {
    actions.decisions.push_back(
        MakeDecision(DecisionKind::kDeferred, flow, "no_agent_yet"));
    return;
  }
  Place(flow, std::move(message), DecisionKind::kPlaced, kLeastExpectedTime,
        now, actions);
}

void EntryForwarder::Place(const FlowId& flow,
                           ForwardedPacket message,
                           DecisionKind kind,
                           absl::string_view reason,
                           absl::Time now,
                           EntryActions& actions) {
  const absl::optional<Placement> placement =
      PlaceFlow(agents_, RequestFor(flow, message), now);
  if (placement.has_value())
    SendOpening(flow, std::move(message), *placement, kind, reason, now,
                actions);
  else
    PlaceAnywhere(flow, std::move(message), now, actions);
}

PlacementRequest EntryForwarder::RequestFor(
    const FlowId& flow,
    const ForwardedPacket& message) const {
  PlacementRequest request;
  request.service = message.service;
  request.data_centre = data_centre_;
  request.flow_hash = StableFlowHash(flow);
  request.declined = message.declined;
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
  decision.view_age = now - agent.heard;
  decision.time = absl::Microseconds(placement.wait_us);
  decision.busy = agent.load.busy;
  decision.slots = agent.load.slots;
  decision.hops = static_cast<uint32_t>(message.declined.size());
  actions.decisions.push_back(decision);
  if (now - agent.last_sent > kAgentReportInterval)
    agent.unreported = 0;
  ++agent.unreported;
  agent.last_sent = now;
  Remember(flow, agent.identity.uid, now);
  Await(flow, agent.identity.uid, message, now);
  actions.to_agents.push_back({agent.endpoint, std::move(message)});
}

void EntryForwarder::Await(const FlowId& flow,
                           InstanceUid agent,
                           const ForwardedPacket& message,
                           absl::Time now) {
  if (unanswered_.size() >= kMaxUnanswered)
    return;
  Unanswered& unanswered = unanswered_.emplace_back();
  unanswered.flow = flow;
  unanswered.id = next_id_++;
  unanswered.agent = agent;
  unanswered.sent = now;
  unanswered.message = message;
  unanswered.packet.assign(message.packet.begin(), message.packet.end());
  awaited_[flow] = unanswered.id;
}

void EntryForwarder::Tick(absl::Time now, EntryActions& actions) {
  overdue_.clear();
  while (next_deadline() <= now) {
    overdue_.push_back(std::move(unanswered_.front()));
    unanswered_.pop_front();
    awaited_.erase(overdue_.back().flow);
  }
  for (const Unanswered& overdue : overdue_)
    PlaceElsewhere(overdue, now, actions);
}

void EntryForwarder::PlaceElsewhere(const Unanswered& overdue,
                                    absl::Time now,
                                    EntryActions& actions) {
  AgentView* agent = agents_.Find(overdue.agent);
  if (agent != nullptr)
    RecordUnanswered(*agent, overdue.sent);
  const Route* route =
      routes_ == nullptr ? nullptr : routes_->Find(overdue.flow.service);
  if (route == nullptr || overdue.message.declined.size() + 1 >= kMaxDeclines)
    return;
  ForwardedPacket message = overdue.message;
  message.service = ChooseService(*route, overdue.flow);
  message.declined.push_back(overdue.agent);
  message.packet = overdue.packet;
  // Without another agent the client is not refused: the silent one may have
  // taken the packet.
  const absl::optional<Placement> placement =
      PlaceFlow(agents_, RequestFor(overdue.flow, message), now);
  if (placement.has_value())
    SendOpening(overdue.flow, std::move(message), *placement,
                DecisionKind::kPlacedAgain, "agent_silent", now, actions);
}

absl::Time EntryForwarder::next_deadline() {
  while (!unanswered_.empty()) {
    const Unanswered& first = unanswered_.front();
    const auto awaited = awaited_.find(first.flow);
    if (awaited != awaited_.end() && awaited->second == first.id)
      return first.sent + kAgentAnswerTime;
    unanswered_.pop_front();
  }
  return absl::InfiniteFuture();
}

/// All agents that accept flows have passed the packet over: the one with the
/// least load takes it.
void EntryForwarder::PlaceAnywhere(const FlowId& flow,
                                   ForwardedPacket message,
                                   absl::Time now,
                                   EntryActions& actions) {
  PlacementRequest request = RequestFor(flow, message);
  request.declined = {};
  const absl::optional<Placement> placement = PlaceFlow(agents_, request, now);
  if (!placement.has_value() || message.declined.empty()) {
    PacketHeader header;
    header.opening = true;
    Refuse(flow, header, "no_agent", actions);
    return;
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
  Remember(flow, placement->agent->identity.uid, now);
  actions.to_agents.push_back({placement->agent->endpoint, std::move(message)});
}

void EntryForwarder::SearchFlow(const Route& route,
                                const FlowId& flow,
                                absl::Span<const uint8_t> packet,
                                absl::Time now,
                                EntryActions& actions) {
  const auto found = searches_.find(flow);
  if (found != searches_.end()) {
    // Its candidates do not hold it, or one of them is silent.
    if (now - found->second.started > kCandidatesAnswerTime)
      found->second.all_asked = true;
    // All have answered to an earlier packet, and it was not certain then.
    if (found->second.awaited.empty())
      found->second.asked.clear();
    Ask(found->second, route, flow, packet, now, actions);
    return;
  }
  if (searches_.size() >= kMaxSearches) {
    Search uncounted;
    uncounted.all_asked = true;
    Ask(uncounted, route, flow, packet, now, actions);
    return;
  }
  actions.decisions.push_back(
      MakeDecision(DecisionKind::kSearched, flow, "not_cached"));
  Search& search = searches_[flow];
  search.started = now;
  Ask(search, route, flow, packet, now, actions);
}

void EntryForwarder::Ask(Search& search,
                         const Route& route,
                         const FlowId& flow,
                         absl::Span<const uint8_t> packet,
                         absl::Time now,
                         EntryActions& actions) {
  ForwardedPacket message;
  message.mode = ForwardMode::kSearch;
  message.kind = route.kind;
  message.packet = packet;
  for (const RouteShare& share : route.shares) {
    message.service = share.service;
    const absl::Span<AgentView* const> agents =
        agents_.AgentsOfService(share.service);
    asked_.clear();
    if (search.all_asked)
      asked_.assign(agents.begin(), agents.end());
    else
      AppendCandidates(agents, StableFlowHash(flow), data_centre_,
                       kSearchedPerSide, asked_);
    for (const AgentView* agent : asked_) {
      if (agent->load.state == InstanceState::kDown)
        continue;
      actions.to_agents.push_back({agent->endpoint, message});
      // An answer of a silent candidate is not waited for before all are asked.
      const bool expected = search.all_asked || IsResponsive(*agent, now);
      if (search.asked.insert(agent->identity.uid).second && expected)
        search.awaited.insert(agent->identity.uid);
    }
  }
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
    Refuse(flow, header, "no_route", actions);
    return;
  }
  if (!header.opening) {
    if (returned.mode == ForwardMode::kSearch) {
      NoteNotHeld(returned, *route, flow, header, now, actions);
      return;
    }
    const auto cached = flows_.find(flow);
    if (cached != flows_.end() && cached->second.agent == returned.agent.uid)
      flows_.erase(cached);
    SearchFlow(*route, flow, returned.packet, now, actions);
    return;
  }
  const auto placed = flows_.find(flow);
  if (placed != flows_.end() && placed->second.agent != returned.agent.uid) {
    // Another agent has the packet, since this one was silent for a while. A
    // reset would end the flow there.
    actions.decisions.push_back(
        MakeDecision(DecisionKind::kDeferred, flow, "placed_elsewhere"));
    return;
  }
  awaited_.erase(flow);
  if (IsFinal(returned.reason)) {
    // A cache that does not know the flow may belong to an entry that started
    // again, and another one may have placed a copy.
    if (placed == flows_.end())
      return;
    flows_.erase(placed);
    RefuseReturned(returned, flow, actions);
    return;
  }
  if (IsForced(returned)) {
    flows_.erase(flow);
    RefuseReturned(returned, flow, actions);
    return;
  }
  ForwardedPacket message;
  message.mode = ForwardMode::kOpening;
  message.service = ChooseService(*route, flow);
  DescribeRequest(*route, message);
  message.declined = returned.declined;
  message.declined.push_back(returned.agent.uid);
  message.packet = returned.packet;
  Place(flow, std::move(message), DecisionKind::kPlacedAgain,
        kLeastExpectedTime, now, actions);
}

void EntryForwarder::NoteNotHeld(const ReturnedPacket& returned,
                                 const Route& route,
                                 const FlowId& flow,
                                 const PacketHeader& header,
                                 absl::Time now,
                                 EntryActions& actions) {
  const auto found = searches_.find(flow);
  if (found == searches_.end())
    return;
  Search& search = found->second;
  const bool awaited = search.awaited.erase(returned.agent.uid) > 0;
  if (!awaited || !search.awaited.empty())
    return;
  if (!search.all_asked) {
    search.all_asked = true;
    const size_t asked = search.asked.size();
    Ask(search, route, flow, returned.packet, now, actions);
    if (search.asked.size() > asked)
      return;
  }
  if (!IsHeldNowhere(search, route, now))
    return;
  searches_.erase(found);
  if (header.reset)
    return;
  actions.resets.push_back({flow, header.acknowledged});
  actions.decisions.push_back(
      MakeDecision(DecisionKind::kCut, flow, "no_target_holds_it"));
}

bool EntryForwarder::IsHeldNowhere(const Search& search,
                                   const Route& route,
                                   absl::Time now) const {
  if (now - started_ < kSettleTime)
    return false;
  for (const RouteShare& share : route.shares) {
    if (!agents_.IsComplete(share.service, now))
      return false;
    for (const AgentView* agent : agents_.AgentsOfService(share.service)) {
      if (agent->load.state != InstanceState::kDown &&
          !search.asked.contains(agent->identity.uid))
        return false;
    }
  }
  return true;
}

void EntryForwarder::OnPlaced(const FlowPlaced& placed,
                              Endpoint agent,
                              absl::Time now,
                              EntryActions& actions) {
  agents_.Update(placed.agent, placed.load, agent, now);
  Remember(placed.flow, placed.agent.uid, now);
  awaited_.erase(placed.flow);
  if (searches_.erase(placed.flow) > 0) {
    Decision decision =
        MakeDecision(DecisionKind::kFound, placed.flow, "agent_holds_it");
    decision.agent = placed.agent.uid;
    actions.decisions.push_back(decision);
  }
}

void EntryForwarder::Refuse(const FlowId& flow,
                            const PacketHeader& header,
                            absl::string_view reason,
                            EntryActions& actions) const {
  if (header.reset)
    return;
  actions.resets.push_back({flow, header.acknowledged});
  actions.decisions.push_back(
      MakeDecision(DecisionKind::kRefused, flow, reason));
}

void EntryForwarder::RefuseReturned(const ReturnedPacket& returned,
                                    const FlowId& flow,
                                    EntryActions& actions) const {
  // The flow never opened, so that any sequence number is valid.
  actions.resets.push_back({flow, 0});
  Decision decision = MakeDecision(DecisionKind::kRefused, flow,
                                   ReturnReasonName(returned.reason));
  decision.agent = returned.agent.uid;
  decision.busy = returned.load.busy;
  decision.slots = returned.load.slots;
  decision.hops = static_cast<uint32_t>(returned.declined.size());
  actions.decisions.push_back(decision);
}

void EntryForwarder::Remember(const FlowId& flow,
                              InstanceUid agent,
                              absl::Time now) {
  if (flows_.size() >= kMaxCachedFlows && !flows_.contains(flow))
    return;
  flows_[flow] = CachedFlow{agent, now};
}

void EntryForwarder::ExpireIdle(absl::Time now) {
  const absl::Duration idle =
      std::max(kMinIdleTime, routes_ == nullptr ? absl::ZeroDuration()
                                                : routes_->idle_timeout);
  absl::erase_if(flows_, [now, idle](const auto& flow) {
    return now - flow.second.used > idle;
  });
  absl::erase_if(searches_, [now](const auto& search) {
    return now - search.second.started > kSearchLifetime;
  });
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
