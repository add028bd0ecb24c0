#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATION_OPTIONS_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATION_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Kinds of changes and faults that a simulation may contain. Each seed draws
/// some of the enabled ones.
struct FaultKinds {
  /// SIGTERM of entries and agents in turn, targets that drain and leave.
  bool planned = true;
  /// Nodes that are killed, alone or all at one moment.
  bool kills = true;
  bool target_crashes = true;
  /// Nodes that do not run for 50 ms to some seconds.
  bool stalls = true;
  bool loss = true;
  /// A route that is added and one that is removed.
  bool configurations = true;
  bool bursts = true;
  /// Routes that change their services, and are removed and added again. Half
  /// of the targets then belong to the second service.
  bool route_changes = false;
};

struct SimulationOptions {
  uint32_t seed = 1;
  /// Time with clients, without the start of the nodes.
  absl::Duration duration = absl::Seconds(15);
  size_t data_centres = 2;
  /// Entries and agents of each data centre.
  size_t entries = 5;
  size_t agents = 6;
  uint32_t slots = 2;
  /// Mean work of a request.
  absl::Duration work = absl::Milliseconds(40);
  double work_spread = 0.5;
  /// Share of the slots that clients use outside of bursts.
  double load = 0.6;
  absl::Duration objective = absl::Milliseconds(120);
  absl::Duration deadline = absl::Milliseconds(2500);
  int attempts = 3;
  size_t client_addresses = 60;
  /// Ports that a client address uses in turn. With 200 of them flows of the
  /// same ports follow each other after some seconds.
  uint16_t client_ports = 5000;
  /// Whether the store answers after the first start of the nodes. Otherwise
  /// nodes learn of each other from seeds and reports only.
  bool store = true;
  /// Rate of the entries' links, in bytes per second; 0 if unknown. The network
  /// does not limit it, but entries search differently on slow links.
  uint64_t link_bytes_per_second = 0;
  FaultKinds faults;
};

/// Outcomes of one simulation, for the comparison of designs.
struct SimulationFigures {
  size_t requests = 0;
  size_t served = 0;
  size_t served_in_time = 0;
  size_t failed = 0;
  size_t attempts = 0;
  /// Attempts that a reset ended before the flow was open.
  size_t refused = 0;
  /// Attempts that their client ended after 1.4 s without an answer.
  size_t unanswered = 0;
  std::vector<FlowId> unanswered_flows;
  /// Resets for a flow whose client has accepted a grant that has not reached
  /// the target yet. They are out of the window and do no harm.
  size_t resets_during_handshake = 0;
  size_t opened = 0;
  /// Times from an opening packet to its refusal.
  std::vector<absl::Duration> refusal_times;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATION_OPTIONS_H_
