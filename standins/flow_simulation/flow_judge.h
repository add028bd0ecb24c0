#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FLOW_JUDGE_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FLOW_JUDGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/packets/packet.h"
#include "standins/flow_simulation/course.h"
#include "standins/flow_simulation/event_queue.h"

namespace skylarkshunt {

/// A reset that a node sends to a client.
struct SentReset {
  FlowId flow;
  uint32_t sequence = 0;
  Actor sender;
  /// Static strings.
  absl::string_view reason;
  absl::string_view holder;
};

/// Unplanned disruption of a machine. A violation with one of them within the
/// last `kInTouchWindow` is excused by the rules.
enum class Disruption : uint8_t { kKill, kStall, kLoss };
inline constexpr size_t kDisruptions = 3;

enum class ViolationKind : uint8_t {
  kResetHonoured,  ///< FLOW (a): the client ended its open flow.
  kResetIgnored,   ///< FLOW (a): the reset had a sequence out of the window.
  /// FLOW (b): in the 2 s after a packet that reached another target, at least
  /// three did and none reached the flow's own.
  kMisdirected,
};
absl::string_view ViolationName(ViolationKind kind);

struct Violation {
  ViolationKind kind = ViolationKind::kResetHonoured;
  FlowId flow;
  absl::Time time;
  /// Reason of the decision that led to the reset, and what the sender knew of
  /// the agent of the flow's target.
  absl::string_view reason;
  absl::string_view holder;
  Actor sender;
  /// Entry that took the flow's last packet, and the flow's target.
  Actor entry;
  Actor target;
  /// Disruption that excuses it; empty if the rule is broken.
  std::string excuse;
};

/// Judges rule FLOW from what clients and targets see. Not thread-safe.
class FlowJudge {
 public:
  /// `events` must outlive the judge.
  explicit FlowJudge(EventQueue& events) : events_(events) {}

  /// Records that the machine of `machine` is disrupted until `until`.
  void RecordDisruption(Actor machine, Disruption kind, absl::Time until);

  /// A client starts to open `flow`. Replaces an earlier flow of its ports.
  void OnOpening(const FlowId& flow);
  /// An entry took a packet of the flow.
  void OnTaken(const FlowId& flow, size_t entry);
  /// The target has the end of the handshake.
  void OnOpened(const FlowId& flow, size_t target);
  /// Both ends have ended the flow, or one has given up.
  void OnClosed(const FlowId& flow);
  /// The target process ended with all its flows.
  void OnTargetEnded(size_t target);
  /// A configuration without the route was confirmed. An entry with it may
  /// reset the flows of the route for that reason.
  void OnRouteRemoved(Endpoint route);
  /// A configuration is written in which the route is back.
  void OnRouteAdded(Endpoint route) { removed_.erase(route); }
  /// A packet of a client reached a target.
  void OnDelivered(const FlowId& flow, size_t target);
  /// A reset by a node reached the client.
  void OnReset(const SentReset& reset, bool honoured);
  bool IsOpen(const FlowId& flow) const { return TargetOf(flow).has_value(); }
  /// Returns the target of a flow that is open.
  absl::optional<size_t> TargetOf(const FlowId& flow) const;

  const std::vector<Violation>& violations() const { return violations_; }
  /// Number of violations that are not excused.
  size_t broken() const;
  /// Packets of open flows of which three or more copies reached other targets
  /// in a search. Rule FLOW (b) can be read so that these count if the flow's
  /// target gets nothing for 2 s.
  size_t searches() const { return searches_; }

 private:
  struct Flow {
    bool open = false;
    bool misdirected = false;
    /// A configuration has removed its route.
    bool removed = false;
    size_t target = 0;
    size_t entry = 0;
    absl::Time own_packet;
    /// Packets that reached other targets since the last one that reached its
    /// own, with their first arrival, and the copies of the last one.
    std::vector<absl::Time> foreign;
    size_t copies = 0;
    uint64_t number = 0;
  };

  void RecordForeign(const FlowId& id, Flow& flow, absl::Time now);
  void Add(ViolationKind kind,
           const FlowId& id,
           const Flow& flow,
           const SentReset& reset);
  std::string Excuse(const Flow& flow, Actor sender) const;

  EventQueue& events_;
  uint64_t opened_ = 0;
  size_t searches_ = 0;
  absl::flat_hash_map<FlowId, Flow> flows_;
  absl::flat_hash_set<Endpoint> removed_;
  /// End of the last disruption of each kind, by role and index.
  absl::flat_hash_map<std::pair<bool, size_t>,
                      std::array<absl::Time, kDisruptions>>
      disrupted_;
  std::vector<Violation> violations_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_FLOW_JUDGE_H_
