#ifndef SKYLARKSHUNT_FORWARDING_DECISION_H_
#define SKYLARKSHUNT_FORWARDING_DECISION_H_

#include <cstdint>
#include <variant>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// What a node decided about a flow, for the decision log and counters.
enum class DecisionKind : uint8_t {
  kPlaced = 0,       ///< Entry: an opening packet went to an agent.
  kPlacedAgain = 1,  ///< Entry: placed again after a return or a timeout.
  kRefused = 2,      ///< Entry: an opening packet was answered with a reset.
  kDeferred = 3,     ///< Entry: dropped; relies on the client's retransmission.
  kSearched = 4,     ///< Entry: agents were queried for a flow.
  kFound = 5,        ///< Entry: an agent holds a flow that was searched for.
  kFlowReset = 6,    ///< A flow that no target holds was reset.
  kAccepted = 7,     ///< Agent: an opening packet went to the target.
  kReturned = 8,     ///< Agent: a packet was returned to its entry.
  kAnswered = 9,     ///< Agent: the first byte of an answer arrived.
  kHeldTwice = 10,   ///< Entry: two agents claim an established flow.
};
inline constexpr size_t kDecisionKinds = 11;

/// kRefused and kDeferred: what the entry knows of the copies of the opening
/// packet. Routers may have sent other copies to other entries.
struct OpeningEvidence {
  /// Bit i is set if this entry received copy i.
  uint8_t copies = 0;
  /// Time since the client may first have sent the packet. Infinite if the
  /// entry received no copy.
  absl::Duration age = absl::InfiniteDuration();
};

/// kFlowReset at an entry: the search that found no agent with the flow.
struct SearchEvidence {
  /// Agents that were queried, and agents of the route's services that the
  /// entry knows.
  uint32_t queried = 0;
  uint32_t known = 0;
  absl::Duration uptime;
  /// Time since an agent of these services last appeared. Infinite if none is
  /// known.
  absl::Duration newest_agent = absl::InfiniteDuration();
};

/// kFlowReset at an agent: its state of the flow.
struct AgentFlowEvidence {
  /// Time since the flow opened at this agent. Infinite if the agent took the
  /// flow over from a packet of the target.
  absl::Duration age = absl::InfiniteDuration();
};

/// kHeldTwice: the agent that the entry had cached for the flow.
struct OtherHolderEvidence {
  InstanceUid agent{};
};

/// What a decision about the end or the holder of a flow was based on.
using Evidence = std::variant<std::monostate,
                              OpeningEvidence,
                              SearchEvidence,
                              AgentFlowEvidence,
                              OtherHolderEvidence>;

/// One decision with the inputs that led to it. `reason` has static storage.
struct Decision {
  DecisionKind kind = DecisionKind::kPlaced;
  FlowId flow;
  /// Agent that was chosen or that answered.
  InstanceUid agent{};
  absl::string_view reason;
  RequestKind request_kind = RequestKind::kNonIdempotent;
  /// Version of the configuration in force.
  uint64_t configuration = 0;
  /// Age of the load report behind a placement.
  absl::Duration view_age;
  /// Entry: expected wait of a placement. Agent: duration of an answer, or the
  /// remaining time that the client waits.
  absl::Duration time;
  /// Agent: time since the client sent the opening packet.
  absl::Duration waited;
  /// Requests at the target, and its slots.
  uint32_t busy = 0;
  uint32_t slots = 0;
  /// Number of agents that declined the packet before.
  uint32_t hops = 0;
  /// Entry: attempt of the client at its request, as RetryHistory recognizes
  /// it; 0 if it does not apply.
  uint8_t attempt = 0;
  /// kRefused and kFlowReset: sequence of the reset.
  uint32_t sequence = 0;
  Evidence evidence;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_DECISION_H_
