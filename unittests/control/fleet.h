#ifndef SKYLARKSHUNT_UNITTESTS_CONTROL_FLEET_H_
#define SKYLARKSHUNT_UNITTESTS_CONTROL_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "skylarkshunt/control/agent_control.h"
#include "skylarkshunt/control/entry_control.h"

namespace skylarkshunt {

/// Simulates entries and agents in one process, connected by a queue of
/// messages in simulated time. A node is identified by its index; entries come
/// first.
class Fleet {
 public:
  struct Options {
    size_t entries = 0;
    size_t agents = 0;
    size_t services = 1;
    size_t regions = 1;
    uint64_t seed = 1;
    double drop = 0;
    double duplicate = 0;
    absl::Duration max_delay = absl::Milliseconds(5);
    /// Number of entries, from the first, that are seeds of all nodes.
    size_t seeds = 3;
  };
  struct Node {
    InstanceRecord self;
    std::string service_name;
    std::unique_ptr<EntryControl> entry;
    std::unique_ptr<AgentControl> agent;
    /// Counts starts and kills of the node. Links of earlier lives are closed.
    uint64_t life = 0;
    bool paused = false;
    bool watching = false;
    bool list_due = false;
    Revision watched{};
    /// The newest revision of each key applied in this life.
    std::map<std::string, Revision> applied;
    absl::optional<bool> drained;
    size_t directory_writes = 0;
    size_t new_incarnations = 0;
    /// Whether to accumulate the processor time of the node's decisions.
    bool metered = false;
    absl::Duration processor;
  };
  /// Called for each message sent to the network.
  using Observer =
      std::function<void(size_t from, size_t to, const ControlMessage&)>;

  explicit Fleet(Options options);

  absl::Time now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  size_t entries() const { return options_.entries; }
  size_t AgentAt(size_t index) const { return options_.entries + index; }

  void RunFor(absl::Duration duration);
  /// Runs for `duration`, or until `check` fails. Returns whether `check` held
  /// throughout.
  bool HoldsFor(const std::function<bool()>& check, absl::Duration duration);
  /// Runs until `done` holds, at most for `limit`. Returns the elapsed time.
  absl::Duration RunUntil(const std::function<bool()>& done,
                          absl::Duration limit);

  /// Starts a new life of `node`. Its incarnation is `incarnation`, or the time
  /// in ms if that is 0.
  void Start(size_t node, Incarnation incarnation = {});
  /// Starts all nodes and runs until all entries know all nodes and hold `key`
  /// at `revision`, at most 20 s, then 10 s more.
  void StartAllAndSettle(const std::string& key, Revision revision);
  void Kill(size_t node);
  void Pause(size_t node) { nodes_[node].paused = true; }
  void Resume(size_t node);
  /// Makes the agent drain by itself, as on SIGTERM.
  void Drain(size_t agent);
  /// Drops messages from `from` to `to` without an error to the sender.
  void Cut(size_t from, size_t to) { cuts_.insert({from, to}); }
  /// Removes all cuts between nodes.
  void RemoveCuts() { cuts_.clear(); }
  void CutRegions(bool cut) { regions_cut_ = cut; }

  /// Change the platform's objects. Watching entries read them at their ticks.
  Revision Put(const std::string& key, const std::string& body);
  Revision Remove(const std::string& key);
  void SetPlatformUp(bool up) { platform_up_ = up; }
  /// Performs `actions` of `node` on the network and the fake drivers.
  void Perform(size_t node, EntryControlActions actions);

  /// Returns whether every live entry that is not paused (of `region`, if not
  /// empty) satisfies `check`.
  bool AllEntries(const std::function<bool(const EntryControl&)>& check,
                  const std::string& region = "") const;
  /// Returns whether every such entry holds `uid` in `state`.
  bool AllSee(InstanceUid uid, InstanceState state) const;
  bool AllHold(const std::string& key, Revision revision) const;
  InstanceUid UidOf(size_t node) const;
  size_t Watching() const;
  /// Returns how often a node applied a revision not newer than the one before.
  size_t reversions() const { return reversions_; }

  Observer observer;
  /// Called for each notice of an entry.
  std::function<void(size_t node, const ControlNotice&)> on_notice;

 private:
  struct Event {
    absl::Time at;
    uint64_t order = 0;
    size_t from = 0;
    size_t to = 0;
    uint64_t from_life = 0;
    uint64_t to_life = 0;
    /// Tick, failure report, request or answer.
    enum class Kind { kTick, kFailed, kRequest, kAnswer } kind = Kind::kTick;
    std::shared_ptr<const ControlMessage> message;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  void Push(Event event, absl::Duration delay);
  void Send(size_t from, size_t to, Event::Kind kind, ControlMessage message);
  void SendTo(size_t from, Endpoint peer, ControlMessage message);
  void Handle(const Event& event);
  /// Returns the result of `decide`, a call of the state machine of `node`, and
  /// adds its processor time if the node is metered.
  template <typename Decide>
  auto Meter(Node& node, const Decide& decide);
  void HandleTick(size_t node);
  void ReadPlatform(size_t node);
  void PerformAgent(size_t node, AgentControlActions actions);
  void RecordApplied(size_t node, const ConfigRecord& record);
  absl::Duration Delay();
  bool IsCut(size_t from, size_t to) const;
  uint64_t ConnectionOf(size_t from) const;

  const Options options_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000000);
  uint64_t order_ = 0;
  std::vector<Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::vector<std::vector<Event>> paused_events_;
  std::map<std::pair<uint32_t, uint16_t>, size_t> by_control_;
  std::set<std::pair<size_t, size_t>> cuts_;
  bool regions_cut_ = false;
  bool platform_up_ = true;
  Revision revision_{};
  std::map<std::string, ConfigRecord> objects_;
  size_t reversions_ = 0;
};

/// Return the key and a body of service number `index`.
std::string ServiceKey(size_t index);
std::string ServiceBody(size_t index, uint64_t uid, const std::string& apply);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_CONTROL_FLEET_H_
