#ifndef SKYLARKSHUNT_FORWARDING_TARGET_STATE_H_
#define SKYLARKSHUNT_FORWARDING_TARGET_STATE_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/forwarding/target_report.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// What a report changed.
enum class TargetChange : uint8_t {
  kNone,          ///< Nothing, or the report is older than what is known.
  kAppeared,      ///< First report that this agent received.
  kRestarted,     ///< New incarnation, which has no state for earlier flows.
  kState,         ///< The target started or stopped accepting flows.
  kWrongService,  ///< The report is from another service and was ignored.
};

/// State of the target next to an agent, as the agent knows it. Not
/// thread-safe.
class TargetState {
 public:
  /// `service` is the name of the service in the agent's settings, `interval`
  /// is the time between two reports, and `started` is the start of the agent.
  TargetState(std::string service, absl::Duration interval, absl::Time started);

  TargetChange OnReport(const TargetReport& report, absl::Time now);
  /// Records that the target has reported its end. Ignores the message and
  /// returns false if it is from another target or an earlier incarnation.
  /// `started_unix_ms` is 0 if the message does not contain it.
  bool OnLeave(absl::string_view id, int64_t started_unix_ms);
  /// Records a successful health check. Ignored once a report has arrived.
  void OnHealthy(uint32_t slots);
  /// Records that the target did not answer an opening packet in time.
  void OnUnresponsive();
  /// Records that the target's address refused a connection in a check that
  /// began at `began`. Ignored if the target has sent a packet or a report
  /// since.
  void OnConnectionRefused(absl::Time began);
  /// Records that the target returned an opening packet. Returns whether the
  /// target now counts as unresponsive: the address of a crashed target returns
  /// every packet at once, and the target would otherwise look like the least
  /// loaded one.
  bool OnRefused();
  /// Records that the target answered a packet or a health check.
  void OnResponse();
  /// Records that the target sent a packet.
  void OnPacket(absl::Time now);

  /// Returns kServing, kEjected (unresponsive or not known yet), kDraining or
  /// kDown (absent or ended). Entries take kDown for proof that no flow is open
  /// at the target.
  InstanceState state(absl::Time now) const;
  /// Whether a report or a health check has shown that the target runs.
  bool is_known() const { return known_; }
  uint32_t slots() const { return slots_; }
  /// Records that the target may have restarted. Its reports before `now` no
  /// longer show whether it is cold.
  void OnPossibleRestart(absl::Time now);
  /// Returns when the target's warm-up ends; the infinite past if the target
  /// reported that it is warm. Without a report the target may have started at
  /// its last possible restart, which the start of the agent is too. `warmup`
  /// is the time for which a target is cold.
  absl::Time warm_at(absl::Duration warmup) const;
  /// Whether warm_at() is what the target reported.
  bool is_warmup_reported() const { return reported_warm_at_.has_value(); }
  const std::string& id() const { return id_; }
  /// Earliest possible start of the incarnation that the last report made known
  /// as a restart. Packets that the target sent before belong to an earlier
  /// one. A report of the earlier one counts with the time of its arrival.
  absl::Time restarted_after() const { return restarted_after_; }
  /// Whether this incarnation certainly started after the agent, or after a
  /// time at which the agent found none. All its flows then passed through this
  /// process of the agent, which knows them.
  bool seen_from_start() const { return seen_from_start_; }

 private:
  /// A report with an earlier start than that of the known incarnation.
  struct EarlierReport {
    std::string id;
    int64_t started_unix_ms = 0;
    uint64_t sequence = 0;
    absl::Time received;
  };

  /// Whether the incarnation that sent `report` certainly started after the
  /// agent. `another` is whether the agent knew an earlier one.
  bool StartedLater(const TargetReport& report,
                    bool another,
                    absl::Time now) const;
  /// Whether `report` shows a restart although its start is earlier than that
  /// of the known incarnation, because the wall clock stepped back between the
  /// two. The known one must be unresponsive, and the other one must go on
  /// reporting.
  bool IsRestartWithAnEarlierStart(const TargetReport& report, absl::Time now);

  const std::string service_;
  const absl::Duration interval_;
  const absl::Time started_;
  std::string id_;
  int64_t started_unix_ms_ = 0;
  uint64_t sequence_ = 0;
  uint32_t slots_ = 0;
  /// Last report and last packet.
  absl::Time last_seen_ = absl::InfinitePast();
  absl::Time last_packet_ = absl::InfinitePast();
  absl::Time restarted_after_ = absl::InfinitePast();
  bool known_ = false;
  bool reported_ = false;
  bool draining_ = false;
  bool left_ = false;
  bool connection_refused_ = false;
  bool unresponsive_ = false;
  /// Opening packets returned since the target last answered.
  int refusals_ = 0;
  bool seen_from_start_ = false;
  /// Whether the target's address has refused a connection.
  bool seen_absent_ = false;
  EarlierReport earlier_;
  /// End of the warm-up by the last report; none since a possible restart.
  absl::optional<absl::Time> reported_warm_at_;
  absl::Time possible_restart_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_TARGET_STATE_H_
