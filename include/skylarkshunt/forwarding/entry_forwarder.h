#ifndef SKYLARKSHUNT_FORWARDING_ENTRY_FORWARDER_H_
#define SKYLARKSHUNT_FORWARDING_ENTRY_FORWARDER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/container/inlined_vector.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/agent_directory.h"
#include "skylarkshunt/forwarding/decision.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// What an entry has to send, in order. Spans point into the packet that was
/// passed in, or into the forwarder until its next call.
struct EntryActions {
  struct ToAgent {
    Endpoint agent;
    ForwardedPacket message;
  };
  /// A reset of the flow towards its client.
  struct ResetClient {
    FlowId flow;
    uint32_t sequence = 0;
  };

  std::vector<ToAgent> to_agents;
  std::vector<ResetClient> resets;
  std::vector<Decision> decisions;

  void Clear();
};

/// Decides where an entry sends the packets of clients. Pure: packets, messages
/// and the time go in, actions come out. What it keeps of flows is a cache; a
/// flow that is not in it is found by asking the agents. Not thread-safe.
class EntryForwarder {
 public:
  /// `data_centre` is the hash of the entry's data centre as in AgentIdentity.
  EntryForwarder(uint32_t data_centre, absl::Time started);

  /// Puts a configuration into force; older versions are ignored.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  const RouteTable* routes() const { return routes_.get(); }

  AgentDirectory& agents() { return agents_; }

  /// A packet of a client. Appends to `actions`.
  void OnClientPacket(const PacketHeader& header,
                      absl::Span<const uint8_t> packet,
                      absl::Time now,
                      EntryActions& actions);
  /// An agent gave a packet back; `header` is the header of that packet.
  void OnReturned(const ReturnedPacket& returned,
                  const PacketHeader& header,
                  Endpoint agent,
                  absl::Time now,
                  EntryActions& actions);
  void OnPlaced(const FlowPlaced& placed,
                Endpoint agent,
                absl::Time now,
                EntryActions& actions);
  /// Places opening packets again whose agent has not answered. Call it at
  /// next_deadline() or before.
  void Tick(absl::Time now, EntryActions& actions);
  /// When Tick() has something to do; the infinite future if never.
  absl::Time next_deadline();
  /// Forgets idle flows and searches. Call it every second.
  void ExpireIdle(absl::Time now);

  size_t cached_flows() const { return flows_.size(); }

 private:
  struct CachedFlow {
    InstanceUid agent{};
    absl::Time used;
  };
  /// An opening packet that its agent has not answered.
  struct Unanswered {
    FlowId flow;
    uint64_t id = 0;
    InstanceUid agent{};
    absl::Time sent;
    /// Its span does not live; `packet` holds the bytes.
    ForwardedPacket message;
    std::vector<uint8_t> packet;
  };
  /// The agents of a flow are being asked whether they hold it: first its
  /// candidates, then all of them.
  struct Search {
    absl::Time started;
    bool all_asked = false;
    absl::flat_hash_set<InstanceUid> asked;
    /// Those asked that have not answered.
    absl::flat_hash_set<InstanceUid> awaited;
  };

  void Open(const Route& route,
            const FlowId& flow,
            const PacketHeader& header,
            absl::Span<const uint8_t> packet,
            absl::Time now,
            EntryActions& actions);
  void Place(const FlowId& flow,
             ForwardedPacket message,
             DecisionKind kind,
             absl::string_view reason,
             absl::Time now,
             EntryActions& actions);
  /// Valid as long as `message`.
  PlacementRequest RequestFor(const FlowId& flow,
                              const ForwardedPacket& message) const;
  void SendOpening(const FlowId& flow,
                   ForwardedPacket message,
                   const Placement& placement,
                   DecisionKind kind,
                   absl::string_view reason,
                   absl::Time now,
                   EntryActions& actions);
  /// Sends an opening packet whose agent is silent to another one, if there is
  /// one.
  void PlaceElsewhere(const Unanswered& overdue,
                      absl::Time now,
                      EntryActions& actions);
  /// Keeps an opening packet until its agent answers.
  void Await(const FlowId& flow,
             InstanceUid agent,
             const ForwardedPacket& message,
             absl::Time now);
  void PlaceAnywhere(const FlowId& flow,
                     ForwardedPacket message,
                     absl::Time now,
                     EntryActions& actions);
  void SearchFlow(const Route& route,
                  const FlowId& flow,
                  absl::Span<const uint8_t> packet,
                  absl::Time now,
                  EntryActions& actions);
  /// Sends `packet` to the agents that the stage of the search asks.
  void Ask(Search& search,
           const Route& route,
           const FlowId& flow,
           absl::Span<const uint8_t> packet,
           absl::Time now,
           EntryActions& actions);
  /// Whether every agent of the route's services has said that it does not hold
  /// the flow, and none can be missing.
  bool IsHeldNowhere(const Search& search,
                     const Route& route,
                     absl::Time now) const;
  void NoteNotHeld(const ReturnedPacket& returned,
                   const Route& route,
                   const FlowId& flow,
                   const PacketHeader& header,
                   absl::Time now,
                   EntryActions& actions);
  void Refuse(const FlowId& flow,
              const PacketHeader& header,
              absl::string_view reason,
              EntryActions& actions) const;
  /// Refuses a client whose opening packet an agent gave back.
  void RefuseReturned(const ReturnedPacket& returned,
                      const FlowId& flow,
                      EntryActions& actions) const;
  void Remember(const FlowId& flow, InstanceUid agent, absl::Time now);
  Decision MakeDecision(DecisionKind kind,
                        const FlowId& flow,
                        absl::string_view reason) const;

  const uint32_t data_centre_;
  const absl::Time started_;
  std::shared_ptr<const RouteTable> routes_;
  AgentDirectory agents_;
  absl::flat_hash_map<FlowId, CachedFlow> flows_;
  absl::flat_hash_map<FlowId, Search> searches_;
  /// By the time at which they were sent. Those that were answered are no
  /// longer in `awaited_` under their id.
  std::deque<Unanswered> unanswered_;
  absl::flat_hash_map<FlowId, uint64_t> awaited_;
  uint64_t next_id_ = 1;
  /// Bytes of packets that Tick() placed again.
  std::vector<Unanswered> overdue_;
  /// The agents that a search asks; kept for its memory.
  std::vector<AgentView*> asked_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_ENTRY_FORWARDER_H_
