#ifndef SKYLARKSHUNT_FORWARDING_AGENT_FLOWS_H_
#define SKYLARKSHUNT_FORWARDING_AGENT_FLOWS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/forwarding/load_model.h"
#include "skylarkshunt/forwarding/outcome_model.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/forwarding/work_model.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Tracks the flows of one target. Derives the number of running requests, the
/// service time and the failed requests from packet headers alone. Pure and not
/// thread-safe.
class AgentFlows {
 public:
  enum class Phase : uint8_t { kOpening, kOpen, kEnded };

  struct Flow {
    Phase phase = Phase::kOpening;
    /// Entry that forwarded the client's last packet.
    Endpoint entry;
    RequestKind kind = RequestKind::kNonIdempotent;
    /// Whether a request runs or is expected at the target.
    bool busy = false;
    bool client_ended = false;
    bool target_ended = false;
    bool target_sequence_known = false;
    /// The flow is known to be open at the target: its client acknowledged the
    /// grant, or the target has sent further packets. A grant alone does not
    /// prove this, since the client may have accepted the grant of another
    /// target.
    bool confirmed = false;
    /// The request timed out and has been counted as failed.
    bool timed_out = false;
    uint32_t target_sequence = 0;
    /// Sequence numbers that the target has used on this flow: from the grant,
    /// or a bound below the first packet seen, up to the byte after the last.
    bool target_range_known = false;
    uint32_t target_range_begin = 0;
    uint32_t target_range_end = 0;
    /// Sequence number of the opening packet.
    uint32_t client_sequence = 0;
    bool client_sequence_known = false;
    /// Sequence number of the client's next byte, which starts a new request.
    uint32_t client_next = 0;
    bool client_next_known = false;
    /// Next byte that the client expects. Used as the sequence of a reset.
    uint32_t client_expects = 0;
    /// Sequence numbers of the first byte of the answer to the last request,
    /// and of the byte after the last one seen.
    uint32_t answer_begin = 0;
    uint32_t answer_end = 0;
    uint32_t busy_before = 0;
    /// The request in the work model; 0 if it is not tracked there.
    WorkModel::Token work = 0;
    absl::Time opened;
    /// Last packet of the target.
    absl::Time answered;
    absl::Time requested;
    absl::Time used;
  };

  /// Returns the flow, or null. Valid until a flow is added or erased.
  Flow* Find(const FlowId& id);
  bool Contains(const FlowId& id) const { return flows_.contains(id); }
  /// Whether the limit of flows is reached; the agent then returns opening
  /// packets.
  bool is_full() const;

  /// Adds a flow whose opening packet with the given sequence number goes to
  /// the target, and removes an earlier one with the same id. Its expected
  /// request counts as load from now on.
  void Open(const FlowId& id,
            Endpoint entry,
            RequestKind kind,
            uint32_t sequence,
            absl::Time now);
  /// Whether an opening packet with the given sequence number is the one that
  /// opened the known flow `id`. Otherwise it opens a later flow with the same
  /// addresses and ports.
  bool IsOpenedBy(const FlowId& id, uint32_t sequence) const;
  /// Adds the unknown flow of a packet from the target. The flow was opened
  /// before this agent started, or its state was erased because the client
  /// accepted the grant of another target.
  void Adopt(const FlowId& id, const PacketHeader& header, absl::Time now);
  /// Records that the target granted the flow. A grant outside the sequence
  /// numbers of an open flow is for a later flow with the same ports.
  void RecordGrant(Flow& flow, const PacketHeader& header, absl::Time now);
  void RecordClientPacket(Flow& flow,
                          const PacketHeader& header,
                          absl::Time now);
  /// Records a packet of the target other than a grant. Returns the time since
  /// the request if it is the first packet of an answer. `slots` is the number
  /// of slots of the target.
  absl::optional<absl::Duration> RecordTargetPacket(const FlowId& id,
                                                    Flow& flow,
                                                    const PacketHeader& header,
                                                    uint32_t slots,
                                                    absl::Time now);
  /// Stops counting the expected request of a granted flow as load if the
  /// client has not sent it.
  void StopAwaitingRequest(const FlowId& id);
  void Erase(const FlowId& id);
  /// Removes the flows that have neither been opened nor got a packet from the
  /// target since `since`. Calls `removed` with the id and state of each.
  template <typename Visitor>
  void EraseOlder(absl::Time since, const Visitor& removed) {
    std::vector<FlowId> older;
    for (const auto& [id, flow] : flows_) {
      if (std::max(flow.opened, flow.answered) >= since)
        continue;
      removed(id, flow);
      older.push_back(id);
    }
    for (const FlowId& id : older)
      Erase(id);
  }
  /// Resets the service time and the outcomes of a target that restarted.
  void ResetTargetModels();
  /// Removes expired flows and counts requests that timed out. Call it a few
  /// times per second.
  void Sweep(absl::Time now);

  /// Whether the client's packet acknowledges sequence numbers that this target
  /// has not used on the flow. The client accepted the grant of another target,
  /// or `flow` is an earlier flow with the same addresses and ports.
  static bool AcknowledgesOtherTarget(const Flow& flow,
                                      const PacketHeader& header);

  /// Work of the running requests by route.
  const WorkModel& work() const { return work_; }
  /// Sets the number of requests that the target runs at once.
  void set_slots(uint32_t slots) { work_.set_slots(slots); }

  /// Requests that run or are expected at the target.
  uint32_t busy() const { return busy_; }
  /// Flows that are opening or open.
  uint32_t open() const { return open_; }
  /// Time from an opening packet at the target to its client's request.
  absl::Duration handshake_time() const { return handshake_time_; }
  /// Zero before the first answer.
  absl::Duration known_service_time(absl::Time now) const {
    return service_time_.estimate(now);
  }
  uint16_t failing_permille(absl::Time now) const {
    return outcomes_.failing_permille(now);
  }

 private:
  void SetBusy(Flow& flow, bool busy);
  /// Counts a request on the flow `id` as load, if none is counted.
  void BeginRequest(const FlowId& id, Flow& flow, absl::Time now);
  void SetEnded(Flow& flow);
  /// Adds the packet of the target to its sequence numbers on the flow.
  static void ExtendTargetRange(Flow& flow, const PacketHeader& header);
  /// Records the outcome of a request whose answer has ended.
  void RecordAnswerEnd(const FlowId& id, const Flow& flow, absl::Time now);
  /// Updates the service time from a request without an answer, and counts the
  /// request as failed once it timed out.
  void RecordUnanswered(Flow& flow, absl::Time now);

  absl::flat_hash_map<FlowId, Flow> flows_;
  ServiceTimeModel service_time_;
  WorkModel work_;
  OutcomeModel outcomes_;
  /// Initial value: two network passages between client and target.
  absl::Duration handshake_time_ = absl::Milliseconds(8);
  uint32_t busy_ = 0;
  uint32_t open_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_AGENT_FLOWS_H_
