#ifndef SKYLARKSHUNT_FORWARDING_TARGET_STATE_H_
#define SKYLARKSHUNT_FORWARDING_TARGET_STATE_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/forwarding/target_report.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// What a report changed.
enum class TargetChange : uint8_t {
  kNone,       ///< Nothing, or the report is older than what is known.
  kAppeared,   ///< First report since the agent started.
  kRestarted,  ///< Another incarnation; it knows nothing of earlier flows.
  kState,      ///< It began or stopped to accept flows.
  kForeign,    ///< The report is of another service and was ignored.
};

/// What an agent believes of the target beside it. Not thread-safe.
class TargetState {
 public:
  /// `service` is the service that the agent's settings name, and `interval`
  /// the time between two reports.
  TargetState(std::string service, absl::Duration interval);

  TargetChange OnReport(const TargetReport& report, absl::Time now);
  /// The target says that it has ended. A goodbye of another id is ignored and
  /// false returned.
  bool OnLeave(absl::string_view id);
  /// A health check of the target succeeded before any report came.
  void OnHealthy(uint32_t slots);
  /// The target did not answer an opening packet in time.
  void OnUnresponsive();
  /// The target returned an opening packet. Returns whether it now counts as
  /// silent: where a target has crashed, its address returns every packet at
  /// once, and would look like the least loaded of all.
  bool OnRefused();
  /// The target answered a packet or a health check.
  void OnResponse();

  /// kServing, kEjected (silent), kDraining or kDown (none known, or ended).
  InstanceState state(absl::Time now) const;
  uint32_t slots() const { return slots_; }
  const std::string& id() const { return id_; }
  /// Whether the agent has seen this incarnation from its first report on, so
  /// that it knows all its flows.
  bool seen_from_start() const { return seen_from_start_; }

 private:
  const std::string service_;
  const absl::Duration interval_;
  std::string id_;
  int64_t started_unix_ms_ = 0;
  uint64_t sequence_ = 0;
  uint32_t slots_ = 0;
  absl::Time heard_ = absl::InfinitePast();
  bool known_ = false;
  bool reported_ = false;
  bool draining_ = false;
  bool left_ = false;
  bool silent_ = false;
  /// Opening packets returned since the target last answered.
  int refusals_ = 0;
  bool seen_from_start_ = false;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_TARGET_STATE_H_
