#ifndef SKYLARKSHUNT_FORWARDING_MESSAGES_H_
#define SKYLARKSHUNT_FORWARDING_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/membership/instance_record.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Most agents that may pass over one opening packet before the next takes it.
inline constexpr size_t kMaxDeclines = 3;

/// What an agent knows of its own target, exact at the time of the message.
struct AgentLoad {
  /// Requests that the target runs at once; 0 while no target is known.
  uint16_t slots = 0;
  /// Requests that run or wait at the target.
  uint16_t busy = 0;
  /// Flows that are open or opening.
  uint32_t open_flows = 0;
  /// Expected time from a request to its first byte without waiting, in
  /// microseconds.
  uint32_t service_time_us = 0;
  /// Share of recent requests that the target failed, in thousandths, as
  /// OutcomeModel tells it; to be compared with other targets.
  uint16_t failing_permille = 0;
  InstanceState state = InstanceState::kLeaving;

  bool accepts_flows() const { return state == InstanceState::kServing; }
};

/// Who sends a message of an agent.
struct AgentIdentity {
  InstanceUid uid{};
  Incarnation incarnation{};
  ServiceUid service{};
  /// StableHash() of the name of the data centre.
  uint32_t data_centre = 0;
};

/// Regular report of an agent to every entry.
struct AgentReport {
  AgentIdentity agent;
  /// Grows with each report of one incarnation.
  uint64_t sequence = 0;
  AgentLoad load;
  /// Revision of the configuration that the agent holds.
  Revision configuration{};
  /// Time until the next report, in milliseconds.
  uint16_t interval_ms = 0;
};

/// Address of a node and what runs there.
struct NodeAddress {
  uint32_t address = 0;
  Role role = Role::kAgent;
};

/// Regular report of an entry to every node it knows.
struct EntryReport {
  InstanceUid uid{};
  Incarnation incarnation{};
  uint64_t sequence = 0;
  Revision configuration{};
  bool leaving = false;
  /// Time until the next report, in milliseconds.
  uint16_t interval_ms = 0;
  /// Live nodes that the entry knows, a part of them where there are many.
  std::vector<NodeAddress> nodes;
};

/// Why an entry sends a packet to an agent.
enum class ForwardMode : uint8_t {
  kOpening = 0,      ///< Asks for a new flow.
  kEstablished = 1,  ///< The flow was last seen at this agent.
  kSearch = 2,       ///< Agents that may hold the flow are asked for it.
};

/// A client's packet on its way to an agent.
struct ForwardedPacket {
  ForwardMode mode = ForwardMode::kOpening;
  ServiceUid service{};
  RequestKind kind = RequestKind::kNonIdempotent;
  /// 0 is the most urgent.
  uint8_t priority = 0;
  /// Time from the first copy of an opening packet within which its answer is
  /// worth most, in milliseconds.
  uint32_t objective_ms = 0;
  /// Time from the first copy of an opening packet after which its client is
  /// better off with another attempt, unless a slot is in sight; the maximum if
  /// never. In milliseconds.
  uint32_t attempt_ms = 0;
  /// The agent declines an opening packet that would wait longer for a slot, in
  /// microseconds; the maximum means that it takes the packet in any case.
  uint32_t wait_limit_us = 0;
  /// Agents that passed over this opening packet already.
  std::vector<InstanceUid> declined;
  absl::Span<const uint8_t> packet;
};

/// Why an agent gives a packet back.
enum class ReturnReason : uint8_t {
  kBusy = 0,           ///< The wait for a slot is above the limit.
  kNotAccepting = 1,   ///< No target, or it drains, or the agent ends.
  kWrongService = 2,   ///< The target beside this agent serves another service.
  kTargetRefused = 3,  ///< The target returned the opening packet.
  kTargetUnresponsive = 4,  ///< The target did not answer the opening packet.
  kNotHeld = 5,             ///< The target does not hold the flow.
  kNoSlotInTime = 6,        ///< No slot comes free before the client gives up.
  kQueueFull = 7,  ///< More clients wait for a slot than the agent keeps.
};
/// Number of values of ReturnReason.
inline constexpr size_t kReturnReasons = 8;

/// Whether no other agent is asked, since the client is to be refused at once.
/// Thread-safe.
bool IsFinal(ReturnReason reason);

/// Returns a stable name such as "busy". Thread-safe.
absl::string_view ReturnReasonName(ReturnReason reason);

/// A packet that an agent did not deliver, with its load at that moment.
struct ReturnedPacket {
  AgentIdentity agent;
  AgentLoad load;
  ReturnReason reason = ReturnReason::kNotHeld;
  ForwardMode mode = ForwardMode::kOpening;
  std::vector<InstanceUid> declined;
  absl::Span<const uint8_t> packet;
};

/// Tells an entry that a flow is at this agent.
struct FlowPlaced {
  AgentIdentity agent;
  AgentLoad load;
  FlowId flow;
};

/// Any message between nodes.
using NodeMessage = std::variant<AgentReport,
                                 EntryReport,
                                 ForwardedPacket,
                                 ReturnedPacket,
                                 FlowPlaced>;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_MESSAGES_H_
