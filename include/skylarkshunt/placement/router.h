#ifndef SKYLARKSHUNT_PLACEMENT_ROUTER_H_
#define SKYLARKSHUNT_PLACEMENT_ROUTER_H_

#include <cstdint>
#include <memory>
#include <random>
#include <variant>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/link/messages.h"
#include "skylarkshunt/placement/policy.h"
#include "skylarkshunt/placement/routing_snapshot.h"

namespace skylarkshunt {

/// Sends a message to the agent at `agent`.
struct RouteToAgent {
  Endpoint agent;
  Forward forward;
};
/// Answers the caller at `caller`.
struct RouteToCaller {
  Endpoint caller;
  Answer answer;
};
/// Drops a message that has no answer, such as a Done for an unknown service.
struct RouteNowhere {};

using RouteAction = std::variant<RouteToAgent, RouteToCaller, RouteNowhere>;

/// How a caller's message was routed.
enum class RouteKind {
  kBound,         ///< To the target that its binding names.
  kOpening,       ///< A new flow, along the candidate list.
  kUnbound,       ///< An established flow without a binding, along the list.
  kUnknownBound,  ///< Idempotent, bound to a target unknown to this entry.
  kMoved,         ///< A retransmission that leaves an unresponsive target.
  kRefused,       ///< Not routed; answered by the entry when unbound.
  /// Ignored; the caller's retransmission can reach an entry that knows the
  /// service and the target.
  kDropped,
};

/// One routing decision, for the log and the counters.
struct RouteDecision {
  RouteKind kind = RouteKind::kRefused;
  FlowKey flow{};
  RequestId request_id;
  InstanceUid target{};
  Reason reason = Reason::kNone;
};

/// A routing action and the decision that led to it.
struct RouteResult {
  RouteAction action;
  RouteDecision decision;
};

/// Makes the routing decisions of an entry. Holds no flow state; its load
/// reports are only hints. Not thread-safe; owned by the data thread.
class Router {
 public:
  struct Options {
    /// The entry's endpoint to which agents send replies.
    Endpoint entry;
    Incarnation incarnation{};
    PlacementPolicy policy = PlacementPolicy::kHunting;
    /// Seed of the random baseline.
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument for a zero incarnation.
  static Result<std::unique_ptr<Router>> Create(const Options& options);

  /// Routes all later messages by `snapshot`. Precondition: not null.
  void UseSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);

  /// Decides how to route one message from the caller at `caller`.
  RouteResult OnCallerMessage(absl::Time now,
                              Endpoint caller,
                              CallerMessage message);

  /// Records the load that an agent reports in `reply`, and returns the answer
  /// to send to the caller.
  RouteToCaller OnReply(absl::Time now, Reply reply);

 private:
  /// Load in thousandths of the slots, and its time of arrival.
  struct LoadReport {
    uint16_t load = 0;
    absl::Time at;
  };

  struct Refusal {
    Reason reason = Reason::kNone;
    /// Whether the request is known to be idempotent.
    bool idempotent = false;
  };

  explicit Router(const Options& options);

  RouteResult Refuse(Endpoint caller,
                     const Request& request,
                     FlowKey flow,
                     Refusal refusal) const;
  RouteResult RouteRequest(absl::Time now, Endpoint caller, Request request);
  RouteResult RouteFollowUp(Endpoint caller, CallerMessage message);
  RouteResult NewRoute(const RoutedService& service,
                       FlowKey flow,
                       Endpoint caller,
                       CallerMessage message) const;
  void RouteBoundRequest(const RoutedService& service,
                         RouteResult& result) const;
  void RouteBound(const RoutedService& service,
                  const RoutedTarget& target,
                  RouteResult& result) const;
  void SendAlongList(RouteKind kind, RouteResult& result) const;
  void OrderForOpening(absl::Time now,
                       const RoutedService& service,
                       const Request& request,
                       Forward& forward);
  void UseOnly(const Candidate& chosen, Forward& forward) const;
  void PreferLowerLoad(absl::Time now, CandidateList& list) const;
  const LoadReport* FreshLoad(absl::Time now, InstanceUid uid) const;

  const Options options_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  absl::flat_hash_map<InstanceUid, LoadReport> loads_;
  /// For the baselines only.
  std::mt19937_64 random_;
  uint64_t round_robin_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PLACEMENT_ROUTER_H_
