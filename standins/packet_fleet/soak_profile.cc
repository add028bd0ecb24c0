#include "standins/packet_fleet/soak_profile.h"

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

/// Two slots of this service time make a burst exceed what targets can run.
constexpr absl::Duration kBusyWork = absl::Milliseconds(50);
constexpr size_t kBusySlots = 2;
/// A large fleet is as busy with fewer requests for each target.
constexpr absl::Duration kLargeWork = absl::Milliseconds(200);
constexpr int kUsualKeptPercent = 10;
constexpr int kKeptPercent = 25;
constexpr size_t kMovingRoutes = 4;

const std::vector<FaultKind>& PlannedSeries() {
  static const auto* const kinds = new std::vector<FaultKind>{
      FaultKind::kTerminate,     FaultKind::kDrain,
      FaultKind::kTerminateMany, FaultKind::kRollEntries,
      FaultKind::kRollAgents,    FaultKind::kReload,
      FaultKind::kChangeRoutes,  FaultKind::kTerminateInDrain,
      FaultKind::kReplaceTarget, FaultKind::kBurst,
      FaultKind::kBurst};
  return *kinds;
}

const std::vector<FaultKind>& UnplannedSeries() {
  static const auto* const kinds = new std::vector<FaultKind>{
      FaultKind::kKill,         FaultKind::kCrashTargetBriefly,
      FaultKind::kPauseInBurst, FaultKind::kTerminateAndKill,
      FaultKind::kKillAll,      FaultKind::kKillEntries,
      FaultKind::kHarmStore,    FaultKind::kHarmStorePath};
  return *kinds;
}

SoakProfile MakeUsual() {
  SoakProfile profile;
  profile.planned = {FaultKind::kTerminate, FaultKind::kDrain,
                     FaultKind::kChangeConfiguration};
  profile.unplanned = {FaultKind::kKill,          FaultKind::kPause,
                       FaultKind::kCrashTarget,   FaultKind::kHarmStore,
                       FaultKind::kHarmStorePath, FaultKind::kKillMany};
  profile.entry_faults_excuse = false;
  return profile;
}

SoakProfile MakeOverlap() {
  SoakProfile profile;
  profile.planned = PlannedSeries();
  profile.unplanned = UnplannedSeries();
  profile.max_absence_ms = 1200;
  profile.overlapping = true;
  return profile;
}

SoakProfile MakeRolls() {
  SoakProfile profile;
  profile.planned = {FaultKind::kRollEntries, FaultKind::kRollAgents,
                     FaultKind::kTerminateMany, FaultKind::kChangeRoutes,
                     FaultKind::kBurst};
  profile.max_absence_ms = 800;
  profile.overlapping = true;
  return profile;
}

/// Changes of the configuration beside faults of the store and restarts of
/// entries, with times between them in which rule CONFIG is judged.
SoakProfile MakeChanges() {
  SoakProfile profile;
  profile.planned = {FaultKind::kChangeRoutes, FaultKind::kRollEntries};
  profile.unplanned = {FaultKind::kForgetHistory, FaultKind::kForgetHistory,
                       FaultKind::kForgetHistory, FaultKind::kHarmStore,
                       FaultKind::kHarmStorePath, FaultKind::kKill};
  profile.max_gap_ms = 3000;
  profile.max_absence_ms = 800;
  return profile;
}

/// A store that comes back from older copies, also in quick succession, beside
/// changes of the configuration, other faults of the store and nodes that are
/// restarted or killed.
SoakProfile MakeRestores() {
  SoakProfile profile;
  profile.planned = {FaultKind::kChangeRoutes, FaultKind::kRollEntries,
                     FaultKind::kRollAgents, FaultKind::kTerminateMany};
  profile.unplanned = {FaultKind::kRestoreStore, FaultKind::kRestoreStore,
                       FaultKind::kRestoreStore, FaultKind::kForgetHistory,
                       FaultKind::kHarmStore,    FaultKind::kHarmStorePath,
                       FaultKind::kKill,         FaultKind::kPause,
                       FaultKind::kKillEntries};
  profile.max_gap_ms = 3000;
  profile.max_absence_ms = 800;
  return profile;
}

/// Routes that change their services, come and go, while the flows move to
/// other entries. Nothing unplanned excuses a reset.
SoakProfile MakeRoutes() {
  SoakProfile profile;
  profile.planned = {FaultKind::kMoveRoutes,    FaultKind::kMoveRoutes,
                     FaultKind::kMoveRoutes,    FaultKind::kTerminate,
                     FaultKind::kTerminateMany, FaultKind::kRollEntries,
                     FaultKind::kRollAgents};
  profile.max_absence_ms = 800;
  profile.overlapping = true;
  profile.moving_routes = kMovingRoutes;
  return profile;
}

}  // namespace

Result<SoakProfile> SoakProfile::Find(absl::string_view name) {
  SoakProfile profile;
  if (name == "usual") {
    profile = MakeUsual();
  } else if (name == "overlap" || name == "large") {
    profile = MakeOverlap();
  } else if (name == "rolls") {
    profile = MakeRolls();
  } else if (name == "changes") {
    profile = MakeChanges();
  } else if (name == "routes") {
    profile = MakeRoutes();
  } else if (name == "restores") {
    profile = MakeRestores();
  } else {
    return MakeError(ErrorKind::kInvalidArgument,
                     absl::StrCat("no profile \"", std::string(name), "\""),
                     "choose usual, overlap, rolls, large, changes, routes or "
                     "restores");
  }
  profile.name = std::string(name);
  return profile;
}

void SoakProfile::SetLoad(PacketFleet::Options& fleet) const {
  fleet.kept_percent = overlapping ? kKeptPercent : kUsualKeptPercent;
  fleet.moving_routes = moving_routes;
  if (!overlapping)
    return;
  fleet.work_time = name == "large" ? kLargeWork : kBusyWork;
  fleet.slots = kBusySlots;
}

}  // namespace skylarkshunt
