#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FLOW_SIMULATION_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FLOW_SIMULATION_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "standins/flow_simulation/fault_plan.h"
#include "standins/flow_simulation/simulated_agent.h"
#include "standins/flow_simulation/simulated_clients.h"
#include "standins/flow_simulation/simulated_entry.h"
#include "standins/flow_simulation/simulated_router.h"
#include "standins/flow_simulation/simulation_context.h"

namespace skylarkshunt {

/// Clients, routers, entries, agents and targets of several data centres under
/// a simulated clock, with changes and faults drawn from a seed. Entries and
/// agents run the decisions of the product. Judges rule FLOW. Runs with the
/// same options give the same outcome. Not thread-safe.
class FlowSimulation {
 public:
  explicit FlowSimulation(const SimulationOptions& options);
  FlowSimulation(const FlowSimulation&) = delete;
  FlowSimulation& operator=(const FlowSimulation&) = delete;

  void Run();

  const SimulationFigures& figures() const { return context_.figures; }
  const FlowJudge& judge() const { return context_.judge; }
  /// Changes and faults of this seed, one a line.
  const std::vector<std::string>& faults() const { return context_.log; }
  /// Returns the violation and the course of its flow.
  std::string Describe(const Violation& violation) const;
  /// Returns the course of the flow.
  std::string Describe(const FlowId& flow) const;

 private:
  /// Sets the load as a multiple of the usual one.
  void SetLoad(double load);
  /// Puts a configuration with the present services into force.
  void AddConfiguration();
  void AddRoute();
  void RemoveRoute();
  /// Draws a change of one route.
  void ChangeRoute();
  std::string ServiceName(size_t index) const;

  SimulationContext context_;
  std::vector<std::unique_ptr<SimulatedEntry>> entries_;
  std::vector<std::unique_ptr<SimulatedAgent>> agents_;
  absl::flat_hash_map<uint32_t, Actor> nodes_;
  std::unique_ptr<SimulatedRouter> router_;
  SimulatedClients clients_;
  std::unique_ptr<FaultPlan> faults_;
  /// Addresses of the present routes, and of those that ChangeRoute() removed.
  std::vector<Endpoint> services_;
  std::vector<Endpoint> removed_;
  /// Shares of the routes that ChangeRoute() changed.
  absl::flat_hash_map<Endpoint, std::vector<RouteShare>> shares_;
  double load_ = 1.0;
  bool is_finishing_ = false;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FLOW_SIMULATION_H_
