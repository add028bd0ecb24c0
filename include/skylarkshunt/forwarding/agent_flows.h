#ifndef SKYLARKSHUNT_FORWARDING_AGENT_FLOWS_H_
#define SKYLARKSHUNT_FORWARDING_AGENT_FLOWS_H_

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/forwarding/load_model.h"
#include "skylarkshunt/forwarding/outcome_model.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// The flows of one target, and what their packets tell of it: requests that
/// run, service time, failed requests. Knows headers only. Pure and not
/// thread-safe.
class AgentFlows {
 public:
  enum class Phase : uint8_t { kOpening, kOpen, kEnded };

  struct Flow {
    Phase phase = Phase::kOpening;
    /// Entry that sent the last packet of the client.
    Endpoint entry;
    RequestKind kind = RequestKind::kNonIdempotent;
    /// Whether a request runs or is expected at the target.
    bool busy = false;
    bool client_ended = false;
    bool target_ended = false;
    bool target_sequence_known = false;
    /// The flow is known to be open at the target: its client acknowledged the
    /// grant, or the target has sent more than that. A grant alone does not
    /// tell, since the client may have taken the one of another target.
    bool confirmed = false;
    /// The request has been counted as failed, since it had no answer for long.
    bool overdue = false;
    uint32_t target_sequence = 0;
    /// Next byte of the client that starts a new request.
    uint32_t client_next = 0;
    bool client_next_known = false;
    /// Next byte that the client expects; the sequence of a reset.
    uint32_t client_expects = 0;
    /// First byte of the answer to the last request, and the byte after what
    /// was seen of it.
    uint32_t answer_begin = 0;
    uint32_t answer_end = 0;
    uint32_t busy_before = 0;
    absl::Time opened;
    absl::Time requested;
    absl::Time used;
  };

  /// Returns the flow, or null. Valid until a flow is added or erased.
  Flow* Find(const FlowId& id);
  bool Contains(const FlowId& id) const { return flows_.contains(id); }
  /// At the limit an agent gives opening packets back.
  bool is_full() const;

  /// An opening packet goes to the target; its request counts from now on.
  void Open(const FlowId& id, Endpoint entry, RequestKind kind, absl::Time now);
  /// A packet of the target, `header`, belongs to a flow that was opened before
  /// this agent started, or that was forgotten since its client went elsewhere.
  void Adopt(const FlowId& id, const PacketHeader& header, absl::Time now);
  /// The target grants the flow.
  void RecordGrant(Flow& flow, const PacketHeader& header, absl::Time now);
  void RecordClientPacket(Flow& flow,
                          const PacketHeader& header,
                          absl::Time now);
  /// A packet of the target that is not a grant. Returns the time since the
  /// request when it is the first one of an answer. `slots` are the target's.
  absl::optional<absl::Duration> RecordTargetPacket(const FlowId& id,
                                                    Flow& flow,
                                                    const PacketHeader& header,
                                                    uint32_t slots,
                                                    absl::Time now);
  /// No request has come after the grant: it counts as load no longer.
  void StopAwaitingRequest(const FlowId& id);
  void Erase(const FlowId& id);
  void Clear();
  /// Forgets what was learned of the target, for one that started again.
  void ResetTargetModels();
  /// Forgets old flows and counts requests without an answer. Call it a few
  /// times a second.
  void Sweep(absl::Time now);

  /// Whether the client's packet answers the grant of another target.
  static bool AcknowledgesOtherGrant(const Flow& flow,
                                     const PacketHeader& header);

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

  /// Calls `visit` with the id and state of each flow.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [id, flow] : flows_)
      visit(id, flow);
  }

 private:
  void SetBusy(Flow& flow, bool busy);
  void SetEnded(Flow& flow);
  /// Takes the outcome of a request into account once its answer has ended.
  void NoteAnswerEnd(const FlowId& id, const Flow& flow, absl::Time now);
  /// Counts a request that has had no answer for too long.
  void RecordUnanswered(Flow& flow, absl::Time now);

  absl::flat_hash_map<FlowId, Flow> flows_;
  ServiceTimeModel service_time_;
  OutcomeModel outcomes_;
  /// Before the first handshake: two passages of the network between client and
  /// target.
  absl::Duration handshake_time_ = absl::Milliseconds(8);
  uint32_t busy_ = 0;
  uint32_t open_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_AGENT_FLOWS_H_
