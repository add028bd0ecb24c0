#ifndef SKYLARKSHUNT_LIB_CONTROL_AGENT_LINKS_H_
#define SKYLARKSHUNT_LIB_CONTROL_AGENT_LINKS_H_

#include "absl/container/flat_hash_map.h"
#include "entry_state.h"
#include "skylarkshunt/control/entry_control.h"

namespace skylarkshunt {

/// Tracks the links of a relay's agents and builds the acknowledgements of
/// heartbeats. Not thread-safe.
class AgentLinks {
 public:
  explicit AgentLinks(EntryState& state) : state_(state) {}

  /// Returns the acknowledgement of `heartbeat`. `known` is the relay's record
  /// of the agent before the heartbeat was merged, or a default record.
  HeartbeatAck MakeAck(absl::Time now,
                       ConnectionId connection,
                       const Heartbeat& heartbeat,
                       const InstanceRecord& known);
  /// Removes links without a heartbeat for kLinkRetention.
  void RemoveIdle(absl::Time now);
  size_t size() const { return links_.size(); }

 private:
  struct Link {
    /// The uid in the last heartbeat. It changes when the agent learns its uid
    /// from the service's record.
    InstanceUid agent{};
    absl::Time last_seen = absl::InfinitePast();
    absl::Time listed = absl::InfinitePast();
    Revision drain{};
  };

  void AddConfig(const Heartbeat& heartbeat,
                 bool repeat_drain,
                 Link& link,
                 HeartbeatAck& ack) const;
  void AddEntries(const InstanceRecord& agent, HeartbeatAck& ack);

  EntryState& state_;
  absl::flat_hash_map<ConnectionId, Link> links_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_AGENT_LINKS_H_
