#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_COURSE_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_COURSE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/forwarding/decision.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

enum class ActorKind : uint8_t { kNone, kClient, kEntry, kAgent, kTarget };

/// A participant of the simulation.
struct Actor {
  ActorKind kind = ActorKind::kNone;
  size_t index = 0;

  /// Returns a name such as "entry-3".
  std::string ToString() const;
};

absl::string_view DecisionName(DecisionKind kind);

/// What clients, nodes and targets did about each flow, in time order. Not
/// thread-safe.
class CourseLog {
 public:
  struct Step {
    absl::Time time;
    Actor actor;
    /// Static strings.
    absl::string_view what;
    absl::string_view detail;
    Actor other;
    uint32_t number = 0;
  };

  void Record(const FlowId& flow, const Step& step) {
    steps_[flow].push_back(step);
  }
  /// Returns one line for each step, with the time since `start`.
  std::string Describe(const FlowId& flow, absl::Time start) const;

 private:
  absl::flat_hash_map<FlowId, std::vector<Step>> steps_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_COURSE_H_
