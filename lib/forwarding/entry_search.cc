#include <algorithm>
#include <utility>

#include "skylarkshunt/forwarding/entry_forwarder.h"

// The search for the agent that holds a flow, and the proof that none does.

namespace skylarkshunt {
namespace {

/// Maximum number of concurrent searches. The agents are still queried for
/// further flows, but their answers are not counted, and those flows are never
/// reset.
constexpr size_t kMaxSearches = 4'096;
/// Time for the candidates of a flow to answer a search. The next packet after
/// it is sent to all agents.
constexpr absl::Duration kCandidatesAnswerTime = absl::Milliseconds(60);
/// Time for the agents of services that the route never named to answer a
/// search, if the former services are known.
constexpr absl::Duration kOthersAnswerTime = absl::Milliseconds(60);
/// Maximum number of agents of services that the route does not name. In larger
/// fleets an entry resets no flow before it knows the former services, and then
/// does not query the other agents.
constexpr size_t kMaxOtherAgents = 512;

bool Contains(absl::Span<const ServiceUid> services, ServiceUid service) {
  return std::find(services.begin(), services.end(), service) != services.end();
}

}  // namespace

void EntryForwarder::SearchFlow(const Route& route,
                                const FlowId& flow,
                                const PacketHeader& header,
                                absl::Span<const uint8_t> packet,
                                absl::Time now,
                                EntryActions& actions) {
  if (searches_by_queries_) {
    SearchByQueries(route, flow, header, packet, now, actions);
    return;
  }
  const auto found = searches_.find(flow);
  if (found != searches_.end()) {
    // The queried agents do not hold the flow, or one of them is unresponsive.
    if (now - found->second.stage_began > kCandidatesAnswerTime)
      WidenUnanswered(found->second, now);
    // All agents have answered an earlier packet, but their answers did not
    // prove that no agent holds the flow, or those that have not need not do
    // so.
    if (found->second.awaited.empty() ||
        !MustOthersAnswer(found->second, now)) {
      found->second.queried.clear();
      found->second.denied.clear();
      found->second.awaited.clear();
    }
    SendSearch(found->second, route, flow, packet, now, actions);
    return;
  }
  if (searches_.size() >= kMaxSearches) {
    Search uncounted;
    uncounted.stage = SearchStage::kAllAgents;
    SendSearch(uncounted, route, flow, packet, now, actions);
    return;
  }
  actions.decisions.push_back(
      MakeDecision(DecisionKind::kSearched, flow, "not_cached"));
  Search& search = searches_[flow];
  search.started = now;
  search.stage_began = now;
  SendSearch(search, route, flow, packet, now, actions);
}

void EntryForwarder::WidenUnanswered(Search& search, absl::Time now) const {
  if (search.stage == SearchStage::kCandidates ||
      !former_services_.IsComplete(now)) {
    WidenSearch(search, now);
  }
}

bool EntryForwarder::WidenSearch(Search& search, absl::Time now) {
  if (search.stage == SearchStage::kOtherServices)
    return false;
  search.stage = search.stage == SearchStage::kCandidates
                     ? SearchStage::kAllAgents
                     : SearchStage::kOtherServices;
  search.stage_began = now;
  return true;
}

void EntryForwarder::SendSearch(Search& search,
                                const Route& route,
                                const FlowId& flow,
                                absl::Span<const uint8_t> packet,
                                absl::Time now,
                                EntryActions& actions) {
  ForwardedPacket message;
  message.mode = ForwardMode::kSearch;
  message.kind = route.kind;
  message.packet = packet;
  const std::vector<ServiceUid> services =
      former_services_.Find(flow.service, route, now);
  message.known_only = IsHolderMissing(services, now) ||
                       QueriesOthersFirst(search, services, now);
  for (const ServiceUid service : services) {
    message.service = service;
    SelectAgents(search, flow, service);
    QueryAgents(search, flow, message, true, now, actions);
  }
  if (search.stage != SearchStage::kOtherServices &&
      !QueriesOthersFirst(search, services, now))
    return;
  // The target of another service must not get the packet unless its agent
  // knows the flow.
  message.known_only = true;
  for (const ServiceUid service : OtherServices(services)) {
    message.service = service;
    SelectAgents(search, flow, service);
    QueryAgents(search, flow, message, MustOthersAnswer(search, now), now,
                actions);
  }
}

void EntryForwarder::SelectAgents(const Search& search,
                                  const FlowId& flow,
                                  ServiceUid service) {
  const absl::Span<AgentView* const> agents = agents_.AgentsOfService(service);
  queried_.clear();
  if (search.stage == SearchStage::kCandidates) {
    AppendCandidates(agents, StableFlowHash(flow), data_centre_,
                     kSearchedPerSide, queried_);
  } else {
    queried_.assign(agents.begin(), agents.end());
  }
}

bool EntryForwarder::QueriesOthersFirst(const Search& search,
                                        absl::Span<const ServiceUid> services,
                                        absl::Time now) const {
  return search.stage == SearchStage::kCandidates &&
         !former_services_.IsComplete(now) && !OtherServices(services).empty();
}

bool EntryForwarder::MustOthersAnswer(const Search& search,
                                      absl::Time now) const {
  return search.stage != SearchStage::kOtherServices ||
         !former_services_.IsComplete(now) ||
         now - search.stage_began <= kOthersAnswerTime;
}

bool EntryForwarder::IsHolderMissing(absl::Span<const ServiceUid> services,
                                     absl::Time now) const {
  return std::any_of(services.begin(), services.end(),
                     [this, now](ServiceUid service) {
                       return !agents_.IsComplete(service, now) ||
                              agents_.IsAnyLeaving(service);
                     });
}

std::vector<ServiceUid> EntryForwarder::OtherServices(
    absl::Span<const ServiceUid> services) const {
  std::vector<ServiceUid> others;
  size_t agents = 0;
  for (const ServiceUid service : agents_.Services()) {
    const size_t size = agents_.AgentsOfService(service).size();
    if (size == 0 || Contains(services, service))
      continue;
    agents += size;
    others.push_back(service);
  }
  if (agents > kMaxOtherAgents)
    others.clear();
  return others;
}

void EntryForwarder::QueryAgents(Search& search,
                                 const FlowId& flow,
                                 const ForwardedPacket& message,
                                 bool must_answer,
                                 absl::Time now,
                                 EntryActions& actions) {
  // A target may have started beside an agent since its last message, so agents
  // without target are queried too.
  if (searches_by_queries_) {
    SendQueries(search, flow, message, now, actions);
  } else {
    for (const AgentView* agent : queried_)
      actions.to_agents.push_back({agent->endpoint, message});
  }
  for (const AgentView* agent : queried_) {
    // The search does not wait for an unresponsive candidate before it queries
    // all agents, nor for an agent that ended without target.
    const bool may_hold = search.stage != SearchStage::kCandidates &&
                          agent->load.state != InstanceState::kDown;
    const bool expected =
        must_answer && (may_hold || IsResponsive(*agent, now));
    if (search.queried.insert(agent->identity.uid).second && expected)
      search.awaited.insert(agent->identity.uid);
  }
}

void EntryForwarder::RecordNotHeld(InstanceUid agent,
                                   const Route& route,
                                   const FlowId& flow,
                                   const PacketHeader& header,
                                   absl::Span<const uint8_t> packet,
                                   absl::Time now,
                                   EntryActions& actions) {
  const auto found = searches_.find(flow);
  if (found == searches_.end())
    return;
  Search& search = found->second;
  search.denied.insert(agent);
  const bool awaited = search.awaited.erase(agent) > 0;
  if (!awaited || !search.awaited.empty())
    return;
  while (WidenSearch(search, now)) {
    const size_t queried = search.queried.size();
    SendSearch(search, route, flow, packet, now, actions);
    if (search.queried.size() > queried)
      return;
  }
  ResetIfHeldNowhere(route, flow, header, now, actions);
}

bool EntryForwarder::ResetIfHeldNowhere(const Route& route,
                                        const FlowId& flow,
                                        const PacketHeader& header,
                                        absl::Time now,
                                        EntryActions& actions) {
  const auto found = searches_.find(flow);
  const Search& search = found->second;
  const std::vector<ServiceUid> services =
      former_services_.Find(flow.service, route, now);
  if (!IsHeldNowhere(search, services, now))
    return false;
  const SearchEvidence evidence = EvidenceOfSearch(search, services, now);
  for (const std::vector<uint8_t>& held : search.held)
    held_bytes_ -= held.size();
  searches_.erase(found);
  ++search_counts_.held_nowhere;
  if (header.reset)
    return true;
  actions.resets.push_back({flow, header.acknowledged});
  Decision decision =
      MakeDecision(DecisionKind::kFlowReset, flow, "no_target_holds_it");
  decision.sequence = header.acknowledged;
  decision.evidence = evidence;
  actions.decisions.push_back(decision);
  return true;
}

SearchEvidence EntryForwarder::EvidenceOfSearch(
    const Search& search,
    absl::Span<const ServiceUid> services,
    absl::Time now) const {
  SearchEvidence evidence;
  evidence.queried = static_cast<uint32_t>(search.queried.size());
  evidence.uptime = now - started_;
  absl::Time newest = absl::InfinitePast();
  for (const ServiceUid service : services) {
    evidence.known +=
        static_cast<uint32_t>(agents_.AgentsOfService(service).size());
    newest = std::max(newest, agents_.last_appeared(service));
  }
  evidence.newest_agent = now - newest;
  return evidence;
}

bool EntryForwarder::IsHeldNowhere(const Search& search,
                                   absl::Span<const ServiceUid> services,
                                   absl::Time now) const {
  const auto is_denied = [this, &search, now](ServiceUid service) {
    return IsDeniedBy(search, service, now);
  };
  if (!std::all_of(services.begin(), services.end(), is_denied))
    return false;
  if (search.stage != SearchStage::kOtherServices)
    return false;
  // A configuration that this entry has never had may have named any service.
  if (!former_services_.IsComplete(now)) {
    const std::vector<ServiceUid> known = agents_.Services();
    return std::all_of(known.begin(), known.end(), is_denied);
  }
  // Another entry may have opened the flow by a version that has not come here
  // yet. Its agent knows so recent a flow and answers at once, so that agents
  // which cannot tell need not be awaited.
  if (!MustOthersAnswer(search, now))
    return true;
  const std::vector<ServiceUid> others = OtherServices(services);
  return std::all_of(
      others.begin(), others.end(), [this, &search, now](ServiceUid service) {
        const absl::Span<AgentView* const> agents =
            agents_.AgentsOfService(service);
        return std::all_of(agents.begin(), agents.end(),
                           [&search, now](const AgentView* a) {
                             return search.denied.contains(a->identity.uid) ||
                                    (a->load.state == InstanceState::kDown &&
                                     !IsResponsive(*a, now));
                           });
      });
}

bool EntryForwarder::IsDeniedBy(const Search& search,
                                ServiceUid service,
                                absl::Time now) const {
  // An agent that restarts, or was cut off together with this entry, may be
  // missing until its expiry timeout.
  const absl::Time since = std::max(started_, agents_.last_lost(service));
  if (now - since < agents_.ExpiryTimeout(service) ||
      !agents_.IsComplete(service, now)) {
    return false;
  }
  const absl::Span<AgentView* const> agents = agents_.AgentsOfService(service);
  return std::all_of(
      agents.begin(), agents.end(), [&search, now](const AgentView* agent) {
        // A target and its agent may have started at this address since, and
        // answer the search.
        const bool ended = agent->load.state == InstanceState::kDown &&
                           !IsResponsive(*agent, now) &&
                           now - search.stage_began > kCandidatesAnswerTime;
        return ended || search.denied.contains(agent->identity.uid);
      });
}

}  // namespace skylarkshunt
