#ifndef SKYLARKSHUNT_FORWARDING_AGENT_FORWARDER_H_
#define SKYLARKSHUNT_FORWARDING_AGENT_FORWARDER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/agent_flows.h"
#include "skylarkshunt/forwarding/decision.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/opening_queue.h"
#include "skylarkshunt/forwarding/target_state.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// What an agent has to send, in order. Spans point into the packet that was
/// passed in, or into the forwarder until its next call.
struct AgentActions {
  /// A packet for the target, to be marked with the return token.
  struct ToTarget {
    absl::Span<const uint8_t> packet;
    uint32_t return_token = 0;
  };
  /// A packet of the target for its client.
  struct ToClient {
    uint32_t client_address = 0;
    absl::Span<const uint8_t> packet;
  };
  struct ToEntry {
    Endpoint entry;
    /// ReturnedPacket or FlowPlaced.
    NodeMessage message;
  };
  /// A reset of the flow towards its client.
  struct ResetClient {
    FlowId flow;
    uint32_t sequence = 0;
  };

  std::vector<ToTarget> to_target;
  std::vector<ToClient> to_clients;
  std::vector<ToEntry> to_entries;
  std::vector<ResetClient> resets;
  std::vector<Decision> decisions;
  /// The target should be probed: it has not answered.
  bool probe_target = false;

  void Clear();
};

/// Decides what an agent does with the packets of its target, both ways, and
/// knows the target's load from them. Pure: packets, messages, reports and the
/// time go in, actions come out. Not thread-safe.
class AgentForwarder {
 public:
  struct Options {
    AgentIdentity identity;
    /// Name of the service that the settings give.
    std::string service;
    /// Time between two reports of the target.
    absl::Duration report_interval = absl::Seconds(1);
  };

  AgentForwarder(Options options, absl::Time now);

  /// A packet that an entry sent; `header` is the header of the client's packet
  /// inside. Appends to `actions`.
  void OnForwarded(const ForwardedPacket& forwarded,
                   const PacketHeader& header,
                   Endpoint entry,
                   absl::Time now,
                   AgentActions& actions);
  /// A packet that the target sent, or returned.
  void OnTargetPacket(const PacketHeader& header,
                      absl::Span<const uint8_t> packet,
                      absl::Time now,
                      AgentActions& actions);
  TargetChange OnTargetReport(const TargetReport& report,
                              absl::Time now,
                              AgentActions& actions);
  bool OnTargetLeft(absl::string_view id);
  /// A health check succeeded; it stands for the first report after a start.
  void OnTargetHealthy(uint32_t slots);
  /// A connection to the target was refused: it runs no more.
  void OnTargetCrashed(AgentActions& actions);
  /// Handles what is overdue. Call it at next_deadline() or before.
  void Tick(absl::Time now, AgentActions& actions);
  /// When Tick() has something to do.
  absl::Time next_deadline(absl::Time now) const;

  /// Takes no new flow from now on.
  void BeginShutdown();
  /// Whether no flow is left that has an unanswered request.
  bool is_idle() const;
  /// Whether the target has ended, so that nothing is left to wait for.
  bool is_target_gone(absl::Time now) const;

  AgentLoad load(absl::Time now) const;
  const TargetState& target() const { return target_; }

 private:
  /// Where a packet came from that the target may return.
  struct Delivery {
    uint32_t token = 0;
    FlowId flow;
    Endpoint entry;
    ForwardMode mode = ForwardMode::kOpening;
    std::vector<InstanceUid> declined;
  };

  /// An opening packet that the target has not answered yet.
  struct Unanswered {
    FlowId flow;
    uint32_t token = 0;
    absl::Time deadline;
    std::vector<uint8_t> packet;
  };

  void OnOpening(const ForwardedPacket& forwarded,
                 const PacketHeader& header,
                 Endpoint entry,
                 absl::Time now,
                 AgentActions& actions);
  /// Tells an entry that the flow is here.
  void TellPlaced(const FlowId& flow,
                  Endpoint entry,
                  absl::Time now,
                  AgentActions& actions) const;
  void OpenAtTarget(const WaitingOpening& opening,
                    absl::Time now,
                    AgentActions& actions);
  /// Gives free slots to waiting opening packets, or returns them to their
  /// entries while the target takes none.
  void ServeQueue(absl::Time now, AgentActions& actions);
  /// Returns a packet that the target never saw, so that nothing has run. Only
  /// its entry knows whether another agent has taken it meanwhile, and so
  /// whether the client may be refused.
  void GiveBackWaiting(WaitingOpening opening,
                       ReturnReason reason,
                       absl::Time now,
                       AgentActions& actions);
  /// Expected time of the target for a request.
  absl::Duration ServiceTime(absl::Time now) const;
  /// Time from a slot to the first byte at the caller.
  absl::Duration AnswerTime(absl::Time now) const;
  /// Most requests that the target holds at a time: its slots, and what fills
  /// them while the next clients' requests are on their way.
  uint32_t RequestLimit(absl::Time now) const;
  void OnLater(const ForwardedPacket& forwarded,
               const PacketHeader& header,
               Endpoint entry,
               absl::Time now,
               AgentActions& actions);
  void RecordTargetPacket(const FlowId& id,
                          AgentFlows::Flow& flow,
                          const PacketHeader& header,
                          absl::Time now,
                          AgentActions& actions);
  void OnReturnedByTarget(const PacketHeader& header,
                          absl::Span<const uint8_t> packet,
                          absl::Time now,
                          AgentActions& actions);
  void GiveBack(const Delivery& delivery,
                ReturnReason reason,
                absl::Span<const uint8_t> packet,
                absl::Time now,
                AgentActions& actions);
  /// Sends a packet to the target so that it can be told where it came from
  /// when the target returns it. Returns its token.
  uint32_t Deliver(Delivery delivery,
                   absl::Span<const uint8_t> packet,
                   AgentActions& actions);
  void CutFlows(absl::string_view reason, AgentActions& actions);
  Decision MakeDecision(DecisionKind kind,
                        const FlowId& flow,
                        absl::string_view reason) const;

  const Options options_;
  TargetState target_;
  OpeningQueue queue_;
  /// Packets of the queue that the last call passed to the target or gave back.
  /// A deque, since actions point to their bytes.
  std::deque<WaitingOpening> served_;
  AgentFlows flows_;
  /// Flows that the target returned a packet of, and when.
  absl::flat_hash_map<FlowId, absl::Time> not_held_;
  std::vector<Delivery> deliveries_;
  uint32_t next_token_ = 1;
  std::deque<Unanswered> unanswered_;
  /// Flows that the target granted and whose request has not come yet, by the
  /// time until which they count as load.
  std::deque<std::pair<absl::Time, FlowId>> granted_;
  /// Bytes of packets that were given back by Tick().
  std::vector<Unanswered> overdue_;
  bool leaving_ = false;
  absl::Time next_sweep_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_AGENT_FORWARDER_H_
