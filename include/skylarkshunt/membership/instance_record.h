#ifndef SKYLARKSHUNT_MEMBERSHIP_INSTANCE_RECORD_H_
#define SKYLARKSHUNT_MEMBERSHIP_INSTANCE_RECORD_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

enum class Role : uint8_t { kEntry = 0, kAgent = 1 };

/// State of an instance, from least to most severe.
enum class InstanceState : uint8_t {
  kServing = 0,
  kEjected = 1,   ///< Alive, but its target fails.
  kDraining = 2,  ///< Keeps its flows and accepts no new ones.
  kLeaving = 3,   ///< Accepts nothing more and is about to exit.
  kDown = 4,      ///< Reported dead by its relays.
};

/// Returns a stable name such as "draining". Thread-safe.
absl::string_view InstanceStateName(InstanceState state);

/// The nodes' knowledge of one instance. Only the instance itself raises
/// `incarnation` or `sequence`; others may only set the state kDown.
struct InstanceRecord {
  InstanceUid uid{};
  Role role = Role::kAgent;
  /// Service of an agent; 0 for an entry.
  ServiceUid service{};
  Incarnation incarnation{};
  uint64_t sequence = 0;
  InstanceState state = InstanceState::kServing;
  std::string region;
  std::string data_centre;
  /// Endpoint for datagrams: of Forward and Reply for agents, of callers for
  /// entries.
  Endpoint data;
  /// Entries only: the websocket server of control messages.
  Endpoint control;
  /// HTTP endpoint with health, counters and status.
  Endpoint admin;
  /// Agents only: the target that the agent serves, and its slots.
  Endpoint target;
  uint16_t slots = 0;
  /// Highest revision of configuration that the instance applies.
  Revision applied{};
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_INSTANCE_RECORD_H_
