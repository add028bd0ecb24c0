#ifndef SKYLARKSHUNT_MEMBERSHIP_FAILURE_DETECTOR_H_
#define SKYLARKSHUNT_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// Judges the instances that one entry monitors: those that sent it a heartbeat
/// and those assigned to it. Bounded by the caller's instance table, from which
/// all subjects come. Not thread-safe.
class FailureDetector {
 public:
  struct TickResult {
    /// Silent for kDetectionTimeout: ask the other relays now, and tell
    /// OnProbesSent() whom.
    std::vector<InstanceUid> to_probe;
    /// Nobody vouched for these within kProbeReplyTimeout.
    std::vector<InstanceUid> dead;
  };

  /// A message from `uid` itself arrived here.
  void RecordMessage(absl::Time now, InstanceUid uid);
  /// Starts to monitor `uid` as one of its assigned monitors.
  void Assign(absl::Time now, InstanceUid uid);
  /// Ends the assignment; a subject that still sends stays monitored.
  void Unassign(InstanceUid uid);
  void Forget(InstanceUid uid) { subjects_.erase(uid); }

  /// Probes about `subject` went to `relays`.
  void OnProbesSent(absl::Time now,
                    InstanceUid subject,
                    absl::Span<const InstanceUid> relays);
  /// `relay` answered a probe. Repeated answers count once.
  void OnProbeAnswer(absl::Time now,
                     InstanceUid subject,
                     InstanceUid relay,
                     bool heard);

  /// Returns what is due at `now`.
  TickResult Tick(absl::Time now);
  /// After a pause of this process: everybody has a full interval again.
  void Restart(absl::Time now);

  /// Whether `uid` itself was heard here within kConfirmationAge.
  bool CanConfirmLiveness(absl::Time now, InstanceUid uid) const;
  /// When there was evidence of life of `uid`; the infinite past if never.
  absl::Time LastConfirmed(InstanceUid uid) const;
  size_t size() const { return subjects_.size(); }

 private:
  struct Subject {
    absl::Time heard = absl::InfinitePast();
    /// Time of the last heartbeat, vouching answer or restart.
    absl::Time evidence = absl::InfinitePast();
    absl::Time probed = absl::InfinitePast();
    std::vector<InstanceUid> unanswered;
    bool probing = false;
    bool assigned = false;
  };

  absl::flat_hash_map<InstanceUid, Subject> subjects_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_FAILURE_DETECTOR_H_
