#ifndef SKYLARKSHUNT_FLOWS_AGENT_CORE_IMPL_H_
#define SKYLARKSHUNT_FLOWS_AGENT_CORE_IMPL_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "flows/agent_limits.h"
#include "flows/answer_store.h"
#include "flows/bindings.h"
#include "flows/flow_table.h"
#include "flows/request_ledger.h"
#include "skylarkshunt/admission/admission_queue.h"
#include "skylarkshunt/admission/duration_model.h"
#include "skylarkshunt/admission/retry_budget.h"
#include "skylarkshunt/admission/target_health.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// A request that is queued or running at this agent.
struct ActiveRequest {
  /// The message that brought it; retransmissions update its entry and caller.
  Forward forward;
  FlowKey flow{};
  bool idempotent = false;
  uint32_t weight = 1;
  absl::Time deadline;
  /// A run ended without a result, so the outcome must not be "not run".
  bool may_have_run = false;
  bool running = false;
  bool cancel_sent = false;
  RunId run{};
  absl::Time started;
};

/// Implements AgentCore. The member functions are split over the files
/// agent_*.cc of this folder.
class AgentCoreImpl : public AgentCore {
 public:
  AgentCoreImpl(const Options& options, AgentLimits limits);

  AgentActions OnConfig(absl::Time now,
                        Revision revision,
                        const ServiceConfig& config) override;
  AgentActions OnServiceRemoved(absl::Time now, Revision revision) override;
  AgentActions OnForward(absl::Time now, const Forward& forward) override;
  AgentActions OnRunEnded(absl::Time now,
                          RunId run,
                          const RunResult& result) override;
  AgentActions OnTick(absl::Time now) override;
  AgentActions OnHealthHint(absl::Time now, bool healthy) override;
  AgentActions OnDrainOrder(absl::Time now, bool drain) override;
  AgentActions OnNewIncarnation(absl::Time now,
                                Incarnation incarnation) override;
  AgentActions BeginShutdown(absl::Time now) override;

  AgentStats Stats() const override;
  std::vector<OpenFlow> Flows(size_t limit) const override;
  Incarnation incarnation() const override { return bindings_.incarnation(); }
  InstanceState state() const override { return announced_; }

 private:
  using Decision = AgentDecision::Kind;

  // agent_core.cc: steps common to all events.
  void BeginEvent(absl::Time now);
  AgentActions EndEvent();
  void RemoveExpired();
  const KindConfig* FindKind(absl::string_view name) const;
  void RecordDecision(Decision kind,
                      const RequestId& id,
                      FlowKey flow,
                      Reason reason = Reason::kNone,
                      InstanceUid other = {});

  // agent_lifecycle.cc: pauses, drain, shutdown, health.
  void TakeIncarnation(Incarnation incarnation);
  void UpdateDrain();
  void OnDrainLimitPassed();
  void UpdateSlots();
  void UpdateState();
  void UpdateShutdown();
  void OnHealthChanged();
  void RecordResult(bool succeeded);
  bool draining() const;
  bool drain_limit_passed() const;
  bool TakesNewFlows() const;
  uint16_t Load() const;

  // agent_requests.cc: accepts, refuses or forwards requests.
  void OnRequest(const Forward& forward, const Request& request);
  bool ReplyIfKnown(const Forward& forward, const Request& request);
  void ReplyFromLedger(const Forward& forward,
                       const RequestId& id,
                       const LedgerEntry& entry);
  void RefuseUnserved(const Forward& forward,
                      const Request& request,
                      Reason reason);
  void OnIdempotent(const Forward& forward,
                    const Request& request,
                    const KindConfig& kind);
  void OnNonIdempotent(const Forward& forward,
                       const Request& request,
                       const KindConfig& kind);
  void OnTransferred(const Forward& forward,
                     const Request& request,
                     const KindConfig& kind);
  void OnUnbound(const Forward& forward,
                 const Request& request,
                 const KindConfig& kind);
  void SearchCandidates(const Forward& forward,
                        const Request& request,
                        const KindConfig& kind);
  void AcceptOrRefuse(const Forward& forward,
                      const Request& request,
                      const KindConfig& kind);
  void RefuseNewFlow(const Forward& forward,
                     const Request& request,
                     const KindConfig& kind,
                     Reason reason);
  void RefuseRevoked(const Forward& forward, const Request& request);
  void AcceptBound(const Forward& forward,
                   const Request& request,
                   const KindConfig& kind);
  void OnLedgerFull(const Forward& forward, const Request& request);
  Reason RefusalReason() const;
  void SendBind(const Forward& forward, const Request& request);

  // agent_passing.cc: forwards messages to other agents.
  bool IsLastHop(const Forward& forward) const;
  bool ForwardToNext(const Forward& forward);
  bool ForwardToBound(const Forward& forward,
                      const Binding& binding,
                      bool only_onward);
  bool ForwardForLoad(const Forward& forward);
  bool ReturnToLowestLoad(const Forward& forward);
  bool MoveToOtherCandidate(const Forward& forward,
                            bool idempotent,
                            Reason reason);
  void SendTransferred(const Forward& forward, const TransferRecord& record);
  void SendTo(Forward forward, size_t index);

  // agent_runs.cc: from admission to the end of a run.
  void Admit(const Forward& forward,
             const Request& request,
             const KindConfig& kind);
  void Offer(std::unique_ptr<ActiveRequest> active);
  void NotifyPending(const Forward& forward, const Request& request);
  static Forward WithTimeLeft(const ActiveRequest& active, absl::Time now);
  void StartQueuedRequests();
  void Start(ActiveRequest& active);
  void Finish(const ActiveRequest& active, const RunResult& result);
  void OnNotRun(std::unique_ptr<ActiveRequest> active, Reason reason);
  void OnRunLost(std::unique_ptr<ActiveRequest> active, Reason reason);
  bool Retry(std::unique_ptr<ActiveRequest>& active);
  void MoveOrRefuse(const ActiveRequest& active, Reason reason);
  void RefuseActive(const ActiveRequest& active, Reason reason);
  void CancelTimedOutRuns();
  std::unique_ptr<ActiveRequest> TakeActive(const RequestId& id);

  // agent_answers.cc: answers, fetches, Done and Close messages.
  void SendAnswer(const Forward& forward, Answer answer);
  void SendOutcome(const Forward& forward,
                   const RequestId& id,
                   Outcome outcome,
                   Reason reason,
                   absl::optional<Binding> binding = absl::nullopt);
  bool IsIdempotent(const CallerMessage& message) const;
  void SendChunks(const Forward& forward,
                  const StoredAnswer& answer,
                  uint32_t first,
                  uint32_t count,
                  const absl::optional<Binding>& binding);
  absl::optional<Binding> RenewedBinding(FlowKey flow,
                                         const absl::optional<Binding>& held);
  uint32_t RetryAfterMs(Reason reason) const;
  void OnFetch(const Forward& forward, const Fetch& fetch);
  void OnDone(const Forward& forward, const Done& done);
  void OnClose(const Forward& forward, const Close& close);

  const Options options_;
  absl::Time now_ = absl::InfinitePast();
  AgentActions actions_;

  absl::optional<ServiceConfig> config_;
  Revision revision_{};
  absl::flat_hash_map<std::string, KindConfig> kinds_;

  DurationModel model_;
  AdmissionQueue queue_;
  RetryBudget retry_budget_;
  TargetHealth health_;
  Bindings bindings_;
  // Transferred requests whose binding was issued at or before this time are
  // refused: the ledger was full and could not record them.
  int64_t transfers_revoked_through_ms_ = 0;
  FlowTable flows_;
  RequestLedger ledger_;
  AnswerStore answers_;
  absl::flat_hash_map<RequestId, std::unique_ptr<ActiveRequest>> active_;
  absl::flat_hash_map<RunId, RequestId> runs_;
  uint64_t next_run_;
  std::mt19937_64 random_;

  InstanceState announced_ = InstanceState::kServing;
  bool drain_ordered_ = false;
  bool service_removed_ = false;
  bool shutting_down_ = false;
  bool shutdown_complete_ = false;
  bool drain_limit_passed_ = false;
  absl::Time drain_began_ = absl::InfiniteFuture();
  absl::Time warm_up_start_ = absl::InfinitePast();

  AgentStats stats_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_AGENT_CORE_IMPL_H_
