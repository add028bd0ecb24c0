#ifndef SKYLARKSHUNT_FORWARDING_ENTRY_FORWARDER_H_
#define SKYLARKSHUNT_FORWARDING_ENTRY_FORWARDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/container/inlined_vector.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/agent_directory.h"
#include "skylarkshunt/forwarding/decision.h"
#include "skylarkshunt/forwarding/former_services.h"
#include "skylarkshunt/forwarding/link_share.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/opening_copies.h"
#include "skylarkshunt/forwarding/retry_history.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/forwarding/unanswered_openings.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Messages, resets and decisions that an entry emits, in order. Spans point
/// into the packet that was passed in, or into the forwarder and are then valid
/// until its next call.
struct EntryActions {
  struct ToAgent {
    Endpoint agent;
    ForwardedPacket message;
  };
  struct QueryToAgent {
    Endpoint agent;
    FlowQuery message;
  };
  /// A reset of the flow, sent to its client.
  struct ResetClient {
    FlowId flow;
    uint32_t sequence = 0;
  };

  std::vector<ToAgent> to_agents;
  std::vector<QueryToAgent> queries;
  std::vector<ResetClient> resets;
  /// Refused requests that may be tried again through another entry of the data
  /// centre.
  std::vector<RefusedRequest> refused;
  std::vector<Decision> decisions;

  void Clear();
};

/// Number of searches by outcome since the start of the entry.
struct SearchCounts {
  uint64_t found = 0;
  /// All agents reported that they do not hold the flow.
  uint64_t held_nowhere = 0;
  /// No agent reported the flow, and the answers did not prove that none holds
  /// it.
  uint64_t not_proven = 0;
};

/// What a configuration was used for.
struct RouteUse {
  /// Opening packets of clients that were placed by it.
  uint64_t placements = 0;
  /// The last one of them; the infinite past if there is none.
  absl::Time last_placement = absl::InfinitePast();
};

/// Result of EntryForwarder::SetRoutes().
struct RouteChange {
  /// False if the version is lower than the one in force.
  bool in_force = false;
  /// Version that was in force before, 0 if none, and its use.
  uint64_t former_version = 0;
  RouteUse former_use;
};

/// Decides where an entry sends the packets of clients. Pure: the inputs are
/// packets, messages and the time, the outputs are actions. Its flow state is
/// only a cache; for a flow that is not cached it queries the agents. Not
/// thread-safe.
class EntryForwarder {
 public:
  /// `data_centre` is the hash of the entry's data centre as in AgentIdentity.
  EntryForwarder(uint32_t data_centre, absl::Time started);

  /// Sets the rate of the entry's link. On a slow link, a search sends queries
  /// instead of packets, and holds the packets until an agent reports the flow.
  /// Precondition: no packet has been handled yet.
  void SetLinkRate(uint64_t bytes_per_second);

  /// Puts a configuration into force; older versions are ignored. Returns
  /// whether it is in force, and what the former one was used for.
  /// Precondition: `routes` is not null.
  RouteChange SetRoutes(std::shared_ptr<const RouteTable> routes,
                        absl::Time now);
  const RouteTable* routes() const { return routes_.get(); }

  /// Defers opening packets until `limit`, because the evacuated data centres
  /// are unknown or may be outdated. The infinite past ends that.
  void AwaitEvacuated(absl::Time limit) { evacuated_limit_ = limit; }
  /// Sets the data centres whose agents get no new flow, as in AgentIdentity.
  /// Open flows stay. Precondition: `data_centres` is sorted.
  void SetEvacuated(std::vector<uint32_t> data_centres) {
    evacuated_ = std::move(data_centres);
  }

  /// Whether the agent's data centre is evacuated.
  bool IsEvacuated(const AgentView& agent) const;

  AgentDirectory& agents() { return agents_; }
  /// Refusals by this entry and by others of its data centre.
  RetryHistory& retries() { return retries_; }

  /// Longest time for which the packets that are handled next may have waited
  /// in the socket. Precondition: `delay` is not negative.
  void set_socket_delay(absl::Duration delay) { socket_delay_ = delay; }
  /// Copies of opening packets that this entry received.
  const OpeningCopies& opening_copies() const { return copies_; }

  /// Handles a packet of a client. Appends to `actions`.
  void OnClientPacket(const PacketHeader& header,
                      absl::Span<const uint8_t> packet,
                      absl::Time now,
                      EntryActions& actions);
  /// Handles a packet that an agent returned. `header` is the header of that
  /// packet.
  void OnReturned(const ReturnedPacket& returned,
                  const PacketHeader& header,
                  Endpoint agent,
                  absl::Time now,
                  EntryActions& actions);
  void OnPlaced(const FlowPlaced& placed,
                Endpoint agent,
                absl::Time now,
                EntryActions& actions);
  void OnQueryAnswer(const QueryAnswer& answer,
                     Endpoint agent,
                     absl::Time now,
                     EntryActions& actions);
  /// Sends opening packets whose agent has not answered to another agent, and
  /// repeats queries. Call it at next_deadline() or before.
  void Tick(absl::Time now, EntryActions& actions);
  /// Returns the time by which Tick() must be called next; the infinite future
  /// if no packet or query awaits an answer. Discards answered packets.
  absl::Time next_deadline();
  /// Removes expired flows and searches. Call it every second.
  void ExpireIdle(absl::Time now);

  size_t cached_flows() const { return flows_.size(); }
  const SearchCounts& search_counts() const { return search_counts_; }

 private:
  struct CachedFlow {
    InstanceUid agent{};
    absl::Time used;
    /// When this entry got the opening packet or found the agent.
    absl::Time since;
    Attempt attempt;
    /// The agent got a packet other than an opening packet, or answered a
    /// search for the flow.
    bool established = false;
    /// Sequence of the opening packet that the agent got from this entry. No
    /// value if another entry placed the flow.
    absl::optional<uint32_t> opening_sequence;
  };
  /// Which agents a search queries. Each stage includes the ones before.
  enum class SearchStage : uint8_t {
    kCandidates,     ///< The candidates of the flow.
    kAllAgents,      ///< All agents of the services that may hold the flow.
    kOtherServices,  ///< All agents, before a reset.
  };
  /// State of a search for the agent that holds a flow.
  struct Search {
    absl::Time started;
    SearchStage stage = SearchStage::kCandidates;
    absl::Time stage_began;
    absl::flat_hash_set<InstanceUid> queried;
    /// Queried agents that are expected to answer and have not done so.
    absl::flat_hash_set<InstanceUid> awaited;
    /// Agents that answered that they do not hold the flow.
    absl::flat_hash_set<InstanceUid> denied;
    /// The other members are used by searches with queries only. Header of the
    /// client's last packet.
    PacketHeader header;
    /// Packets of the flow, sent once its agent is known.
    std::vector<std::vector<uint8_t>> held;
    /// Rounds of queries since the search or its repetition began.
    int rounds = 0;
    /// Time of the next round; the infinite future if there is none.
    absl::Time next_round = absl::InfiniteFuture();
    /// Agents that got the first held packet, since only their target can tell
    /// whether it holds the flow, or since they ignore queries.
    absl::flat_hash_set<InstanceUid> probed;
  };

  /// Returns the attempt of the flow of an opening packet.
  Attempt AttemptOf(const FlowId& flow,
                    const PacketHeader& header,
                    absl::Time now);
  void Open(const Route& route,
            const FlowId& flow,
            const PacketHeader& header,
            absl::Span<const uint8_t> packet,
            absl::Time now,
            EntryActions& actions);
  /// Whether the opening packet in `header` opens another flow than the cached
  /// one with the same addresses and ports, so that the cached agent cannot
  /// have accepted a copy of it.
  static bool IsNewFlow(const CachedFlow& cached, const PacketHeader& header);
  /// Returns false if it refused the client.
  bool Place(const FlowId& flow,
             ForwardedPacket message,
             DecisionKind kind,
             absl::string_view reason,
             absl::Time now,
             EntryActions& actions);
  /// The result refers to `message` and is valid as long as it.
  PlacementRequest MakePlacementRequest(const FlowId& flow,
                                        const ForwardedPacket& message) const;
  void SendOpening(const FlowId& flow,
                   ForwardedPacket message,
                   const Placement& placement,
                   DecisionKind kind,
                   absl::string_view reason,
                   absl::Time now,
                   EntryActions& actions);
  /// Sends an opening packet whose agent did not answer to another agent, if
  /// there is one.
  void PlaceElsewhere(const UnansweredOpenings::Opening& timed_out,
                      absl::Time now,
                      EntryActions& actions);
  bool PlaceForced(const FlowId& flow,
                   ForwardedPacket message,
                   absl::Time now,
                   EntryActions& actions);
  void SearchFlow(const Route& route,
                  const FlowId& flow,
                  const PacketHeader& header,
                  absl::Span<const uint8_t> packet,
                  absl::Time now,
                  EntryActions& actions);
  /// Moves the search to its next stage. Returns false if there is none.
  static bool WidenSearch(Search& search, absl::Time now);
  /// Moves a search that is not answered to its next stage. Agents of services
  /// that the route never named are queried only if all others deny the flow.
  void WidenUnanswered(Search& search, absl::Time now) const;
  /// Sends `packet` to the agents of the current stage of the search.
  void SendSearch(Search& search,
                  const Route& route,
                  const FlowId& flow,
                  absl::Span<const uint8_t> packet,
                  absl::Time now,
                  EntryActions& actions);
  /// Puts the agents of `service` that the stage of the search concerns into
  /// `queried_`.
  void SelectAgents(const Search& search,
                    const FlowId& flow,
                    ServiceUid service);
  /// Sends `message` to the agents in `queried_`. Unless `must_answer`, the
  /// search does not wait for them.
  void QueryAgents(Search& search,
                   const FlowId& flow,
                   const ForwardedPacket& message,
                   bool must_answer,
                   absl::Time now,
                   EntryActions& actions);
  /// Whether the candidates of services that the route never named are queried
  /// at once, since the former services are not known. Targets get no packet
  /// before these could answer.
  bool QueriesOthersFirst(const Search& search,
                          absl::Span<const ServiceUid> services,
                          absl::Time now) const;
  /// Whether a reset needs the answers of the agents of services that the route
  /// never named.
  bool MustOthersAnswer(const Search& search, absl::Time now) const;
  /// Whether targets without state for the flow must not get its packets, since
  /// the agent that holds it may be missing.
  bool IsHolderMissing(absl::Span<const ServiceUid> services,
                       absl::Time now) const;
  /// Handles a packet of an unknown flow on a slow link.
  void SearchByQueries(const Route& route,
                       const FlowId& flow,
                       const PacketHeader& header,
                       absl::Span<const uint8_t> packet,
                       absl::Time now,
                       EntryActions& actions);
  /// Keeps a packet until the agent of the flow is known.
  void HoldPacket(Search& search, absl::Span<const uint8_t> packet);
  /// Queries the agents of the current stage of the search, or postpones that
  /// while the share of the link is used up.
  void StartQueryRound(Search& search,
                       const Route& route,
                       const FlowId& flow,
                       absl::Time now,
                       EntryActions& actions);
  void ScheduleQueryRound(Search& search, const FlowId& flow, absl::Time at);
  /// Sends the queries of a round to the agents in `queried_`.
  void SendQueries(Search& search,
                   const FlowId& flow,
                   const ForwardedPacket& message,
                   absl::Time now,
                   EntryActions& actions);
  /// Starts the rounds of queries that are due.
  void RepeatQueries(absl::Time now, EntryActions& actions);
  /// Sends the held packets of a flow to the agent that holds it.
  void ReleaseHeldPackets(Search& search,
                          const FlowId& flow,
                          const AgentIdentity& holder,
                          Endpoint agent,
                          EntryActions& actions);
  /// Returns the services with agents other than `services`; none if they have
  /// more than kMaxOtherAgents agents.
  std::vector<ServiceUid> OtherServices(
      absl::Span<const ServiceUid> services) const;
  /// Whether the agents of `services` do not hold the flow, nor those of any
  /// other service that an earlier configuration may have named.
  bool IsHeldNowhere(const Search& search,
                     absl::Span<const ServiceUid> services,
                     absl::Time now) const;
  /// Whether every agent of the service has reported that it does not hold the
  /// flow, and no agent can be missing from the directory.
  bool IsDeniedBy(const Search& search,
                  ServiceUid service,
                  absl::Time now) const;
  /// Records that `agent` does not hold the flow of a packet. Resets the flow
  /// once that is true of every agent.
  void RecordNotHeld(InstanceUid agent,
                     const Route& route,
                     const FlowId& flow,
                     const PacketHeader& header,
                     absl::Span<const uint8_t> packet,
                     absl::Time now,
                     EntryActions& actions);
  /// Whether the entry has just started and the client sends a retransmission
  /// of its opening packet, so that the packet need not be refused yet.
  bool MaySucceedLater(const PacketHeader& header, absl::Time now) const;
  /// Refuses an opening packet that cannot be placed before the client ends its
  /// attempt, since there is no configuration. Drops all other packets.
  void RefuseWithoutConfiguration(const PacketHeader& header,
                                  absl::Time now,
                                  EntryActions& actions);
  /// Ends the search and resets the flow if it is proven that no agent holds
  /// it. Precondition: there is a search for it.
  bool ResetIfHeldNowhere(const Route& route,
                          const FlowId& flow,
                          const PacketHeader& header,
                          absl::Time now,
                          EntryActions& actions);
  /// Resets the flow of a packet without a route, unless another entry may have
  /// opened it.
  void RefuseWithoutRoute(const PacketHeader& header,
                          absl::Time now,
                          EntryActions& actions);
  /// Whether a flow without a route may be open by a configuration that this
  /// entry has never had. Records the first packet of a flow that is not
  /// cached.
  bool MayBeOpenElsewhere(const FlowId& flow, absl::Time now);
  void Refuse(const FlowId& flow,
              uint32_t sequence,
              absl::string_view reason,
              absl::Time now,
              EntryActions& actions) const;
  /// Decides whether to refuse the client. If an agent may have opened the
  /// flow, a reset would be untrue: removes the flow from the cache, relies on
  /// the client's retransmission, and returns true.
  bool DeferRefusal(const FlowId& flow, absl::Time now, EntryActions& actions);
  /// Adds the decision to drop an opening packet.
  void RecordDeferred(const FlowId& flow,
                      absl::string_view reason,
                      absl::Time now,
                      EntryActions& actions) const;
  /// Refuses a client whose opening packet an agent returned, and removes the
  /// flow.
  void RefuseReturned(const ReturnedPacket& returned,
                      const FlowId& flow,
                      absl::Time now,
                      EntryActions& actions);
  /// Returns the cached flow, or null if the cache is full. Valid until a flow
  /// is added or erased.
  CachedFlow* CacheFlow(const FlowId& flow, InstanceUid agent, absl::Time now);
  OpeningEvidence EvidenceOfOpening(const FlowId& flow, absl::Time now) const;
  SearchEvidence EvidenceOfSearch(const Search& search,
                                  absl::Span<const ServiceUid> services,
                                  absl::Time now) const;
  void RecordRefused(const FlowId& flow,
                     const Attempt& attempt,
                     absl::Time now,
                     EntryActions& actions);
  Decision MakeDecision(DecisionKind kind,
                        const FlowId& flow,
                        absl::string_view reason) const;

  const uint32_t data_centre_;
  const absl::Time started_;
  std::shared_ptr<const RouteTable> routes_;
  /// Use of `routes_` since it came into force.
  RouteUse route_use_;
  AgentDirectory agents_;
  std::vector<uint32_t> evacuated_;
  /// Until then, opening packets are deferred.
  absl::Time evacuated_limit_ = absl::InfinitePast();
  RetryHistory retries_;
  absl::flat_hash_map<FlowId, CachedFlow> flows_;
  absl::flat_hash_map<FlowId, Search> searches_;
  bool searches_by_queries_ = false;
  LinkShare query_share_{0};
  /// Searches by the time of their next round of queries. Outdated elements
  /// differ from Search::next_round.
  std::multimap<absl::Time, FlowId> query_rounds_;
  size_t held_bytes_ = 0;
  /// Packets of the last search that ended. Actions point to their bytes.
  std::vector<std::vector<uint8_t>> released_;
  UnansweredOpenings unanswered_;
  OpeningCopies copies_;
  absl::Duration socket_delay_;
  SearchCounts search_counts_;
  FormerServices former_services_;
  /// Addresses without a route that had one in an earlier configuration.
  absl::flat_hash_set<Endpoint> dropped_routes_;
  /// Time of the first packet since the last configuration of flows that are
  /// not cached and have no route any more.
  absl::flat_hash_map<FlowId, absl::Time> unrouted_;
  /// Timed-out packets that Tick() sent to another agent. Actions point to
  /// their bytes.
  std::vector<UnansweredOpenings::Opening> timed_out_;
  /// Agents that a search queries; a member to reuse its memory.
  std::vector<AgentView*> queried_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_ENTRY_FORWARDER_H_
