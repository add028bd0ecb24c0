#ifndef SKYLARKSHUNT_FORWARDING_MESSAGES_H_
#define SKYLARKSHUNT_FORWARDING_MESSAGES_H_

#include <cstdint>
#include <limits>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/configuration/configuration_id.h"
#include "skylarkshunt/forwarding/retry_history.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/membership/instance_record.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Maximum number of agents that may decline one opening packet; the next one
/// must accept it.
inline constexpr size_t kMaxDeclines = 3;

/// Least urgent priority of an opening packet.
inline constexpr uint8_t kMaxPriority = 127;

/// Resolution of AgentLoad::pending_work_us in messages. A target with an
/// estimate and a free slot reports one unit, since 0 means no estimate.
inline constexpr uint32_t kPendingWorkUnitUs = 64;

/// Load of the agent's target at the time of the message.
struct AgentLoad {
  /// Requests that the target runs at once; 0 while no target is known.
  uint16_t slots = 0;
  /// Requests that run or wait at the target.
  uint16_t busy = 0;
  /// Flows that are open or being opened.
  uint32_t open_flows = 0;
  /// Expected time from a request to its first byte without waiting, in
  /// microseconds.
  uint32_t service_time_us = 0;
  /// Share of recent requests that the target failed, in thousandths, as
  /// estimated by OutcomeModel. Meaningful only in comparison with other
  /// targets.
  uint16_t failing_permille = 0;
  InstanceState state = InstanceState::kLeaving;
  /// Expected time until the target could start one more request, in
  /// microseconds; 0 if there is no estimate.
  uint32_t pending_work_us = 0;

  bool accepts_flows() const { return state == InstanceState::kServing; }
};

/// Identity of the agent that sends a message.
struct AgentIdentity {
  InstanceUid uid{};
  Incarnation incarnation{};
  ServiceUid service{};
  /// StableHash() of the name of the data centre.
  uint32_t data_centre = 0;
};

/// Periodic report of an agent to every entry.
struct AgentReport {
  AgentIdentity agent;
  /// Grows with each report of one incarnation.
  uint64_t sequence = 0;
  AgentLoad load;
  /// Time until the next report, in milliseconds.
  uint16_t interval_ms = 0;
};

/// Address and role of a node.
struct NodeAddress {
  uint32_t address = 0;
  Role role = Role::kAgent;
};

/// Periodic report of an entry to every node that it knows.
struct EntryReport {
  InstanceUid uid{};
  Incarnation incarnation{};
  uint64_t sequence = 0;
  bool leaving = false;
  /// Time until the next report, in milliseconds.
  uint16_t interval_ms = 0;
  /// Live nodes that the entry knows; a subset if there are many.
  std::vector<NodeAddress> nodes;
};

/// Why an entry sends a packet to an agent.
enum class ForwardMode : uint8_t {
  kOpening = 0,      ///< Requests a new flow.
  kEstablished = 1,  ///< The flow was last seen at this agent.
  kSearch = 2,       ///< Queries agents that may hold the flow.
};

/// A client's packet on its way to an agent.
struct ForwardedPacket {
  ForwardMode mode = ForwardMode::kOpening;
  ServiceUid service{};
  RequestKind kind = RequestKind::kNonIdempotent;
  /// 0 is the most urgent. At most kMaxPriority.
  uint8_t priority = 0;
  /// kSearch: the agents answer from what they know. One that cannot tell
  /// whether its target holds the flow drops the packet instead of passing it
  /// to the target.
  bool known_only = false;
  /// Latency objective, in milliseconds since the client first sent the opening
  /// packet.
  uint32_t objective_ms = 0;
  /// Time since the client first sent the opening packet after which it ends
  /// this attempt, in milliseconds: its share of the request's deadline.
  uint32_t attempt_ms = std::numeric_limits<uint32_t>::max();
  /// The agent declines an opening packet that would wait longer than this for
  /// a slot, in microseconds. The maximum value means that the agent accepts
  /// any wait.
  uint32_t wait_limit_us = 0;
  /// Agents that have declined this opening packet.
  std::vector<InstanceUid> declined;
  absl::Span<const uint8_t> packet;
};

/// Why an agent returns a packet.
enum class ReturnReason : uint8_t {
  kBusy = 0,           ///< The wait for a slot exceeds the limit.
  kNotAccepting = 1,   ///< No target, it drains, or the agent shuts down.
  kWrongService = 2,   ///< The target beside this agent serves another service.
  kTargetRefused = 3,  ///< The target returned the opening packet.
  kTargetUnresponsive = 4,  ///< The target did not answer the opening packet.
  kNotHeld = 5,             ///< The target does not hold the flow.
  kNoSlotInTime = 6,        ///< No slot frees up before the client gives up.
  kQueueFull = 7,           ///< The queue of opening packets is full.
};
/// Number of values of ReturnReason.
inline constexpr size_t kReturnReasons = 8;

/// Whether the client is refused at once and no other agent is tried.
/// Thread-safe.
bool IsFinal(ReturnReason reason);

/// Returns a stable name such as "busy". Thread-safe.
absl::string_view ReturnReasonName(ReturnReason reason);

/// A packet that an agent did not deliver, with the agent's current load.
struct ReturnedPacket {
  AgentIdentity agent;
  AgentLoad load;
  ReturnReason reason = ReturnReason::kNotHeld;
  ForwardMode mode = ForwardMode::kOpening;
  std::vector<InstanceUid> declined;
  absl::Span<const uint8_t> packet;
};

/// Notifies an entry that the agent holds a flow.
struct FlowPlaced {
  AgentIdentity agent;
  AgentLoad load;
  FlowId flow;
};

/// Maximum number of requests in a RefusalReport. Its datagram stays below
/// 1,200 bytes.
inline constexpr size_t kMaxRefusedRequests = 64;

/// Notifies the other entries of a data centre of requests that an entry
/// refused, since the clients' retries may reach any of them. Without requests
/// it only exchanges the data centres of two entries.
struct RefusalReport {
  /// StableHash() of the name of the sender's data centre.
  uint32_t data_centre = 0;
  /// The sender does not know the data centre of the receiver.
  bool wants_reply = false;
  /// At most kMaxRefusedRequests.
  std::vector<RefusedRequest> requests;
};

/// Asks an agent whether it holds a flow, without the packet that belongs to
/// it. The agent answers FlowPlaced or QueryAnswer.
struct FlowQuery {
  FlowId flow;
  /// Whether `acknowledged` is valid.
  bool acknowledges = false;
  /// Next byte that the client expects from the target.
  uint32_t acknowledged = 0;
};

/// Answer of an agent that has no state for the flow of a FlowQuery.
struct QueryAnswer {
  enum class Outcome : uint8_t {
    kNotHeld = 0,  ///< The target does not hold the flow.
    kUnclear = 1,  ///< Only the target can tell.
  };

  AgentIdentity agent;
  AgentLoad load;
  FlowId flow;
  Outcome outcome = Outcome::kUnclear;
};

/// Data centres whose targets get no new flow, as the store had it at a
/// revision.
struct EvacuationSet {
  Revision revision{};
  /// StableHash() of the names of the data centres, as in AgentIdentity; sorted
  /// and unique.
  std::vector<uint32_t> data_centres;
};

/// Maximum number of data centres in an EvacuationReport, 4 bytes each in a
/// datagram of at most 1,200 bytes. Further ones are not reported.
inline constexpr size_t kMaxReportedEvacuations = 240;

/// Notifies another entry of the evacuated data centres, in case its own reads
/// of the store fail.
struct EvacuationReport {
  /// Revision 0 if the sender knows no set.
  EvacuationSet set;
  /// The sender knows no set and asks for that of the receiver.
  bool wants_reply = false;
};

/// Tells another node which configuration the sender has. A node that has an
/// older one fetches it, and one that has a newer one answers with its own
/// report.
struct ConfigurationReport {
  ConfigurationId held;
};

/// Any message between nodes.
using NodeMessage = std::variant<AgentReport,
                                 EntryReport,
                                 ForwardedPacket,
                                 ReturnedPacket,
                                 FlowPlaced,
                                 RefusalReport,
                                 FlowQuery,
                                 QueryAnswer,
                                 EvacuationReport,
                                 ConfigurationReport>;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_MESSAGES_H_
