#include <algorithm>

#include "absl/strings/str_cat.h"
#include "standins/packet_fleet/fault_injector.h"

namespace skylarkshunt {
namespace {

constexpr int kLeastAwayMs = 200;
constexpr int kMostAwayMs = 2700;
/// Rate of a burst, as a multiple of the usual one.
constexpr int kLeastBurst = 3;
constexpr int kBursts = 3;
constexpr int kBriefMs = 200;
/// Changes of routes in one series, and the time between two of them.
constexpr int kMaxMoves = 6;
/// Changes that a restored store loses are fewer than this.
constexpr int kMaxLostChanges = 9;
/// Longest time until the operator writes again after a restore.
constexpr int kMaxRewriteMs = 1000;
constexpr int kRewriteRetryMs = 100;
constexpr int kMaxMoveGapMs = 1500;

}  // namespace

void FaultInjector::CausePlanned(FaultKind kind) {
  const size_t index = DrawNode();
  const bool free = profile_.overlapping || !IsBusy(index);
  switch (kind) {
    case FaultKind::kTerminate:
      if (!free || nodes_[index].phase != NodeState::Phase::kRunning)
        return;
      Record("terminate", fleet_.nodes()[index].name);
      return Terminate(index);
    case FaultKind::kDrain:
      if (!free || index < entries() || target_pending_[index] > 0)
        return;
      return Drain(index);
    case FaultKind::kChangeConfiguration:
      return ChangeConfiguration(0);
    case FaultKind::kTerminateMany:
      return TerminateMany();
    case FaultKind::kRollEntries:
      Record("roll_entries");
      return Roll(0, entries());
    case FaultKind::kRollAgents:
      Record("roll_agents");
      return Roll(entries(), nodes_.size());
    case FaultKind::kReload:
      return Reload();
    case FaultKind::kChangeRoutes:
      return ChangeRoutes();
    case FaultKind::kMoveRoutes:
      return MoveRoutes();
    case FaultKind::kTerminateInDrain: {
      const size_t agent = DrawAgent();
      if (target_pending_[agent] > 0)
        return;
      Drain(agent);
      Record("terminate_in_drain", fleet_.nodes()[agent].name);
      At(MonotonicNow() + Draw(0, 600), false,
         [this, agent] { Terminate(agent); });
      return;
    }
    case FaultKind::kReplaceTarget:
      return ReplaceTarget(DrawAgent());
    default:
      return Burst(Draw(500, 2500));
  }
}

void FaultInjector::CauseUnplanned(FaultKind kind) {
  const size_t index = DrawNode();
  const std::string& name = fleet_.nodes()[index].name;
  const bool free = profile_.overlapping || !IsBusy(index);
  switch (kind) {
    case FaultKind::kKill:
      if (!free)
        return;
      Record("kill", name);
      return Kill(index);
    case FaultKind::kPause:
      if (!free)
        return;
      Record("pause", name);
      return Pause(index, Draw(kLeastAwayMs, kMostAwayMs));
    case FaultKind::kCrashTarget:
      if (!free || index < entries())
        return;
      return CrashTarget(index, false);
    case FaultKind::kHarmStore:
      return HarmStore();
    case FaultKind::kHarmStorePath:
      return HarmStorePath();
    case FaultKind::kKillMany:
      return KillMany();
    case FaultKind::kForgetHistory:
      return ForgetHistory();
    case FaultKind::kRestoreStore:
      return RestoreStore();
    case FaultKind::kTerminateAndKill:
      Record("terminate_and_kill", name);
      Terminate(index);
      At(MonotonicNow() + Draw(50, 2000), false, [this, index] {
        if (nodes_[index].phase == NodeState::Phase::kTerminating)
          Kill(index);
      });
      return;
    case FaultKind::kKillAll:
      Record("kill_all");
      return KillRange(0, nodes_.size());
    case FaultKind::kKillEntries:
      Record("kill_entries");
      return KillRange(0, entries());
    case FaultKind::kPauseInBurst:
      Burst(Draw(1000, 2500));
      for (int i = 1 + static_cast<int>(random_() % 3); i > 0; --i) {
        const size_t node = DrawNode();
        const absl::Duration time = Draw(100, 600);
        Record("pause_in_burst", fleet_.nodes()[node].name);
        At(MonotonicNow() + Draw(0, 1000), false,
           [this, node, time] { Pause(node, time); });
      }
      return;
    default:
      return CrashTarget(DrawAgent(), true);
  }
}

void FaultInjector::Drain(size_t index) {
  Record("drain", fleet_.nodes()[index].name);
  FlowTarget* const target = fleet_.targets()[index - entries()].get();
  target->SetDraining(true);
  ++target_pending_[index];
  At(MonotonicNow() + Draw(kLeastAwayMs, kMostAwayMs), true,
     [this, index, target] {
       target->SetDraining(false);
       --target_pending_[index];
     });
}

void FaultInjector::Roll(size_t first, size_t end) {
  // The next node is stopped before the one before it is back.
  const absl::Duration gap =
      Draw(50, 1000) * 4 /
      static_cast<int64_t>(std::max<size_t>(4, end - first));
  absl::Time time = MonotonicNow();
  for (size_t i = first; i < end; ++i) {
    At(time, false, [this, i] { Terminate(i); });
    time += gap;
  }
}

void FaultInjector::TerminateMany() {
  const uint32_t share = 2 + random_() % 3;
  std::string names;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (random_() % share != 0)
      continue;
    Terminate(i);
    absl::StrAppend(&names, names.empty() ? "" : ",", fleet_.nodes()[i].name);
  }
  Record("terminate_many", names);
}

void FaultInjector::Reload() {
  Record("reload");
  const int rounds = 5 + static_cast<int>(random_() % 16);
  absl::Time time = MonotonicNow();
  for (int i = 0; i < rounds; ++i) {
    At(time, false, [this] {
      for (size_t k = 0; k < nodes_.size(); ++k) {
        // Before its handler is installed, SIGHUP ends a process.
        if (nodes_[k].phase == NodeState::Phase::kRunning &&
            MonotonicNow() > nodes_[k].started + absl::Seconds(1))
          fleet_.nodes()[k].process->Reload();
      }
    });
    time += Draw(10, 60);
  }
}

void FaultInjector::ChangeConfiguration(int change) {
  uint64_t version = 0;
  if (change == 1 && fleet_.added_routes() < FleetConfiguration::kMostAdded) {
    version = fleet_.AddRoute();
  } else if (change == 2 && fleet_.added_routes() > 0) {
    version = fleet_.RemoveRoute();
  } else {
    version = fleet_.ChangeConfiguration();
  }
  RecordVersion(version, absl::StrCat("change ", change));
}

void FaultInjector::RecordVersion(uint64_t version, const std::string& detail) {
  if (version == 0)
    return;
  Record("configuration", absl::StrCat(version, " ", detail));
  versions_.push_back({version, MonotonicNow()});
}

void FaultInjector::ChangeRoutes() {
  const int changes = 4 + static_cast<int>(random_() % 7);
  absl::Time time = MonotonicNow();
  for (int i = 0; i < changes; ++i) {
    const int change = static_cast<int>(random_() % 5) / 2;
    At(time, false, [this, change] { ChangeConfiguration(change); });
    time += Draw(50, 400);
  }
}

void FaultInjector::MoveRoutes() {
  const int moves = 1 + static_cast<int>(random_() % kMaxMoves);
  absl::Time time = MonotonicNow();
  for (int i = 0; i < moves; ++i) {
    At(time, false, [this, draw = static_cast<uint32_t>(random_())] {
      RecordVersion(fleet_.MoveRoute(draw), absl::StrCat("move ", draw));
    });
    time += Draw(kBriefMs / 4, kMaxMoveGapMs);
  }
}

void FaultInjector::ReplaceTarget(size_t index) {
  if (target_pending_[index] > 0)
    return;
  Record("replace_target", fleet_.nodes()[index].name);
  ++target_pending_[index];
  FlowTarget* const target = fleet_.targets()[index - entries()].get();
  target->SetDraining(true);
  FlowTarget::Incarnation incarnation;
  incarnation.report_delay = Draw(0, 1500);
  incarnation.new_id = random_() % 2 == 0;
  const absl::Duration away = Draw(kBriefMs, 600);
  At(MonotonicNow() + Draw(1500, 3000), true,
     [this, index, target, incarnation, away] {
       target->Leave();
       At(MonotonicNow() + away, true, [this, index, target, incarnation] {
         target->Restart(incarnation);
         --target_pending_[index];
       });
     });
}

void FaultInjector::Burst(absl::Duration time) {
  const int factor = kLeastBurst + static_cast<int>(random_() % kBursts);
  Record("burst", absl::StrCat(factor));
  ++bursts_;
  fleet_.clients().SetRateFactor(factor);
  At(MonotonicNow() + time, true, [this] {
    if (--bursts_ == 0)
      fleet_.clients().SetRateFactor(1);
  });
}

void FaultInjector::CrashTarget(size_t index, bool briefly) {
  if (target_pending_[index] > 0)
    return;
  Record(briefly ? "target_crash_brief" : "target_crash",
         fleet_.nodes()[index].name);
  ++target_pending_[index];
  FlowTarget* const target = fleet_.targets()[index - entries()].get();
  FlowTarget::Incarnation incarnation;
  absl::Duration away = Draw(kLeastAwayMs, kMostAwayMs);
  bool returns_packets = true;
  if (briefly) {
    away = absl::Milliseconds(kBriefMs);
    incarnation.report_delay = Draw(300, 1500);
    incarnation.new_id = random_() % 2 == 0;
    returns_packets = random_() % 2 == 0;
  }
  target->Crash(returns_packets);
  const absl::Time now = MonotonicNow();
  disturbed_[index].push_back({now, now + away});
  At(now + away, true, [this, index, target, incarnation] {
    target->Restart(incarnation);
    --target_pending_[index];
  });
}

void FaultInjector::KillRange(size_t first, size_t end) {
  const absl::Duration away = Draw(300, 2000);
  for (size_t i = first; i < end; ++i) {
    if (nodes_[i].phase != NodeState::Phase::kDown)
      fleet_.nodes()[i].process->Kill();
  }
  for (size_t i = first; i < end; ++i) {
    Kill(i);
    nodes_[i].restart = MonotonicNow() + away + Draw(0, 250);
  }
}

/// Kills about half of the nodes at one moment.
void FaultInjector::KillMany() {
  if (random_() % 3 != 0)
    return;
  Record("kill_many");
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (random_() % 2 == 0 && !IsBusy(i))
      Kill(i);
  }
}

void FaultInjector::HarmStore() {
  Fault fault;
  switch (random_() % 4) {
    case 0:
      fault.mode = FaultMode::kDown;
      break;
    case 1:
      fault.mode = FaultMode::kSlow;
      fault.delay = absl::Milliseconds(300);
      break;
    case 2:
      fault.mode = FaultMode::kLoseAnswers;
      break;
    default:
      fault.mode = FaultMode::kExpireWatches;
      break;
  }
  Record(absl::StrCat("store_", FaultModeName(fault.mode)));
  fleet_.store().SetFault(fault);
  const absl::Time end = MonotonicNow() + Draw(kLeastAwayMs, kMostAwayMs);
  store_until_ = std::max(store_until_, end);
  At(end, true, [this] { fleet_.store().SetFault(Fault{}); });
}

/// Watches report no change for a second while the configuration changes, then
/// the store has dropped its history.
void FaultInjector::ForgetHistory() {
  Record("store_history_forgotten");
  Fault fault;
  fault.mode = FaultMode::kDeafenWatches;
  fleet_.store().SetFault(fault);
  const absl::Time now = MonotonicNow();
  const absl::Time end = now + absl::Seconds(1);
  store_until_ = std::max(store_until_, end);
  for (int i = 1 + static_cast<int>(random_() % 3); i > 0; --i) {
    const int change = static_cast<int>(random_() % 3);
    At(now + Draw(0, 300), false,
       [this, change] { ChangeConfiguration(change); });
  }
  At(end, true, [this] { fleet_.store().SetFault(Fault{}); });
}

/// The store returns to a copy of this moment some seconds later, while it is
/// away or at once, after changes that it loses. Then the operator writes the
/// present configuration again.
void FaultInjector::RestoreStore() {
  Record("store_copied");
  fleet_.store().TakeCopy();
  const absl::Time now = MonotonicNow();
  const absl::Duration age = Draw(kLeastAwayMs, kMostAwayMs);
  const absl::Time restored = now + age;
  for (int i = static_cast<int>(random_() % kMaxLostChanges); i > 0; --i) {
    const int change = static_cast<int>(random_() % 3);
    At(now + Draw(0, static_cast<int>(absl::ToInt64Milliseconds(age))), false,
       [this, change] { ChangeConfiguration(change); });
  }
  const bool goes_away = random_() % 2 == 0;
  const absl::Time written = restored + Draw(0, kMaxRewriteMs);
  store_until_ = std::max(store_until_, written);
  if (goes_away) {
    At(restored - Draw(0, kLeastAwayMs), true,
       [this] { fleet_.store_path().SetFault(StreamFault::kReset); });
  }
  At(restored, true, [this, goes_away] {
    Record("store_restored");
    fleet_.store().Restore();
    if (goes_away)
      fleet_.store_path().SetFault(StreamFault::kNone);
  });
  At(written, true, [this] { WriteAgain(); });
}

/// Writes the present configuration again, as soon as the store takes it.
void FaultInjector::WriteAgain() {
  const absl::Time now = MonotonicNow();
  store_until_ = std::max(store_until_, now);
  const uint64_t version = fleet_.RewriteConfiguration();
  if (version == 0)
    At(now + absl::Milliseconds(kRewriteRetryMs), true,
       [this] { WriteAgain(); });
  else
    RecordVersion(version, "written again");
}

void FaultInjector::HarmStorePath() {
  const auto fault =
      static_cast<StreamFault>(1 + random_() % (kStreamFaults - 1));
  Record(absl::StrCat("store_path_", StreamFaultName(fault)));
  fleet_.store_path().SetFault(fault);
  const absl::Time end = MonotonicNow() + Draw(kLeastAwayMs, kMostAwayMs);
  store_until_ = std::max(store_until_, end);
  At(end, true, [this] { fleet_.store_path().SetFault(StreamFault::kNone); });
}

}  // namespace skylarkshunt
