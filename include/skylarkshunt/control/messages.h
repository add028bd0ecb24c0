#ifndef SKYLARKSHUNT_CONTROL_MESSAGES_H_
#define SKYLARKSHUNT_CONTROL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/configuration/config_record.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// Agent to relay entry, every heartbeat interval.
struct Heartbeat {
  InstanceRecord record;
  /// Revision the agent holds of its service's record.
  Revision service_revision{};
  /// Name of the agent's service, for an entry that does not know the uid yet.
  std::string service_name;
  /// Set in the first heartbeat on a link, so that entries that all restarted
  /// recover the configuration from the agents.
  std::vector<ConfigRecord> config;
};

/// Relay entry to agent.
struct HeartbeatAck {
  Incarnation sender{};
  /// Sequence of the heartbeat that is answered, so that the agent can tell
  /// answers to an earlier uid or incarnation of its own.
  uint64_t answered_sequence = 0;
  /// What the relay knew of the agent before this heartbeat, 0 if nothing; a
  /// kDown state must be refuted.
  Incarnation known_incarnation{};
  uint64_t known_sequence = 0;
  InstanceState known_state = InstanceState::kServing;
  /// Control end points of live entries from which the agent chooses relays.
  std::vector<InstanceRecord> entries;
  /// Records for the agent that are newer than its own: its service's and its
  /// drain order.
  std::vector<ConfigRecord> config;
};

/// Number of buckets of a digest.
inline constexpr size_t kDigestBuckets = 64;

/// Entry to entry: recent changes and a digest of everything.
struct GossipPush {
  InstanceRecord sender;
  std::vector<InstanceRecord> instances;
  std::vector<ConfigRecord> config;
  /// kDigestBuckets hashes.
  std::vector<uint64_t> digest;
};

/// Answer to a GossipPush: records of the buckets that differ, and those
/// buckets, for which the receiver pushes its own records back.
struct GossipReply {
  InstanceRecord sender;
  std::vector<InstanceRecord> instances;
  std::vector<ConfigRecord> config;
  std::vector<uint32_t> differing_buckets;
};

/// Relay to relay: have you heard of this instance lately?
struct Probe {
  Incarnation sender{};
  InstanceUid subject{};
};
struct ProbeReply {
  Incarnation sender{};
  /// Who answers, so that repeated answers count once; equal to `subject` when
  /// an entry answers for itself.
  InstanceUid relay{};
  InstanceUid subject{};
  bool heard = false;
};

using ControlMessage = std::variant<Heartbeat,
                                    HeartbeatAck,
                                    GossipPush,
                                    GossipReply,
                                    Probe,
                                    ProbeReply>;

/// Largest control message, in bytes; larger exchanges go in several rounds.
inline constexpr size_t kMaxControlMessageBytes = size_t{256} * 1024;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_MESSAGES_H_
