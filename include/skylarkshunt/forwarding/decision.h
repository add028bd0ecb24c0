#ifndef SKYLARKSHUNT_FORWARDING_DECISION_H_
#define SKYLARKSHUNT_FORWARDING_DECISION_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// What a node decided about a flow, for log and counters.
enum class DecisionKind : uint8_t {
  kPlaced = 0,       ///< Entry: an opening packet went to an agent.
  kPlacedAgain = 1,  ///< Entry: an agent gave it back and another was chosen.
  kRefused = 2,      ///< Entry: an opening packet was answered with a reset.
  kDeferred = 3,     ///< Entry: dropped; the client sends a copy.
  kSearched = 4,     ///< Entry: all agents were asked for a flow.
  kFound = 5,        ///< Entry: an agent holds a flow that was searched for.
  kCut = 6,          ///< A reset ended a flow that no target holds.
  kAccepted = 7,     ///< Agent: an opening packet went to the target.
  kReturned = 8,     ///< Agent: a packet went back to its entry.
  kAnswered = 9,     ///< Agent: the first byte of an answer came.
};
inline constexpr size_t kDecisionKinds = 10;

/// One decision with the inputs that led to it. `reason` has static storage.
struct Decision {
  DecisionKind kind = DecisionKind::kPlaced;
  FlowId flow;
  /// The agent that was chosen, or that answered.
  InstanceUid agent{};
  absl::string_view reason;
  RequestKind request_kind = RequestKind::kNonIdempotent;
  /// Version of the configuration that was in force.
  uint64_t configuration = 0;
  /// Age of the load report behind a placement.
  absl::Duration view_age;
  /// Expected wait of a placement, or the time that an answer took.
  absl::Duration time;
  /// Requests at the target, and its slots.
  uint32_t busy = 0;
  uint32_t slots = 0;
  /// Agents that gave the packet back before.
  uint32_t hops = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_DECISION_H_
