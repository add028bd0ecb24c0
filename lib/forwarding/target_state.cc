#include "skylarkshunt/forwarding/target_state.h"

#include <utility>

namespace skylarkshunt {
namespace {

/// Missed reports after which a target counts as silent.
constexpr int kMissedReports = 3;
/// Opening packets returned in a row after which a target takes none. It gets
/// fewer at a time than it has room for, so that one may be a matter of a limit
/// and two are not.
constexpr int kRefusalsUntilSilent = 2;
/// Sequence numbers up to this one are taken for the first report; a target
/// counts from 0 or 1.
constexpr uint64_t kFirstSequence = 1;

}  // namespace

TargetState::TargetState(std::string service, absl::Duration interval)
    : service_(std::move(service)), interval_(interval) {}

TargetChange TargetState::OnReport(const TargetReport& report, absl::Time now) {
  if (report.service != service_)
    return TargetChange::kForeign;
  const bool another =
      reported_ &&
      (report.id != id_ || report.started_unix_ms != started_unix_ms_);
  // A report that was held up on its way may come after the target's next
  // incarnation has reported.
  if (another && report.started_unix_ms < started_unix_ms_)
    return TargetChange::kNone;
  if (reported_ && !another && (report.sequence <= sequence_ || left_))
    return TargetChange::kNone;
  const bool first = !reported_;
  const bool was_accepting = state(now) == InstanceState::kServing;
  if (first || another)
    seen_from_start_ = another || report.sequence <= kFirstSequence;
  known_ = true;
  reported_ = true;
  left_ = false;
  OnResponse();
  id_ = report.id;
  started_unix_ms_ = report.started_unix_ms;
  sequence_ = report.sequence;
  slots_ = report.slots;
  draining_ = report.draining;
  heard_ = now;
  if (another)
    return TargetChange::kRestarted;
  if (first)
    return TargetChange::kAppeared;
  const bool accepting = state(now) == InstanceState::kServing;
  return accepting == was_accepting ? TargetChange::kNone
                                    : TargetChange::kState;
}

bool TargetState::OnLeave(absl::string_view id) {
  if (reported_ && id != id_)
    return false;
  left_ = true;
  return true;
}

void TargetState::OnHealthy(uint32_t slots) {
  if (reported_)
    return;
  known_ = true;
  slots_ = slots;
}

void TargetState::OnUnresponsive() {
  silent_ = true;
}

bool TargetState::OnRefused() {
  ++refusals_;
  if (refusals_ >= kRefusalsUntilSilent)
    silent_ = true;
  return silent_;
}

void TargetState::OnResponse() {
  silent_ = false;
  refusals_ = 0;
}

InstanceState TargetState::state(absl::Time now) const {
  if (!known_ || left_)
    return InstanceState::kDown;
  if (draining_)
    return InstanceState::kDraining;
  if (silent_ || (reported_ && now - heard_ > kMissedReports * interval_))
    return InstanceState::kEjected;
  return InstanceState::kServing;
}

}  // namespace skylarkshunt
