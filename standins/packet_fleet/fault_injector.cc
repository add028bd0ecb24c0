#include "standins/packet_fleet/fault_injector.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace skylarkshunt {
namespace {

/// Longest time from SIGTERM to the end of a process.
constexpr absl::Duration kGrace = absl::Seconds(6);
/// Exit code of a process that SIGTERM ends before it handles signals, and the
/// time after its start in which that may be.
constexpr int kTerminatedCode = 128 + 15;
constexpr absl::Duration kStartTime = absl::Seconds(1);
constexpr absl::Duration kRound = absl::Milliseconds(20);
/// Of three faults of a profile with overlapping ones, this many are planned.
constexpr int kPlannedOfThree = 2;

}  // namespace

FaultInjector::FaultInjector(PacketFleet& fleet,
                             const SoakProfile& profile,
                             bool planned_only,
                             uint32_t seed)
    : fleet_(fleet),
      profile_(profile),
      planned_only_(planned_only || profile.unplanned.empty()),
      random_(seed),
      nodes_(fleet.nodes().size()),
      target_pending_(fleet.nodes().size()),
      disturbed_(fleet.nodes().size()),
      next_(MonotonicNow()) {}

size_t FaultInjector::entries() const {
  return static_cast<size_t>(fleet_.options().entries);
}

size_t FaultInjector::DrawNode() {
  return random_() % nodes_.size();
}

size_t FaultInjector::DrawAgent() {
  return entries() + random_() % (nodes_.size() - entries());
}

absl::Duration FaultInjector::Draw(int least_ms, int most_ms) {
  const int span = std::max(1, most_ms - least_ms);
  return absl::Milliseconds(least_ms + static_cast<int>(random_() % span));
}

void FaultInjector::At(absl::Time time,
                       bool ends_fault,
                       std::function<void()> action) {
  scheduled_.emplace(time, Action{ends_fault, std::move(action)});
}

void FaultInjector::Record(const std::string& name, const std::string& detail) {
  ++faults_[name];
  history_.push_back(absl::StrCat(
      absl::FormatTime("%H:%M:%E3S ", MonotonicNow(), absl::UTCTimeZone()),
      name, detail.empty() ? "" : " ", detail));
}

void FaultInjector::Poll(absl::Time now) {
  while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
    const Action action = std::move(scheduled_.begin()->second);
    scheduled_.erase(scheduled_.begin());
    action.run();
  }
  for (size_t i = 0; i < nodes_.size(); ++i)
    PollNode(i, now);
  if (now < next_)
    return;
  next_ = now + Draw(0, profile_.max_gap_ms);
  Cause(now);
}

void FaultInjector::EndAll() {
  // An action that ends a fault may schedule the next one that does.
  while (!scheduled_.empty()) {
    const Action action = std::move(scheduled_.begin()->second);
    scheduled_.erase(scheduled_.begin());
    if (action.ends_fault)
      action.run();
  }
  const auto is_over = [](const NodeState& node) {
    return node.phase == NodeState::Phase::kRunning;
  };
  while (!std::all_of(nodes_.begin(), nodes_.end(), is_over)) {
    for (size_t i = 0; i < nodes_.size(); ++i)
      PollNode(i, MonotonicNow());
    absl::SleepFor(kRound);
  }
  // All faults of the store have ended, some of them early.
  store_until_ = std::min(store_until_, MonotonicNow());
}

void FaultInjector::Cause(absl::Time now) {
  const auto draw = [this](const std::vector<FaultKind>& kinds) {
    return kinds[random_() % kinds.size()];
  };
  if (planned_only_) {
    CausePlanned(draw(profile_.planned));
    return;
  }
  const size_t all = profile_.planned.size() + profile_.unplanned.size();
  const bool planned = profile_.overlapping
                           ? random_() % 3 < kPlannedOfThree
                           : random_() % all < profile_.planned.size();
  if (planned) {
    CausePlanned(draw(profile_.planned));
    return;
  }
  const FaultKind kind = draw(profile_.unplanned);
  CauseUnplanned(kind);
  // Leaves time after the stable window in which nothing is excused.
  if (kind == FaultKind::kKillAll || kind == FaultKind::kKillEntries ||
      kind == FaultKind::kForgetHistory)
    next_ = now + kStableWindow + Draw(1500, 3500);
}

bool FaultInjector::WasDisturbed(size_t node,
                                 absl::Time from,
                                 absl::Time to) const {
  const auto& times = disturbed_[node];
  return std::any_of(times.begin(), times.end(), [&](const Disturbance& d) {
    return d.from <= to && from <= d.to + kStableWindow;
  });
}

bool FaultInjector::IsSteady(size_t node, absl::Time now) const {
  return !IsBusy(node) && !WasDisturbed(node, now, now) &&
         now > nodes_[node].planned_until;
}

bool FaultInjector::IsBusy(size_t index) const {
  const NodeState& node = nodes_[index];
  return node.phase != NodeState::Phase::kRunning || node.paused ||
         target_pending_[index] > 0;
}

void FaultInjector::Terminate(size_t index) {
  NodeState& node = nodes_[index];
  if (node.phase != NodeState::Phase::kRunning)
    return;
  fleet_.nodes()[index].process->Stop();
  const absl::Time now = MonotonicNow();
  node.phase = NodeState::Phase::kTerminating;
  node.excused = node.paused;
  node.killed = false;
  node.grace_end = now + kGrace;
  if (!planned_only_ || profile_.overlapping)
    node.planned_until = now + kGrace + kStableWindow;
}

void FaultInjector::Kill(size_t index) {
  NodeState& node = nodes_[index];
  if (node.phase == NodeState::Phase::kDown)
    return;
  ChildProcess& process = *fleet_.nodes()[index].process;
  process.Kill();
  process.WaitForExit(kGrace);
  const absl::Time now = MonotonicNow();
  node.phase = NodeState::Phase::kDown;
  node.paused = false;
  node.killed = true;
  node.restart = now + (profile_.overlapping ? Draw(0, 1500) : Draw(200, 2700));
  disturbed_[index].push_back({now, absl::InfiniteFuture()});
}

void FaultInjector::Pause(size_t index, absl::Duration time) {
  NodeState& node = nodes_[index];
  if (node.phase == NodeState::Phase::kDown || node.paused)
    return;
  const absl::Time now = MonotonicNow();
  fleet_.nodes()[index].process->Pause();
  node.paused = true;
  node.excused = true;
  disturbed_[index].push_back({now, now + time});
  At(now + time, true, [this, index] { Resume(index); });
}

void FaultInjector::Resume(size_t index) {
  // The process may have been killed and started again meanwhile.
  if (!nodes_[index].paused)
    return;
  nodes_[index].paused = false;
  fleet_.nodes()[index].process->Resume();
}

void FaultInjector::PollNode(size_t index, absl::Time now) {
  NodeState& node = nodes_[index];
  const std::string& name = fleet_.nodes()[index].name;
  switch (node.phase) {
    case NodeState::Phase::kRunning:
      if (node.paused)
        return;
      ++checks_["process_runs"];
      if (fleet_.nodes()[index].process->running())
        return;
      broken_.push_back(absl::StrCat(name, " ended by itself"));
      node.phase = NodeState::Phase::kDown;
      node.restart = now;
      return;
    case NodeState::Phase::kTerminating:
      if (!fleet_.nodes()[index].process->running()) {
        ++checks_["ends_within_grace"];
        CheckExitCode(index);
        node.phase = NodeState::Phase::kDown;
        node.restart = now + Draw(0, profile_.max_absence_ms);
        return;
      }
      if (now < node.grace_end || node.paused)
        return;
      if (!node.excused) {
        ++checks_["ends_within_grace"];
        broken_.push_back(
            absl::StrCat(name, " did not end within its grace time"));
      }
      Kill(index);
      return;
    case NodeState::Phase::kDown:
      if (now >= node.restart)
        Restart(index, now);
      return;
  }
}

/// A node that was asked to end must not crash on the way.
void FaultInjector::CheckExitCode(size_t index) {
  PacketFleet::Node& node = fleet_.nodes()[index];
  const int code = node.process->WaitForExit(absl::ZeroDuration()).value_or(-1);
  const bool starting =
      code == kTerminatedCode &&
      nodes_[index].grace_end - kGrace < nodes_[index].started + kStartTime;
  if (code != 0 && !starting)
    broken_.push_back(
        absl::StrCat(node.name, " ended with code ", code, " after SIGTERM"));
}

void FaultInjector::Restart(size_t index, absl::Time now) {
  NodeState& node = nodes_[index];
  fleet_.nodes()[index].process.reset();
  const Result<void> started = fleet_.StartNode(index);
  if (!started.has_value())
    broken_.push_back(started.error().ToString());
  for (Disturbance& disturbance : disturbed_[index])
    disturbance.to = std::min(disturbance.to, now);
  node = NodeState{};
  node.started = now;
  if (!planned_only_ || profile_.overlapping)
    node.planned_until = now + kStableWindow;
}

}  // namespace skylarkshunt
