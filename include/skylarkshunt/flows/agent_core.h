#ifndef SKYLARKSHUNT_FLOWS_AGENT_CORE_H_
#define SKYLARKSHUNT_FLOWS_AGENT_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/link/messages.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// Number of one run of a request at the target, unique in a process.
enum class RunId : uint64_t {};

/// Sends an answer to the entry that serves the caller.
struct SendReply {
  Endpoint entry;
  Reply reply;
};
/// Forwards a message to another agent.
struct SendForward {
  Endpoint agent;
  Forward forward;
};
/// Starts a request at the target; OnRunEnded() must follow for `run`.
struct StartRun {
  RunId run{};
  RequestId request_id;
  std::string kind;
  std::string body;
  absl::Time deadline;
};
/// Asks a worker to cancel a run; OnRunEnded() still follows.
struct CancelRun {
  RunId run{};
};
/// The agent's announced state or incarnation changed.
struct StateChanged {
  InstanceState state = InstanceState::kServing;
  Incarnation incarnation{};
};
/// All work has ended after BeginShutdown(); the process may exit.
struct ShutdownComplete {};
/// A decision to log.
struct AgentDecision {
  enum class Kind {
    kFlowAccepted,
    kRequestQueued,
    kRequestStarted,
    kRequestRefused,
    kForwarded,
    kTransferred,
    kBindingIssued,
    kRetransmissionIgnored,
    kOutcomeUnknown,
    kLeaseLapsed,
    kEjected,
    kRestored,
    kBindingsRevoked,
    kDrainBegan,
    kDrainEnded,
    kConfigApplied,
  };
  Kind kind = Kind::kFlowAccepted;
  RequestId request_id;
  FlowKey flow{};
  Reason reason = Reason::kNone;
  InstanceUid other{};
  /// Running and queued requests per slot, in thousandths.
  uint16_t load = 0;
};

using AgentAction = std::variant<SendReply,
                                 SendForward,
                                 StartRun,
                                 CancelRun,
                                 StateChanged,
                                 ShutdownComplete,
                                 AgentDecision>;
using AgentActions = std::vector<AgentAction>;

/// How a run at the target ended.
struct RunResult {
  enum class Kind {
    kAnswered,        ///< The target answered with `status` and `body`.
    kNotSent,         ///< No connection; the target saw nothing.
    kConnectionLost,  ///< The target may or may not have run it.
    kTimedOut,        ///< As kConnectionLost, at the deadline.
  };
  Kind kind = Kind::kAnswered;
  uint16_t status = 0;
  std::string body;
  /// The target reported that it shed the request without running it (503 with
  /// the header "X-Not-Run: 1").
  bool shed_unrun = false;
};

/// Counters and current sizes for metrics and status.
struct AgentStats {
  uint64_t flows = 0;
  uint64_t running = 0;
  uint64_t queued = 0;
  uint64_t ledger_entries = 0;
  uint64_t retained_answer_bytes = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  uint64_t passed_on = 0;
  uint64_t transferred = 0;
  uint64_t repeats = 0;
  uint64_t outcome_unknown = 0;
  uint64_t lease_lapses = 0;
  uint64_t retries = 0;
  uint64_t effective_slots = 0;
};

/// One open flow, for status.
struct OpenFlow {
  FlowKey key{};
  /// As in Binding; 0 before the flow has a binding.
  int64_t binding_issued_ms = 0;
  /// Time since the flow's last message.
  absl::Duration idle;
};

/// Differences from the product's policy. Only baselines in measurements set
/// them.
struct AgentPolicy {
  /// First come first served, without kinds or learned durations.
  bool first_come_first_served = false;
  /// Never forwards an opening request because of load and never transfers a
  /// request.
  bool no_second_candidate = false;
  /// Retries without a budget.
  bool no_retry_budget = false;
};

/// Decides for the agent of one target: flows, bindings, at-most-once ledger,
/// admission, retries, ejection, drain. A pure state machine: each event passes
/// the current time, from a clock that advances while the process is suspended.
/// Not thread-safe; the agent's data thread owns it.
class AgentCore {
 public:
  struct Options {
    InstanceUid uid{};
    Incarnation incarnation{};
    ServiceUid service{};
    AgentPolicy policy;
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument for a zero uid or incarnation.
  static Result<std::unique_ptr<AgentCore>> Create(Options options);
  virtual ~AgentCore() = default;

  /// Applies the service's configuration. Until the first call every request is
  /// refused as not run. Ignores a `revision` that is not newer than the
  /// applied one.
  virtual AgentActions OnConfig(absl::Time now,
                                Revision revision,
                                const ServiceConfig& config) = 0;
  /// Handles the removal of the service: the agent takes no new flows, and
  /// bound ones end as in a drain. Ignores a `revision` that is not newer than
  /// the applied one.
  virtual AgentActions OnServiceRemoved(absl::Time now, Revision revision) = 0;
  /// Handles a datagram from an entry or another agent.
  virtual AgentActions OnForward(absl::Time now, const Forward& forward) = 0;
  /// Handles the end of a run. Unknown run numbers are ignored.
  virtual AgentActions OnRunEnded(absl::Time now,
                                  RunId run,
                                  const RunResult& result) = 0;
  /// Call about every kAgentTick. A gap longer than kAgentLease since the
  /// previous event means that the process was suspended and its lease has
  /// lapsed. Every other event checks for such a gap too.
  virtual AgentActions OnTick(absl::Time now) = 0;
  /// Takes the result of the target's health endpoint. A hint that neither
  /// ejects nor restores the target.
  virtual AgentActions OnHealthHint(absl::Time now, bool healthy) = 0;
  /// Applies or withdraws the operator's drain order.
  virtual AgentActions OnDrainOrder(absl::Time now, bool drain) = 0;
  /// Takes `incarnation` because a relay knows a higher one or the process must
  /// take a new one. Ignores one that is not higher than the current.
  virtual AgentActions OnNewIncarnation(absl::Time now,
                                        Incarnation incarnation) = 0;
  /// Starts a drain that emits ShutdownComplete when all work has ended.
  virtual AgentActions BeginShutdown(absl::Time now) = 0;

  virtual AgentStats Stats() const = 0;
  /// Returns up to `limit` open flows: flows with an admitted request first,
  /// each group most recent first.
  virtual std::vector<OpenFlow> Flows(size_t limit) const = 0;
  virtual Incarnation incarnation() const = 0;
  virtual InstanceState state() const = 0;
};

/// Time between two calls of OnTick().
inline constexpr absl::Duration kAgentTick = absl::Milliseconds(50);
/// A longer time without an event means that the process was suspended.
inline constexpr absl::Duration kAgentLease = absl::Seconds(2);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_AGENT_CORE_H_
