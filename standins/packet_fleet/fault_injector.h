#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FAULT_INJECTOR_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FAULT_INJECTOR_H_

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "standins/packet_fleet/packet_fleet.h"
#include "standins/packet_fleet/soak_profile.h"

namespace skylarkshunt {

/// Causes faults drawn from a seed, one beside the other, and knows when each
/// node was disturbed. Not thread-safe.
class FaultInjector {
 public:
  /// A disturbed node or target counts as disturbed for this long afterwards,
  /// as in the platform's rules.
  static constexpr absl::Duration kStableWindow = absl::Seconds(4);

  /// Precondition: `fleet` outlives this object.
  FaultInjector(PacketFleet& fleet,
                const SoakProfile& profile,
                bool planned_only,
                uint32_t seed);

  /// Ends what is due, and causes a fault when its time has come. Call it every
  /// few milliseconds.
  void Poll(absl::Time now);
  /// Ends all faults, and returns once each node runs.
  void EndAll();

  /// Whether an unplanned fault of the node or its target was in force between
  /// the two times, or less than the stable window before.
  bool WasDisturbed(size_t node, absl::Time from, absl::Time to) const;
  /// When the running process of a node was started; the infinite past for the
  /// first one.
  absl::Time started(size_t node) const { return nodes_[node].started; }
  /// Whether the process of a node runs and is not paused.
  bool IsRunning(size_t node) const {
    return nodes_[node].phase != NodeState::Phase::kDown &&
           !nodes_[node].paused;
  }
  /// Whether the node is as it was started, without anything to come.
  bool IsSteady(size_t node, absl::Time now) const;
  /// When the store or the way to it was last disturbed.
  absl::Time store_disturbed_until() const { return store_until_; }
  /// A version of the configuration, and when the store confirmed it.
  struct WrittenVersion {
    uint64_t version = 0;
    absl::Time confirmed;
  };
  /// Versions that were written, in their order.
  const std::vector<WrittenVersion>& versions() const { return versions_; }

  const std::map<std::string, int>& faults() const { return faults_; }
  const std::map<std::string, int>& checks() const { return checks_; }
  const std::vector<std::string>& broken() const { return broken_; }
  /// What was done when, for the report.
  const std::vector<std::string>& history() const { return history_; }

 private:
  struct NodeState {
    enum class Phase { kRunning, kTerminating, kDown };
    Phase phase = Phase::kRunning;
    bool paused = false;
    /// A kill or a pause came after SIGTERM; its grace time proves nothing.
    bool excused = false;
    /// Killed, so that its restart ends an unplanned fault.
    bool killed = false;
    absl::Time started = absl::InfinitePast();
    absl::Time grace_end;
    absl::Time restart;
    /// Planned work, which matters to configuration only.
    absl::Time planned_until = absl::InfinitePast();
  };
  struct Disturbance {
    absl::Time from;
    absl::Time to;
  };
  struct Action {
    bool ends_fault = false;
    std::function<void()> run;
  };

  size_t entries() const;
  size_t DrawNode();
  size_t DrawAgent();
  absl::Duration Draw(int least_ms, int most_ms);
  /// `ends_fault` actions run in any case, the others only while faults are
  /// caused.
  void At(absl::Time time, bool ends_fault, std::function<void()> action);
  void Record(const std::string& name, const std::string& detail = "");
  void Cause(absl::Time now);
  void CausePlanned(FaultKind kind);
  void CauseUnplanned(FaultKind kind);
  bool IsBusy(size_t index) const;

  void Terminate(size_t index);
  void Kill(size_t index);
  void Pause(size_t index, absl::Duration time);
  void Resume(size_t index);
  void Drain(size_t index);
  void Roll(size_t first, size_t end);
  void TerminateMany();
  void Reload();
  void ChangeConfiguration(int change);
  void ChangeRoutes();
  void MoveRoutes();
  void RecordVersion(uint64_t version, const std::string& detail);
  void ReplaceTarget(size_t index);
  void Burst(absl::Duration time);
  void CrashTarget(size_t index, bool briefly);
  void KillRange(size_t first, size_t end);
  void KillMany();
  void HarmStore();
  void HarmStorePath();
  void ForgetHistory();
  void RestoreStore();
  void WriteAgain();

  void PollNode(size_t index, absl::Time now);
  void CheckExitCode(size_t index);
  void Restart(size_t index, absl::Time now);

  PacketFleet& fleet_;
  const SoakProfile profile_;
  const bool planned_only_;
  std::mt19937 random_;
  std::vector<NodeState> nodes_;
  /// By node: actions that are still to come for its target.
  std::vector<int> target_pending_;
  std::vector<std::vector<Disturbance>> disturbed_;
  std::multimap<absl::Time, Action> scheduled_;
  absl::Time next_;
  int bursts_ = 0;
  std::vector<WrittenVersion> versions_;
  absl::Time store_until_ = absl::InfinitePast();
  std::map<std::string, int> faults_;
  std::map<std::string, int> checks_;
  std::vector<std::string> broken_;
  std::vector<std::string> history_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FAULT_INJECTOR_H_
