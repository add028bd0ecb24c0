#ifndef SKYLARKSHUNT_LIB_CONTROL_MONITORING_H_
#define SKYLARKSHUNT_LIB_CONTROL_MONITORING_H_

#include <vector>

#include "entry_state.h"
#include "skylarkshunt/control/entry_control.h"
#include "skylarkshunt/membership/failure_detector.h"

namespace skylarkshunt {

/// The instances of this entry's region that it monitors: the agents that send
/// heartbeats here, and the agents and entries among whose first kRelays
/// entries in rendezvous order it is. The assignment lets somebody notice a
/// death even if the relays die together with the instance. Not thread-safe.
class Monitoring {
 public:
  explicit Monitoring(EntryState& state) : state_(state) {}

  /// A message from the instance itself arrived.
  void RecordMessage(absl::Time now, const InstanceRecord& sender);
  /// A record was added or changed.
  void OnRecord(absl::Time now, const InstanceRecord& record);
  ProbeReply Answer(absl::Time now, const Probe& probe) const;
  void OnProbeReply(absl::Time now, const ProbeReply& reply);

  /// Appends pings and probes; returns the instances found dead.
  std::vector<InstanceUid> Tick(absl::Time now, EntryControlActions& actions);
  void OnPause(absl::Time now) { detector_.Restart(now); }

 private:
  bool IsAssigned(const InstanceRecord& subject);
  /// Whether entries of this data centre alone rule out that this one is among
  /// the first. Saves ranking a whole region for each of thousands of agents.
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
  /// Entries that this one pings; about kRelays on average.
  std::vector<InstanceUid> pinged_;
  /// Other entries of this data centre, as of `neighbours_version_`.
  std::vector<InstanceUid> neighbours_;
  uint64_t neighbours_version_ = 0;
  uint64_t assigned_version_ = 0;
  absl::Time next_assign_ = absl::InfinitePast();
  absl::Time next_ping_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_MONITORING_H_
