#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_PROCESS_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_PROCESS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

#include "absl/time/time.h"
#include "standins/flow_simulation/simulation_context.h"

namespace skylarkshunt {

/// Common part of the simulated nodes: the process with its sockets, its
/// rounds, and the times in which it does not run. Not thread-safe.
class SimulatedProcess {
 public:
  /// Inputs of a node in the order of the members of `order` in each round.
  enum class Input : uint8_t { kCommand, kPacket, kMessage };

  SimulatedProcess(const SimulatedProcess&) = delete;
  SimulatedProcess& operator=(const SimulatedProcess&) = delete;
  virtual ~SimulatedProcess() = default;

  bool is_running() const { return running_; }
  bool is_leaving() const { return leaving_; }
  /// Whether the process answers a request that arrives now within the time of
  /// a readiness check.
  bool IsAnswering() const;
  /// Starts the process again `delay` after its end.
  void RestartAfterEnd(absl::Duration delay) { restart_delay_ = delay; }

  void Start();
  /// Ends the process at once, as SIGKILL does.
  void Kill();
  /// Begins the shutdown, as SIGTERM does.
  void Terminate();
  /// Stops the process for `time`. Its datagrams wait.
  void Stall(absl::Duration time);

 protected:
  SimulatedProcess(SimulationContext& context,
                   Actor actor,
                   std::array<Input, 3> order);

  /// Runs `handle` now or in the next round. Lost if the process has ended.
  void Receive(Input input, std::function<void()> handle);
  /// Runs `handle` after `delay` unless the process has ended by then.
  void AfterWhileRunning(absl::Duration delay, std::function<void()> handle);

  /// Longest time for which the datagrams of this round may have waited.
  absl::Duration socket_delay() const { return socket_delay_; }

  virtual void OnStart() = 0;
  virtual void OnTerminate() = 0;
  /// Handles deadlines and sends reports.
  virtual void OnTick() = 0;
  /// Called every second.
  virtual void OnSweep() = 0;
  virtual bool IsEndComplete(absl::Duration leaving) const = 0;

  SimulationContext& context_;
  const Actor actor_;
  absl::Time started_;

 private:
  void ScheduleTick();
  void BeginRound();
  void Round();
  void End();

  const std::array<Input, 3> order_;
  std::array<std::vector<std::function<void()>>, 3> waiting_;
  bool running_ = false;
  bool leaving_ = false;
  uint64_t starts_ = 0;
  absl::Duration restart_delay_ = absl::InfiniteDuration();
  absl::Time leaving_since_;
  absl::Time stalled_until_ = absl::InfinitePast();
  absl::Time last_round_;
  absl::Duration socket_delay_;
  absl::Time next_sweep_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_PROCESS_H_
