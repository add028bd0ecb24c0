#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_ROUTER_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_ROUTER_H_

#include <memory>
#include <vector>

#include "absl/types/span.h"
#include "standins/flow_simulation/simulated_entry.h"
#include "standins/flow_simulation/simulation_context.h"

namespace skylarkshunt {

/// The routers of the platform: they select an entry of the client's data
/// centre by a hash of the flow over the entries that are in rotation when the
/// packet arrives. Not thread-safe.
class SimulatedRouter {
 public:
  /// `entries` must outlive the router.
  SimulatedRouter(SimulationContext& context,
                  absl::Span<const std::unique_ptr<SimulatedEntry>> entries);
  SimulatedRouter(const SimulatedRouter&) = delete;
  SimulatedRouter& operator=(const SimulatedRouter&) = delete;

  void Route(size_t data_centre, const PacketHeader& header);

 private:
  struct Member {
    bool in_rotation = false;
    int misses = 0;
  };

  void ScheduleCheck(size_t entry, absl::Duration delay);
  /// Entries that get packets of a data centre.
  std::vector<size_t> Selected(size_t data_centre) const;

  SimulationContext& context_;
  const absl::Span<const std::unique_ptr<SimulatedEntry>> entries_;
  std::vector<Member> members_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_ROUTER_H_
