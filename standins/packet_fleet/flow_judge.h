#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_JUDGE_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_JUDGE_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "standins/packet_fleet/fault_injector.h"
#include "standins/packet_fleet/flow_ledger.h"
#include "standins/packet_fleet/packet_fleet.h"

namespace skylarkshunt {

/// Which of the ledger's findings break rule FLOW, and which are excused.
struct FlowVerdict {
  /// One text a broken promise, with the log lines that name the flow.
  std::vector<std::string> broken;
  /// By kind of finding, with the logged reason of a reset: how many broke the
  /// rule.
  std::map<std::string, int> counts;
  /// By kind and reason: how many were excused.
  std::map<std::string, int> excused;
};

/// Judges what the ledger found. Planned work excuses nothing; an unplanned
/// fault excuses for the stable window of the machine of the flow's target, and
/// of the entries that took its packets. If the logs name the node that sent a
/// reset, that entry is looked at instead of all of them. Precondition: the
/// nodes have ended or are idle, so that their logs are complete.
FlowVerdict JudgeFlows(PacketFleet& fleet,
                       const FaultInjector& faults,
                       const SoakProfile& profile);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_JUDGE_H_
