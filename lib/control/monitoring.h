#ifndef SKYLARKSHUNT_LIB_CONTROL_MONITORING_H_
#define SKYLARKSHUNT_LIB_CONTROL_MONITORING_H_

#include <vector>

#include "entry_state.h"
#include "skylarkshunt/control/entry_control.h"
#include "skylarkshunt/membership/failure_detector.h"

namespace skylarkshunt {

/// Monitors instances of this entry's region: the agents that send heartbeats
/// here, and the agents and entries that have this entry among their first
/// kRelays entries in rendezvous order. Because of this assignment a death is
/// detected even if the relays die together with the instance. Not thread-safe.
class Monitoring {
 public:
  explicit Monitoring(EntryState& state) : state_(state) {}

  /// A message from `sender` itself arrived.
  void RecordMessage(absl::Time now, const InstanceRecord& sender);
  /// A record was added or changed.
  void OnRecord(absl::Time now, const InstanceRecord& record);
  ProbeReply MakeProbeReply(absl::Time now, const Probe& probe) const;
  void OnProbeReply(absl::Time now, const ProbeReply& reply);

  /// Appends pings and probes. Returns the instances found dead.
  std::vector<InstanceUid> Tick(absl::Time now, EntryControlActions& actions);
  /// The process was suspended: restarts all timeouts at `now`.
  void OnSuspension(absl::Time now) { detector_.ResetTimeouts(now); }

 private:
  bool IsAssigned(const InstanceRecord& subject);
  /// Returns whether kRelays other entries of this data centre rank before this
  /// one, so that it cannot be a monitor of `subject`. Avoids ranking a whole
  /// region for each of thousands of agents.
  bool IsOutranked(const InstanceRecord& subject);
  std::vector<const InstanceRecord*> Monitors(const InstanceRecord& subject,
                                              size_t count);
  void AssignAll(absl::Time now);
  void Ping(absl::Time now, EntryControlActions& actions);
  void SendProbes(absl::Time now,
                  InstanceUid subject,
                  EntryControlActions& actions);

  EntryState& state_;
  FailureDetector detector_;
  /// Entries that this one pings, kRelays on average.
  std::vector<InstanceUid> pinged_;
  /// Other entries of this data centre, as of `data_centre_peers_version_`.
  std::vector<InstanceUid> data_centre_peers_;
  uint64_t data_centre_peers_version_ = 0;
  uint64_t assigned_version_ = 0;
  absl::Time next_assign_ = absl::InfinitePast();
  absl::Time next_ping_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_MONITORING_H_
