#include "standins/packet_fleet/configuration_judge.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kAskInterval = absl::Milliseconds(250);
/// Longest time from the start of a process to its first answer.
constexpr absl::Duration kStartTime = absl::Seconds(1);

}  // namespace

ConfigurationJudge::ConfigurationJudge(const PacketFleet& fleet,
                                       const FaultInjector& faults)
    : fleet_(fleet),
      faults_(faults),
      reported_(fleet.nodes().size()),
      used_(fleet.nodes().size()) {}

uint64_t ConfigurationJudge::DueVersion(absl::Time now) const {
  uint64_t due = 0;
  for (const FaultInjector::WrittenVersion& written : faults_.versions()) {
    if (written.confirmed + kBound <= now)
      due = std::max(due, written.version);
  }
  return due;
}

void ConfigurationJudge::Poll(absl::Time now) {
  if (now < next_)
    return;
  next_ = now + kAskInterval;
  for (size_t i = 0; i < used_.size(); ++i) {
    if (fleet_.nodes()[i].entry && faults_.IsRunning(i))
      AskForRegression(i);
  }
  const uint64_t due = DueVersion(now);
  if (due == 0 ||
      now < faults_.store_disturbed_until() + FaultInjector::kStableWindow) {
    return;
  }
  for (size_t i = 0; i < reported_.size(); ++i) {
    if (fleet_.nodes()[i].entry && reported_[i] < due &&
        faults_.IsSteady(i, now))
      Ask(i, due);
  }
}

void ConfigurationJudge::Finish() {
  next_ = absl::InfinitePast();
  Poll(MonotonicNow());
}

void ConfigurationJudge::AskForRegression(size_t entry) {
  const absl::Time started = faults_.started(entry);
  if (started != used_[entry].started)
    used_[entry] = {started, 0};
  ++checks_;
  const uint64_t version = fleet_.VersionInForce(entry);
  // An entry that does not answer, or has no configuration, has version 0.
  if (version == 0)
    return;
  const uint64_t highest = std::max(used_[entry].version, version);
  if (version < highest) {
    broken_.push_back(absl::StrCat(
        fleet_.nodes()[entry].name, " went back from version ", highest, " to ",
        version, " at ",
        absl::FormatTime("%H:%M:%E3S", MonotonicNow(), absl::UTCTimeZone())));
  }
  used_[entry].version = highest;
}

void ConfigurationJudge::Ask(size_t entry, uint64_t due) {
  ++checks_;
  // An entry that does not answer has version 0. A process that was started a
  // moment ago has no socket yet and serves nobody.
  const uint64_t used = fleet_.VersionInForce(entry);
  const bool is_starting =
      used == 0 && MonotonicNow() < faults_.started(entry) + kStartTime;
  if (used >= due || is_starting)
    return;
  reported_[entry] = due;
  broken_.push_back(absl::StrCat(
      fleet_.nodes()[entry].name, " has version ", used, " instead of ", due,
      " at ",
      absl::FormatTime("%H:%M:%E3S", MonotonicNow(), absl::UTCTimeZone())));
}

}  // namespace skylarkshunt
