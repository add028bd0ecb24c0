#ifndef SKYLARKSHUNT_UNITTESTS_FLOWS_GENERATOR_WORLD_H_
#define SKYLARKSHUNT_UNITTESTS_FLOWS_GENERATOR_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "flows/agent_limits.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// Events counted in a simulated history. The test checks that the histories
/// contain enough of each.
struct SimulationCounts {
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t unknown = 0;
  uint64_t transferred = 0;
  uint64_t pauses = 0;
  uint64_t restarts = 0;
  uint64_t late_copies = 0;
  uint64_t full_ledgers = 0;
};

/// Simulates several agents, callers that follow the protocol, and a network
/// that delays, duplicates and reorders messages, with delays longer than every
/// expiry time. Checks the invariants at each action of an agent. The same seed
/// gives the same history.
class AgentSimulation {
 public:
  explicit AgentSimulation(uint64_t seed);

  /// Runs the whole history. Returns the first violated invariant, or an empty
  /// string.
  std::string Run();

  const SimulationCounts& counts() const { return counts_; }

 private:
  struct Agent {
    std::unique_ptr<AgentCore> core;
    uint64_t generation = 0;
    Incarnation former{};
    absl::Duration clock_offset;
    absl::Time paused_until;
    absl::Time last_event;
    /// The incarnation last announced by the agent's actions.
    Incarnation announced{};
  };
  struct Call {
    Request request;
    bool idempotent = false;
    bool settled = false;
    int runs = 0;
    bool refused = false;
    /// Incarnation under which it was last queued.
    Incarnation queued_under{};
  };

  // Scenario.
  void ScheduleFaults();
  void InjectFault(size_t index);
  void Restart(size_t index);
  void TickAll();

  // Callers.
  void NewCall();
  void Transmit(uint64_t id);
  void OnAnswer(const Answer& answer);

  // Network.
  void At(absl::Duration delay, std::function<void()> event);
  void SendCopies(const std::function<void()>& deliver);
  Forward Route(const CallerMessage& message,
                const absl::optional<Binding>& binding);
  void Deliver(size_t index, const Forward& forward);

  // Agents.
  void Apply(size_t index, const AgentActions& actions);
  void CheckPause(size_t index, const AgentActions& actions);
  void OnDecision(size_t index, const AgentDecision& decision);
  void OnStart(size_t index, const StartRun& start);
  void OnReply(const Reply& reply);
  void EndRun(size_t index, uint64_t generation, const StartRun& start);
  absl::Time Clock(size_t index) const;

  bool Chance(double probability);
  uint64_t Draw(uint64_t below);
  absl::Duration DrawMs(uint64_t from, uint64_t to);
  void Fail(const std::string& what, uint64_t id);

  std::mt19937_64 random_;
  AgentLimits limits_;
  absl::Time now_;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<Agent> agents_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, Binding> flow_bindings_;
  SimulationCounts counts_;
  std::string failure_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_FLOWS_GENERATOR_WORLD_H_
