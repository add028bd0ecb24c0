#include "skylarkshunt/forwarding/target_state.h"

#include <algorithm>
#include <utility>

namespace skylarkshunt {
namespace {

/// Number of missed reports after which a target counts as unresponsive.
constexpr int kMissedReports = 3;
/// Number of opening packets returned in a row after which a target counts as
/// unresponsive. It gets fewer at a time than it has room for: a single return
/// may be due to a limit, two are not.
constexpr int kRefusalsUntilUnresponsive = 2;
/// Largest step of the wall clock that a target's start is corrected for.
constexpr absl::Duration kMaxClockStep = absl::Seconds(4);

}  // namespace

TargetState::TargetState(std::string service,
                         absl::Duration interval,
                         absl::Time started)
    : service_(std::move(service)),
      interval_(interval),
      started_(started),
      possible_restart_(started) {}

TargetChange TargetState::OnReport(const TargetReport& report, absl::Time now) {
  if (report.service != service_)
    return TargetChange::kWrongService;
  const bool another =
      reported_ &&
      (report.id != id_ || report.started_unix_ms != started_unix_ms_);
  // A delayed report may arrive after the target's next incarnation has
  // reported.
  if (another && report.started_unix_ms < started_unix_ms_ &&
      !IsRestartWithAnEarlierStart(report, now)) {
    return TargetChange::kNone;
  }
  if (reported_ && !another && (report.sequence <= sequence_ || left_))
    return TargetChange::kNone;
  const bool first = !reported_;
  const bool was_accepting = state(now) == InstanceState::kServing;
  // A delayed report of an earlier incarnation may have been the first one, so
  // a restart that the agent did not see proves nothing. The target's start was
  // read from a clock that may have stepped since.
  if (first || another) {
    // A start long before the agent's contradicts the refused connection.
    const bool may_have_been_absent =
        seen_absent_ && report.started + kMaxClockStep > started_;
    seen_from_start_ =
        may_have_been_absent || StartedLater(report, another, now);
  }
  // The previous incarnation ran when it sent its last report.
  if (another)
    restarted_after_ =
        std::max(last_seen_, std::min(report.started, now) - kMaxClockStep);
  known_ = true;
  reported_ = true;
  left_ = false;
  OnResponse();
  id_ = report.id;
  started_unix_ms_ = report.started_unix_ms;
  sequence_ = report.sequence;
  slots_ = report.slots;
  draining_ = report.draining;
  last_seen_ = now;
  reported_warm_at_ = report.warmup_left > absl::ZeroDuration()
                          ? now + report.warmup_left
                          : absl::InfinitePast();
  if (another)
    return TargetChange::kRestarted;
  if (first)
    return TargetChange::kAppeared;
  const bool accepting = state(now) == InstanceState::kServing;
  return accepting == was_accepting ? TargetChange::kNone
                                    : TargetChange::kState;
}

bool TargetState::StartedLater(const TargetReport& report,
                               bool another,
                               absl::Time now) const {
  if (report.started == absl::InfinitePast())
    return another;
  return report.started - now <= kMaxClockStep &&
         std::min(report.started, now) - kMaxClockStep > started_;
}

bool TargetState::IsRestartWithAnEarlierStart(const TargetReport& report,
                                              absl::Time now) {
  const absl::Duration earlier =
      absl::Milliseconds(started_unix_ms_ - report.started_unix_ms);
  if (earlier > kMaxClockStep || now - last_seen_ <= kMissedReports * interval_)
    return false;
  const bool repeated = earlier_.id == report.id &&
                        earlier_.started_unix_ms == report.started_unix_ms;
  if (!repeated)
    earlier_ = {report.id, report.started_unix_ms, report.sequence, now};
  // Delayed reports of an ended incarnation arrive together.
  return repeated && report.sequence > earlier_.sequence &&
         now - earlier_.received >= interval_ / 2;
}

bool TargetState::OnLeave(absl::string_view id, int64_t started_unix_ms) {
  const bool earlier =
      started_unix_ms != 0 && started_unix_ms < started_unix_ms_;
  if (!reported_ || id != id_ || earlier)
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
  unresponsive_ = true;
}

void TargetState::OnConnectionRefused(absl::Time began) {
  if (last_packet_ >= began || last_seen_ >= began)
    return;
  connection_refused_ = true;
  unresponsive_ = true;
  seen_absent_ = true;
  OnPossibleRestart(began);
}

void TargetState::OnPossibleRestart(absl::Time now) {
  reported_warm_at_.reset();
  possible_restart_ = now;
}

absl::Time TargetState::warm_at(absl::Duration warmup) const {
  // The process that follows may start some time after the possible restart,
  // but it is soon reported or seen to be absent again.
  return reported_warm_at_.value_or(possible_restart_ + warmup +
                                    kMissedReports * interval_);
}

bool TargetState::OnRefused() {
  ++refusals_;
  if (refusals_ >= kRefusalsUntilUnresponsive)
    unresponsive_ = true;
  return unresponsive_;
}

void TargetState::OnResponse() {
  unresponsive_ = false;
  connection_refused_ = false;
  refusals_ = 0;
}

void TargetState::OnPacket(absl::Time now) {
  last_packet_ = now;
  OnResponse();
}

InstanceState TargetState::state(absl::Time now) const {
  if (left_)
    return InstanceState::kDown;
  if (!known_) {
    // The target may have opened flows through an earlier process of the agent.
    const bool absent =
        connection_refused_ ||
        now - std::max(started_, last_packet_) > kMissedReports * interval_;
    return absent ? InstanceState::kDown : InstanceState::kEjected;
  }
  if (draining_)
    return InstanceState::kDraining;
  if (unresponsive_ ||
      (reported_ && now - last_seen_ > kMissedReports * interval_))
    return InstanceState::kEjected;
  return InstanceState::kServing;
}

}  // namespace skylarkshunt
