#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "standins/packet_fleet/packet_fleet.h"
#include "standins/packet_fleet/soak_profile.h"

namespace skylarkshunt {

struct SoakOptions {
  PacketFleet::Options fleet;
  /// Its load must have been set in `fleet`.
  SoakProfile profile;
  /// Time in which faults are caused.
  absl::Duration duration = absl::Seconds(12);
  /// Only planned work: signals to nodes, drains, changes.
  bool planned_only = false;
};

/// What a soak did and found. A promise that was broken stands in `broken`.
struct SoakReport {
  std::map<std::string, int> faults;
  ClientTally tally;
  std::map<std::string, int> checks;
  /// Resets that break nothing, by reason.
  std::map<std::string, int> permitted;
  std::vector<std::string> broken;
  /// By kind: broken promises of rule FLOW.
  std::map<std::string, int> flow_counts;
  /// The faults by time.
  std::vector<std::string> history;
};

/// Runs a fleet under faults drawn from the seed and checks the promises from
/// what clients and targets see. Errors: as PacketFleet::Start().
Result<SoakReport> RunSoak(const SoakOptions& options);

/// Returns the report as text, with the service over time. The history of the
/// faults is part of it if a promise was broken. Thread-safe.
std::string WriteReport(const SoakReport& report);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_H_
