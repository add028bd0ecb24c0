#include <algorithm>
#include <utility>

#include "skylarkshunt/forwarding/entry_forwarder.h"

// Searches on a slow link. A search with packets sends each packet of a flow to
// many agents. When the routers change the entry of most flows, that exceeds
// the link, and the retransmissions of lost packets keep it full. Queries have
// no payload, and are sent once for all packets of a flow.

namespace skylarkshunt {
namespace {

/// Links up to 250 Mbit/s count as slow. Uploads of 200 flows that change their
/// entry at once take 60 MB of searches with packets, 2 s of such a link.
constexpr uint64_t kSlowLinkBytesPerSecond = 31'250'000;
/// Queries may use at most this part of the link.
constexpr uint64_t kQueryShareDivisor = 4;
/// Size of a query with the headers of its datagram, in bytes.
constexpr size_t kQueryBytes = 47;
/// Header of a forwarded packet and of its datagram, in bytes.
constexpr size_t kForwardOverheadBytes = 64;
/// Maximum number of held packets of one flow: as many as a client sends before
/// it awaits an acknowledgement. Further ones are dropped and the client sends
/// them again.
constexpr size_t kMaxHeldPackets = 16;
/// Maximum size of all held packets, in bytes. Further ones are dropped and the
/// clients send them again.
constexpr size_t kMaxHeldBytes = 2'097'152;
/// Maximum number of searches. Packets of further flows are dropped and the
/// clients send them again.
constexpr size_t kMaxQuerySearches = 4'096;
/// Time for the agents to answer a round of queries. Later rounds wait longer,
/// by the factor kRoundFactor, since a lost datagram may mean that a link is
/// full.
constexpr absl::Duration kFirstRoundTime = absl::Milliseconds(60);
constexpr int kRoundFactor = 2;
/// Number of rounds, over 900 ms. The next packet of the client starts further
/// ones.
constexpr int kMaxRounds = 4;
/// Time until a search that found no room in the share of the link tries again.
constexpr absl::Duration kRoomRetryTime = absl::Milliseconds(20);

}  // namespace

void EntryForwarder::SetLinkRate(uint64_t bytes_per_second) {
  searches_by_queries_ =
      bytes_per_second > 0 && bytes_per_second <= kSlowLinkBytesPerSecond;
  query_share_ = LinkShare(bytes_per_second / kQueryShareDivisor);
}

void EntryForwarder::SearchByQueries(const Route& route,
                                     const FlowId& flow,
                                     const PacketHeader& header,
                                     absl::Span<const uint8_t> packet,
                                     absl::Time now,
                                     EntryActions& actions) {
  const auto found = searches_.find(flow);
  if (found != searches_.end()) {
    Search& search = found->second;
    search.header = header;
    HoldPacket(search, packet);
    const bool waits = search.next_round != absl::InfiniteFuture();
    if (waits && !search.awaited.empty())
      return;
    // All agents have answered, but their answers did not prove that no agent
    // holds the flow, or some did not answer in any round.
    search.queried.clear();
    search.denied.clear();
    search.awaited.clear();
    search.probed.clear();
    search.rounds = 0;
    if (!waits)
      StartQueryRound(search, route, flow, now, actions);
    return;
  }
  if (searches_.size() >= kMaxQuerySearches)
    return;
  actions.decisions.push_back(
      MakeDecision(DecisionKind::kSearched, flow, "not_cached"));
  Search& search = searches_[flow];
  search.started = now;
  search.stage_began = now;
  search.header = header;
  HoldPacket(search, packet);
  StartQueryRound(search, route, flow, now, actions);
}

void EntryForwarder::HoldPacket(Search& search,
                                absl::Span<const uint8_t> packet) {
  const bool is_retransmission = std::any_of(
      search.held.begin(), search.held.end(), [packet](const auto& held) {
        return packet == absl::MakeConstSpan(held);
      });
  if (is_retransmission || search.held.size() >= kMaxHeldPackets ||
      held_bytes_ + packet.size() > kMaxHeldBytes) {
    return;
  }
  search.held.emplace_back(packet.begin(), packet.end());
  held_bytes_ += packet.size();
}

void EntryForwarder::StartQueryRound(Search& search,
                                     const Route& route,
                                     const FlowId& flow,
                                     absl::Time now,
                                     EntryActions& actions) {
  if (!query_share_.HasRoom(now)) {
    ScheduleQueryRound(search, flow, now + kRoomRetryTime);
    return;
  }
  absl::Duration answer_time = kFirstRoundTime;
  for (int i = 0; i < search.rounds; ++i)
    answer_time *= kRoundFactor;
  ++search.rounds;
  ScheduleQueryRound(search, flow, now + answer_time);
  SendSearch(search, route, flow, {}, now, actions);
}

void EntryForwarder::ScheduleQueryRound(Search& search,
                                        const FlowId& flow,
                                        absl::Time at) {
  search.next_round = at;
  query_rounds_.emplace(at, flow);
}

void EntryForwarder::RepeatQueries(absl::Time now, EntryActions& actions) {
  while (!query_rounds_.empty() && query_rounds_.begin()->first <= now) {
    const auto [due, flow] = *query_rounds_.begin();
    query_rounds_.erase(query_rounds_.begin());
    const auto found = searches_.find(flow);
    if (found == searches_.end() || found->second.next_round != due)
      continue;
    Search& search = found->second;
    search.next_round = absl::InfiniteFuture();
    const Route* route = routes_->Find(flow.service);
    if (route == nullptr)
      continue;
    if (!MustOthersAnswer(search, now)) {
      const PacketHeader header = search.header;
      if (ResetIfHeldNowhere(*route, flow, header, now, actions))
        continue;
    }
    if (search.rounds >= kMaxRounds)
      continue;
    // The candidates do not hold the flow, or one of them is unresponsive.
    if (search.rounds > 0)
      WidenUnanswered(search, now);
    StartQueryRound(search, *route, flow, now, actions);
  }
}

void EntryForwarder::SendQueries(Search& search,
                                 const FlowId& flow,
                                 const ForwardedPacket& message,
                                 absl::Time now,
                                 EntryActions& actions) {
  FlowQuery query;
  query.flow = flow;
  query.acknowledges = search.header.acknowledges;
  query.acknowledged = search.header.acknowledged;
  for (const AgentView* agent : queried_) {
    if (search.denied.contains(agent->identity.uid))
      continue;
    // An agent of an earlier release ignores queries. One packet shows that;
    // further ones would go to all agents if the answers are late.
    const bool ignores_queries = search.queried.contains(agent->identity.uid) &&
                                 !agent->answers_queries &&
                                 IsResponsive(*agent, now);
    if (ignores_queries && !search.held.empty() &&
        search.probed.insert(agent->identity.uid).second) {
      ForwardedPacket probe = message;
      probe.packet = search.held.front();
      query_share_.Charge(probe.packet.size() + kForwardOverheadBytes, now);
      actions.to_agents.push_back({agent->endpoint, std::move(probe)});
      continue;
    }
    query_share_.Charge(kQueryBytes, now);
    actions.queries.push_back({agent->endpoint, query});
  }
}

void EntryForwarder::OnQueryAnswer(const QueryAnswer& answer,
                                   Endpoint agent,
                                   absl::Time now,
                                   EntryActions& actions) {
  agents_.Update(answer.agent, answer.load, agent, now);
  AgentView* view = agents_.Find(answer.agent.uid);
  if (view == nullptr ||
      view->identity.incarnation != answer.agent.incarnation) {
    return;
  }
  view->answers_queries = true;
  const auto found = searches_.find(answer.flow);
  const Route* route =
      routes_ == nullptr ? nullptr : routes_->Find(answer.flow.service);
  if (found == searches_.end() || route == nullptr)
    return;
  Search& search = found->second;
  if (answer.outcome == QueryAnswer::Outcome::kNotHeld) {
    const PacketHeader header = search.header;
    RecordNotHeld(answer.agent.uid, *route, answer.flow, header, {}, now,
                  actions);
    return;
  }
  // One packet is enough: the target answers or returns it, and then the agent
  // can tell. The target of a service that never served the route must not get
  // it.
  const std::vector<ServiceUid> services =
      former_services_.Find(answer.flow.service, *route, now);
  const bool may_hold = std::find(services.begin(), services.end(),
                                  answer.agent.service) != services.end();
  if (!may_hold || search.held.empty() || IsHolderMissing(services, now) ||
      QueriesOthersFirst(search, services, now) ||
      !search.probed.insert(answer.agent.uid).second) {
    return;
  }
  ForwardedPacket probe;
  probe.mode = ForwardMode::kSearch;
  probe.service = answer.agent.service;
  probe.kind = route->kind;
  probe.packet = search.held.front();
  query_share_.Charge(probe.packet.size() + kForwardOverheadBytes, now);
  actions.to_agents.push_back({agent, std::move(probe)});
}

void EntryForwarder::ReleaseHeldPackets(Search& search,
                                        const FlowId& flow,
                                        const AgentIdentity& holder,
                                        Endpoint agent,
                                        EntryActions& actions) {
  released_ = std::move(search.held);
  const Route* route =
      routes_ == nullptr ? nullptr : routes_->Find(flow.service);
  for (const std::vector<uint8_t>& packet : released_) {
    held_bytes_ -= packet.size();
    if (route == nullptr)
      continue;
    ForwardedPacket message;
    message.mode = ForwardMode::kEstablished;
    message.service = holder.service;
    message.kind = route->kind;
    message.packet = packet;
    actions.to_agents.push_back({agent, std::move(message)});
  }
}

}  // namespace skylarkshunt
