#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FAULT_PLAN_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FAULT_PLAN_H_

#include <functional>
#include <memory>

#include "absl/types/span.h"
#include "standins/flow_simulation/simulated_agent.h"
#include "standins/flow_simulation/simulated_entry.h"
#include "standins/flow_simulation/simulation_context.h"

namespace skylarkshunt {

/// Draws changes and faults from the seed and applies them. They come in series
/// and overlap. Not thread-safe.
class FaultPlan {
 public:
  struct Operator {
    /// Sets the load as a multiple of the usual one.
    std::function<void(double)> set_load;
    std::function<void()> add_route;
    std::function<void()> remove_route;
    /// Changes the services of a route, removes it or adds it again.
    std::function<void()> change_route;
  };

  /// The entries and agents must outlive the plan.
  FaultPlan(SimulationContext& context,
            absl::Span<const std::unique_ptr<SimulatedEntry>> entries,
            absl::Span<const std::unique_ptr<SimulatedAgent>> agents,
            Operator platform);
  FaultPlan(const FaultPlan&) = delete;
  FaultPlan& operator=(const FaultPlan&) = delete;

  /// Schedules the faults of the next `duration`.
  void Schedule(absl::Duration duration);

 private:
  SimulatedProcess& Node(Actor node) const;
  uint32_t Address(Actor node) const;
  Actor AnyNode();
  absl::Duration AnyTime();
  /// Runs `change` at a random time.
  void Sometimes(double share, int most, const std::function<void()>& change);

  void SchedulePlanned();
  void ScheduleUnplanned();
  void ScheduleChanges();
  void ScheduleRouteChanges();
  void RestartInTurn(ActorKind kind);
  void ScaleDownAndUp();
  void Terminate(Actor node, absl::Duration restart);
  void Kill(Actor node, absl::Duration restart);
  void LosePower();
  void DrainTarget(size_t index);
  /// Replaces all targets of a service.
  void DrainInTurn();
  void CrashTarget(size_t target, absl::Duration restart);
  void SlowDown();
  void Suspend();
  void LosePackets();
  void Burst();

  SimulationContext& context_;
  const absl::Span<const std::unique_ptr<SimulatedEntry>> entries_;
  const absl::Span<const std::unique_ptr<SimulatedAgent>> agents_;
  const Operator operator_;
  absl::Duration duration_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FAULT_PLAN_H_
