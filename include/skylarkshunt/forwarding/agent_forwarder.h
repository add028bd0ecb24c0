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
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/forwarding/target_state.h"
#include "skylarkshunt/forwarding/warmup_limit.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Packets, messages and decisions that an agent emits, in order. Spans point
/// into the packet that was passed in, or into the forwarder and are then valid
/// until its next call.
struct AgentActions {
  /// A packet for the target. The caller sets its return token.
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
    /// ReturnedPacket, FlowPlaced or QueryAnswer.
    NodeMessage message;
  };
  /// A reset of the flow, sent to its client.
  struct ResetClient {
    FlowId flow;
    uint32_t sequence = 0;
  };

  std::vector<ToTarget> to_target;
  std::vector<ToClient> to_clients;
  std::vector<ToEntry> to_entries;
  std::vector<ResetClient> resets;
  std::vector<Decision> decisions;
  /// The caller should probe the target, since it did not answer or returned
  /// packets.
  bool probe_target = false;

  void Clear();
};

/// Why an agent reports that it does not hold a flow.
enum class NotHeldEvidence : uint8_t {
  kSeenFromStart = 0,   ///< It knows all flows of the target's incarnation.
  kTargetDown = 1,      ///< The target is absent or has ended.
  kTargetReturned = 2,  ///< The target returned a packet of the flow.
  kOtherGrant = 3,      ///< The packet acknowledges another target's sequence.
};
inline constexpr size_t kNotHeldEvidences = 4;

/// Opening packets to a target that was warming up, since the agent's start.
struct WarmupCounts {
  uint64_t delivered = 0;
  /// Those that the limit made wait when they arrived.
  uint64_t delayed = 0;
};

/// Decides how an agent handles the packets to and from its target, and derives
/// the target's load from them. Pure: the inputs are packets, messages, reports
/// and the time, the outputs are actions. Not thread-safe.
class AgentForwarder {
 public:
  struct Options {
    AgentIdentity identity;
    /// Name of the service, from the settings.
    std::string service;
    /// Time between two reports of the target.
    absl::Duration report_interval = absl::Seconds(1);
    /// Limit of opening packets to a cold target, as in WarmupLimit.
    double warmup_excess = 0;
    double warmup_slack = 0;
  };

  AgentForwarder(Options options, absl::Time now);

  /// Sets what the configuration in force says about the target's service; null
  /// if it says nothing.
  void SetServiceSettings(const ServiceSettings* settings);

  /// Handles a packet that an entry forwarded. `header` is the header of the
  /// client's packet inside. Appends to `actions`.
  void OnForwarded(const ForwardedPacket& forwarded,
                   const PacketHeader& header,
                   Endpoint entry,
                   absl::Time now,
                   AgentActions& actions);
  /// Answers an entry that searches for the agent of a flow.
  void OnQuery(const FlowQuery& query,
               Endpoint entry,
               absl::Time now,
               AgentActions& actions);
  /// Handles a packet that the target sent or returned.
  void OnTargetPacket(const PacketHeader& header,
                      absl::Span<const uint8_t> packet,
                      absl::Time now,
                      AgentActions& actions);
  TargetChange OnTargetReport(const TargetReport& report,
                              absl::Time now,
                              AgentActions& actions);
  bool OnTargetLeft(absl::string_view id, int64_t started_unix_ms);
  /// A health check succeeded. Replaces the target's report until the first one
  /// arrives.
  void OnTargetHealthy(uint32_t slots);
  /// A connection to the target was refused in a check that began at `began`:
  /// the process that ran until then has ended. The target may have restarted
  /// since. Precondition: `began` <= `now`.
  void OnTargetCrashed(absl::Time began, absl::Time now, AgentActions& actions);
  /// Handles timeouts. Call it at next_deadline() or before.
  void Tick(absl::Time now, AgentActions& actions);
  /// Returns the time by which Tick() must be called next.
  absl::Time next_deadline(absl::Time now) const;

  /// Stops accepting new flows.
  void BeginShutdown();
  /// Whether no request is running or waiting for a slot.
  bool is_idle() const;
  /// Whether the target has ended or is absent.
  bool is_target_gone(absl::Time now) const;

  AgentLoad load(absl::Time now) const;
  /// Whether the target may be cold, so that its opening packets are limited.
  bool is_warming_up(absl::Time now) const;
  const WarmupLimit& warmup_limit() const { return warmup_limit_; }
  const WarmupCounts& warmup_counts() const { return warmup_counts_; }
  /// State of the queue of opening packets, for operators.
  AdmissionState admission() const;
  /// How far the estimated waits for a slot were off, for operators.
  const WaitAccuracy& wait_accuracy() const { return flows_.work().accuracy(); }
  const TargetState& target() const { return target_; }
  /// Number of reports to entries that a flow is not held, by NotHeldEvidence.
  const std::array<uint64_t, kNotHeldEvidences>& not_held_counts() const {
    return not_held_counts_;
  }

 private:
  /// Origin of a packet that the target may return.
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
  /// Reports to an entry that this agent holds the flow.
  void ReportPlaced(const FlowId& flow,
                    Endpoint entry,
                    absl::Time now,
                    AgentActions& actions) const;
  void OpenAtTarget(const WaitingOpening& opening,
                    absl::Time now,
                    AgentActions& actions);
  /// Assigns free slots to waiting opening packets. Returns the packets to
  /// their entries while the target accepts none.
  void ServeQueue(absl::Time now, AgentActions& actions);
  /// Returns the waiting packets that cannot get a slot in time.
  void RefuseUnservable(absl::Time now, AgentActions& actions);
  /// Returns a packet that the target never received; its request has not run.
  /// The entry decides whether to refuse the client, since only it knows
  /// whether another agent has accepted the packet meanwhile.
  void ReturnWaiting(WaitingOpening opening,
                     ReturnReason reason,
                     absl::Time now,
                     AgentActions& actions);
  /// AgentLoad::pending_work_us.
  uint32_t PendingWorkUs(absl::Time now) const;
  /// What the queue expects of the target's slots.
  SlotForecast Forecast(absl::Time now) const;
  /// Whether the limit of a cold target leaves no opening packet for now.
  bool IsWarmupLimitReached(absl::Time now) const;
  void OnEstablished(const ForwardedPacket& forwarded,
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
  void ReturnToEntry(const Delivery& delivery,
                     ReturnReason reason,
                     absl::Span<const uint8_t> packet,
                     absl::Time now,
                     AgentActions& actions);
  /// Sends a packet to the target and stores its origin under the returned
  /// token, in case the target returns the packet.
  uint32_t Deliver(Delivery delivery,
                   absl::Span<const uint8_t> packet,
                   AgentActions& actions);
  void ReturnNotHeld(const Delivery& delivery,
                     NotHeldEvidence evidence,
                     absl::Span<const uint8_t> packet,
                     absl::Time now,
                     AgentActions& actions);
  /// Returns why the target does not hold a flow without state here; no value
  /// if only the target can tell.
  absl::optional<NotHeldEvidence> EvidenceAgainst(const FlowId& flow,
                                                  absl::Time now) const;
  /// Resets and removes the flows that an earlier incarnation of the target
  /// held: those without a packet of the target since `since`.
  void ResetFlows(absl::Time since,
                  absl::string_view reason,
                  absl::Time now,
                  AgentActions& actions);
  /// Resets one flow at its client.
  void ResetFlow(const FlowId& id,
                 const AgentFlows::Flow& flow,
                 uint32_t sequence,
                 absl::string_view reason,
                 absl::Time now,
                 AgentActions& actions) const;
  Decision MakeDecision(DecisionKind kind,
                        const FlowId& flow,
                        absl::string_view reason) const;

  const Options options_;
  TargetState target_;
  OpeningQueue queue_;
  /// Packets of the queue that the last call sent to the target or returned. A
  /// deque, because actions point to the bytes of its elements.
  std::deque<WaitingOpening> served_;
  AgentFlows flows_;
  /// Until this time the target may hold flows that found no room in `flows_`.
  absl::Time untracked_until_ = absl::InfinitePast();
  /// Flows that the target does not hold, with the time at which it returned a
  /// packet of them.
  absl::flat_hash_map<FlowId, absl::Time> not_held_;
  /// Flows without state here whose packet went to the target, with the entry
  /// that searches for them.
  absl::flat_hash_map<FlowId, Endpoint> probes_;
  std::vector<Delivery> deliveries_;
  uint32_t next_token_ = 1;
  std::deque<Unanswered> unanswered_;
  /// Flows that the target granted, with the time at which they stop counting
  /// as load unless the client has sent its request.
  std::deque<std::pair<absl::Time, FlowId>> granted_;
  /// Timed-out packets that Tick() returned. Actions point to their bytes.
  std::vector<Unanswered> timed_out_;
  OverloadTimer overload_;
  WarmupLimit warmup_limit_;
  /// Time for which a target of the service is cold. Without a configuration a
  /// target may be cold until it reports the opposite.
  absl::Duration warmup_ = absl::InfiniteDuration();
  WarmupCounts warmup_counts_;
  std::array<uint64_t, kNotHeldEvidences> not_held_counts_{};
  bool leaving_ = false;
  absl::Time next_sweep_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_AGENT_FORWARDER_H_
