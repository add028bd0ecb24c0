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

/// Sent by an agent to each of its relays every kHeartbeatInterval.
struct Heartbeat {
  InstanceRecord record;
  /// Revision of the service's record that the agent holds.
  Revision service_revision{};
  /// Name of the agent's service, by which the relay finds the service's record
  /// while the agent does not know its uid yet.
  std::string service_name;
  /// The service's record, until the link's first acknowledgement. Entries
  /// recover the configuration from it when all of them restarted.
  std::vector<ConfigRecord> config;
};

/// Reply of a relay to a Heartbeat.
struct HeartbeatAck {
  Incarnation sender{};
  /// Sequence of the acknowledged heartbeat. It lets the agent recognise
  /// replies to an earlier uid or incarnation of its own.
  uint64_t answered_sequence = 0;
  /// The relay's record of the agent before this heartbeat; 0 if it had none.
  /// The agent must refute a kDown state.
  Incarnation known_incarnation{};
  uint64_t known_sequence = 0;
  InstanceState known_state = InstanceState::kServing;
  /// Live entries from which the agent chooses its relays.
  std::vector<InstanceRecord> entries;
  /// The service's record if it is newer than the agent's, and the agent's
  /// drain order if it is new on this link or due for repetition.
  std::vector<ConfigRecord> config;
};

/// Number of buckets of a digest.
inline constexpr size_t kDigestBuckets = 64;

/// Sent from entry to entry: recent changes and a digest of all records.
struct GossipPush {
  InstanceRecord sender;
  std::vector<InstanceRecord> instances;
  std::vector<ConfigRecord> config;
  /// One hash per bucket, kDigestBuckets in all.
  std::vector<uint64_t> digest;
};

/// Reply to a GossipPush, with recent changes and the records of buckets that
/// differ.
struct GossipReply {
  InstanceRecord sender;
  std::vector<InstanceRecord> instances;
  std::vector<ConfigRecord> config;
  /// Buckets whose records are all included. The receiver pushes its own
  /// differing records of these buckets back.
  std::vector<uint32_t> differing_buckets;
};

/// Sent from relay to relay: asks whether the receiver has seen `subject`
/// within kConfirmationAge. Also sent to an entry about itself, as a ping.
struct Probe {
  Incarnation sender{};
  InstanceUid subject{};
};
/// Reply to a Probe.
struct ProbeReply {
  Incarnation sender{};
  /// The replying entry, so that repeated replies count once; equal to
  /// `subject` when an entry replies about itself.
  InstanceUid relay{};
  InstanceUid subject{};
  /// Whether `relay` has received a message from `subject` within
  /// kConfirmationAge.
  bool seen = false;
};

using ControlMessage = std::variant<Heartbeat,
                                    HeartbeatAck,
                                    GossipPush,
                                    GossipReply,
                                    Probe,
                                    ProbeReply>;

/// Largest encoded control message, in bytes. Larger exchanges take several
/// rounds.
inline constexpr size_t kMaxControlMessageBytes = size_t{256} * 1024;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_MESSAGES_H_
