#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "standins/packet_fleet/packet_fleet.h"

namespace skylarkshunt {

struct SoakOptions {
  PacketFleet::Options fleet;
  /// Time in which faults are caused.
  absl::Duration duration = absl::Seconds(12);
  /// Only planned work: SIGTERM and restart, drains.
  bool planned_only = false;
};

/// What a soak did and found. A promise that was broken stands in `broken`.
struct SoakReport {
  std::map<std::string, int> faults;
  ClientTally tally;
  std::map<std::string, int> checks;
  std::vector<std::string> broken;
};

/// Runs a fleet under faults drawn from the seed and checks the promises from
/// what clients and targets see. Errors: as PacketFleet::Start().
Result<SoakReport> RunSoak(const SoakOptions& options);

/// Returns the report as text, with the service over time. Thread-safe.
std::string WriteReport(const SoakReport& report);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_SOAK_H_
