#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATION_CONTEXT_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATION_CONTEXT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "standins/flow_simulation/course.h"
#include "standins/flow_simulation/event_queue.h"
#include "standins/flow_simulation/flow_judge.h"
#include "standins/flow_simulation/network.h"
#include "standins/flow_simulation/simulation_options.h"

namespace skylarkshunt {

inline const absl::Time kSimulationStart = absl::UnixEpoch() + absl::Hours(1);

/// What all participants of one simulation share. Not thread-safe.
struct SimulationContext {
  explicit SimulationContext(const SimulationOptions& simulation_options)
      : options(simulation_options),
        events(kSimulationStart),
        random(simulation_options.seed),
        network(events, random),
        judge(events) {}

  /// Adds a step to the course of `flow`.
  void Record(const FlowId& flow,
              Actor actor,
              absl::string_view what,
              absl::string_view detail = {},
              Actor other = {},
              uint32_t number = 0) {
    course.Record(flow, {events.now(), actor, what, detail, other, number});
  }

  /// Adds a line to the log of changes and faults.
  void Log(absl::string_view what, Actor actor = {}) {
    log.push_back(absl::StrFormat(
        "%10.6f %s %s", absl::ToDoubleSeconds(events.now() - kSimulationStart),
        what, actor.kind == ActorKind::kNone ? "" : actor.ToString()));
  }

  const SimulationOptions options;
  EventQueue events;
  SimulatedRandom random;
  SimulatedNetwork network;
  CourseLog course;
  FlowJudge judge;
  SimulationFigures figures;
  std::vector<std::string> log;
  /// All versions of the configuration; the last one is in force.
  std::vector<std::shared_ptr<const RouteTable>> configurations;
  /// Objects of nodes in the store, and the longest time to read them.
  std::vector<NodeAddress> stored_nodes;
  bool store_available = true;
  absl::Duration store_delay = absl::Milliseconds(400);
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATION_CONTEXT_H_
