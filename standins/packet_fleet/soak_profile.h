#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_PROFILE_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_PROFILE_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/error.h"
#include "standins/packet_fleet/packet_fleet.h"

namespace skylarkshunt {

/// Kinds of fault and of planned work that a soak causes.
enum class FaultKind {
  // Planned work.
  kTerminate,
  kDrain,
  kChangeConfiguration,
  kTerminateMany,
  kRollEntries,
  kRollAgents,
  kReload,
  kChangeRoutes,
  kMoveRoutes,
  kTerminateInDrain,
  kReplaceTarget,
  kBurst,
  // Unplanned.
  kKill,
  kPause,
  kCrashTarget,
  kHarmStore,
  kHarmStorePath,
  kKillMany,
  kTerminateAndKill,
  kKillAll,
  kKillEntries,
  kPauseInBurst,
  kCrashTargetBriefly,
  kForgetHistory,
  kRestoreStore,
};

/// Which faults a soak draws, how close they are, and the load beside them.
struct SoakProfile {
  std::string name;
  std::vector<FaultKind> planned;
  std::vector<FaultKind> unplanned;
  /// Time between two draws, up to this.
  int max_gap_ms = 900;
  /// Time from the end of a process to its restart, up to this.
  int max_absence_ms = 0;
  /// Whether faults may concern a node or a target that is still subject to
  /// another one.
  bool overlapping = false;
  /// Whether the unplanned fault of an entry excuses the resets of flows whose
  /// packets it took, as the platform's rules say.
  bool entry_faults_excuse = true;
  /// Routes that change their services, are removed and added again.
  size_t moving_routes = 0;
  /// Least share of requests that is answered after the faults.
  double least_served = 0.97;

  /// Returns the profile usual, overlap, rolls, large, changes, routes or
  /// restores.
  /// Errors: kInvalidArgument. Thread-safe.
  static Result<SoakProfile> Find(absl::string_view name);

  /// Sets the load of the profile. Thread-safe.
  void SetLoad(PacketFleet::Options& fleet) const;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_PROFILE_H_
