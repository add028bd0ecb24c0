#ifndef SKYLARKSHUNT_MEMBERSHIP_FAILURE_DETECTOR_H_
#define SKYLARKSHUNT_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// Detects failures of the instances that one entry monitors: those that sent
/// it a heartbeat and those assigned to it. Its size is bounded by the caller's
/// instance table, from which all subjects come. Not thread-safe.
class FailureDetector {
 public:
  struct TickResult {
    /// Instances without evidence of life for kDetectionTimeout. The caller
    /// must probe the other relays now and pass them to OnProbesSent().
    std::vector<InstanceUid> to_probe;
    /// Probed instances that no relay confirmed within kProbeReplyTimeout, or
    /// that every probed relay denied. They are no longer monitored.
    std::vector<InstanceUid> dead;
  };

  /// A message from `uid` itself arrived here at `now`.
  void RecordMessage(absl::Time now, InstanceUid uid);
  /// Starts to monitor `uid` as one of its assigned monitors. A new subject has
  /// a full kDetectionTimeout from `now`.
  void Assign(absl::Time now, InstanceUid uid);
  /// Ends the assignment. A subject that has sent a message here stays
  /// monitored.
  void Unassign(InstanceUid uid);
  /// Stops monitoring `uid`.
  void Remove(InstanceUid uid) { subjects_.erase(uid); }

  /// Probes about `subject` were sent to `relays`.
  void OnProbesSent(absl::Time now,
                    InstanceUid subject,
                    absl::Span<const InstanceUid> relays);
  /// `relay` replied to a probe about `subject`. Repeated replies count once.
  void OnProbeAnswer(absl::Time now,
                     InstanceUid subject,
                     InstanceUid relay,
                     bool seen);

  /// Returns the probes and the detected failures due at `now`.
  TickResult Tick(absl::Time now);
  /// This process was suspended: every subject has a full kDetectionTimeout
  /// from `now` again.
  void ResetTimeouts(absl::Time now);

  /// Returns whether a message from `uid` itself arrived here within
  /// kConfirmationAge.
  bool CanConfirmLiveness(absl::Time now, InstanceUid uid) const;
  /// Returns the time of the last evidence of life of `uid`, or the infinite
  /// past if `uid` is not monitored.
  absl::Time LastConfirmed(InstanceUid uid) const;
  size_t size() const { return subjects_.size(); }

 private:
  struct Subject {
    absl::Time last_seen = absl::InfinitePast();
    /// Time of the last message, confirming reply, first assignment or restart.
    absl::Time last_confirmed = absl::InfinitePast();
    absl::Time probed_at = absl::InfinitePast();
    std::vector<InstanceUid> unanswered;
    bool probing = false;
    bool assigned = false;
  };

  absl::flat_hash_map<InstanceUid, Subject> subjects_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_FAILURE_DETECTOR_H_
