#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_LEDGER_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// What happened to a flow that rule FLOW may forbid.
enum class FlowFault {
  /// Its target held it and did not send the reset.
  kReset,
  /// As above; a client must ignore this one.
  kResetOutsideWindow,
  /// The target did not yet have the end of the handshake, or got it at about
  /// the time of the reset.
  kResetAfterGrant,
  /// For two seconds only other targets got its packets.
  kForeignTargets,
  /// As above, of fewer packets than the rule names: each one reached several
  /// targets.
  kForeignCopies,
};

/// Returns a stable name such as "reset". Thread-safe.
const char* FlowFaultName(FlowFault fault);

/// One such event, with all that is needed to judge it.
struct FlowFinding {
  FlowFault fault = FlowFault::kReset;
  FlowId flow;
  /// Target that holds the flow, or that granted it.
  int target = -1;
  absl::Time opened;
  /// Begin and end of what was seen; equal for a reset.
  absl::Time from;
  absl::Time to;
  /// Entries that took the flow's packets shortly before.
  std::vector<Endpoint> entries;
  /// Other targets that got its packets.
  std::vector<int> foreign;
  /// Packets that the client sent meanwhile; each may reach several targets.
  int sent = 0;
};

/// How a client has to take a reset.
enum class ResetOutcome { kEndsAttempt, kEndsFlow, kIgnored };

/// Joins what clients and targets see of each flow, so that a reset and a
/// packet at a foreign target can be judged. Thread-safe.
class FlowLedger {
 public:
  /// Farthest distance of a reset from the client's last acknowledgement.
  static constexpr uint32_t kResetWindow = 76'800;
  /// Time in which only other targets get packets of a flow, and how many, that
  /// break the rule.
  static constexpr absl::Duration kForeignTime = absl::Seconds(2);
  static constexpr size_t kForeignPackets = 3;

  /// A client sent a packet of the flow to an entry.
  void RecordSent(const FlowId& flow, Endpoint entry, absl::Time now);
  /// A client got the grant of the flow.
  void RecordGranted(const FlowId& flow, uint32_t sequence);
  /// The client has ended the flow, or has given it up.
  void RecordEnd(const FlowId& flow, absl::Time now);
  /// A client got a reset. `acknowledged` is the client's last one.
  /// `from_end` is set if an end of a flow wrote the packet. The reset arrived
  /// between `earliest` and `now`.
  ResetOutcome RecordReset(const FlowId& flow,
                           uint32_t sequence,
                           uint32_t acknowledged,
                           bool from_end,
                           absl::Time earliest,
                           absl::Time now);

  /// A target granted the flow with this sequence number.
  void RecordGrant(const FlowId& flow, int target, uint32_t sequence);
  /// A target got the end of the handshake.
  void RecordOpen(const FlowId& flow, int target, absl::Time now);
  /// A target got a packet of the flow other than an opening one.
  void RecordReceived(const FlowId& flow, int target, absl::Time now);
  /// A target sent a reset, or the end of the flow.
  void RecordEndedByTarget(const FlowId& flow, int target, absl::Time now);
  /// A target has lost all its flows.
  void RecordLost(int target, absl::Time now);
  /// A configuration without the route of this address is to be written.
  void RecordRouteRemoved(Endpoint service, absl::Time now);
  /// A configuration with the route of this address has been written.
  void RecordRouteAdded(Endpoint service);

  std::vector<FlowFinding> findings() const;
  /// Resets of flows that were not open, or that had lost their target.
  std::map<std::string, int> permitted() const;

 private:
  struct Sent {
    absl::Time time;
    Endpoint entry;
  };
  struct Received {
    absl::Time time;
    int target;
  };
  struct Flow {
    /// By target: sequence numbers of the grants.
    std::map<int, uint32_t> grants;
    int owner = -1;
    int granted_by = -1;
    bool judged = true;
    bool lost = false;
    bool ended_by_target = false;
    absl::Time opened;
    absl::Time last_own;
    std::vector<Received> foreign;
    std::deque<Sent> sent;
  };

  /// Looks for too many packets at other targets since the last one at its own.
  void CheckForeign(const FlowId& id, Flow& flow, absl::Time end)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  static std::vector<Endpoint> EntriesBetween(const Flow& flow,
                                              absl::Time from,
                                              absl::Time to);

  mutable absl::Mutex mutex_;
  /// Addresses of removed routes; their flows are not judged.
  absl::flat_hash_set<Endpoint> removed_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<FlowId, Flow> flows_ ABSL_GUARDED_BY(mutex_);
  std::vector<FlowFinding> findings_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> permitted_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_LEDGER_H_
