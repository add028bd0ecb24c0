#include "skylarkshunt/placement/router.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace skylarkshunt {
namespace {

/// Load reports beyond this age are ignored as stale.
constexpr absl::Duration kMaxLoadAge = absl::Milliseconds(250);
/// Maximum number of load reports. When it is reached, all are dropped: they
/// are only hints, and the next replies renew them.
constexpr size_t kMaxLoadReports = 8192;
/// From this attempt on, an idempotent request leaves a bound target that has
/// not answered.
constexpr uint32_t kMoveAtAttempt = 4;
/// The bound target and two others to which it may transfer.
constexpr size_t kBoundListSize = 3;

/// Precondition: the action is still the one of NewRoute().
Forward& ForwardOf(RouteResult& result) {
  return std::get<RouteToAgent>(result.action).forward;
}

/// Drops a message that this entry does not know enough to route.
RouteResult Drop(RequestId request_id, Reason reason) {
  RouteResult result;
  result.action = RouteNowhere{};
  result.decision =
      RouteDecision{RouteKind::kDropped, FlowKey{}, request_id, {}, reason};
  return result;
}

absl::string_view ServiceName(const CallerMessage& message) {
  return std::visit([](const auto& m) { return absl::string_view(m.service); },
                    message);
}

uint64_t FlowId(const CallerMessage& message) {
  return std::visit([](const auto& m) { return m.flow_id; }, message);
}

const absl::optional<Binding>& BindingOf(const CallerMessage& message) {
  return std::visit(
      [](const auto& m) -> const absl::optional<Binding>& { return m.binding; },
      message);
}

RequestId RequestIdOf(const CallerMessage& message) {
  return std::visit(
      [](const auto& m) {
        if constexpr (std::is_same_v<std::decay_t<decltype(m)>, Close>)
          return RequestId();
        else
          return m.request_id;
      },
      message);
}

bool IsIdempotent(const RoutedService& service, const Request& request) {
  const KindConfig* kind = service.config.FindKind(request.kind);
  return kind != nullptr && kind->idempotent;
}

/// Whether a retransmission goes to another target than the bound one. Only an
/// idempotent request may, because it can run at both targets.
bool ShouldMove(const RoutedService& service,
                const RoutedTarget& target,
                const Request& request) {
  const bool unresponsive =
      target.state == InstanceState::kDown || request.attempt >= kMoveAtAttempt;
  return unresponsive && IsIdempotent(service, request);
}

/// Removes `target` from `list` unless it is the only candidate. Agents forward
/// a bound request to its target wherever the list names it, and the table of
/// the previous generation still contains a target that is down.
void RemoveCandidate(InstanceUid target, CandidateList& list) {
  const auto found =
      std::find_if(list.begin(), list.end(),
                   [&](const Candidate& c) { return c.uid == target; });
  if (list.size() > 1 && found != list.end())
    list.erase(found);
}

}  // namespace

Result<std::unique_ptr<Router>> Router::Create(const Options& options) {
  if (options.incarnation == Incarnation{}) {
    return MakeError(ErrorKind::kInvalidArgument, "incarnation 0",
                     "pass the time of the start in milliseconds");
  }
  return std::unique_ptr<Router>(new Router(options));
}

Router::Router(const Options& options)
    : options_(options),
      snapshot_(RoutingSnapshot::Build("", {}, {}, nullptr)),
      random_(options.random_seed) {}

void Router::UseSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
  assert(snapshot != nullptr && "a router always has a snapshot");
  snapshot_ = std::move(snapshot);
}

/// Answers a request that no target can take. A bound non-idempotent request
/// gets no answer: it may have run at its target, which this entry cannot
/// query. The caller's retransmission reaches that target through another
/// entry.
RouteResult Router::Refuse(Endpoint caller,
                           const Request& request,
                           FlowKey flow,
                           Refusal refusal) const {
  RouteResult result;
  result.decision = RouteDecision{
      RouteKind::kRefused, flow, request.request_id, {}, refusal.reason};
  Answer answer;
  answer.request_id = request.request_id;
  answer.reason = refusal.reason;
  const bool bound = request.binding.has_value();
  if (bound && IsRefusalBinding(*request.binding)) {
    answer.outcome = Outcome::kNotRun;
  } else if (refusal.idempotent) {
    answer.outcome = Outcome::kRefused;
  } else if (bound) {
    result.action = RouteNowhere{};
    return result;
  } else {
    answer.outcome = Outcome::kBind;
    answer.binding = MakeRefusalBinding(MakeEntryUid(options_.entry.ToString()),
                                        options_.incarnation);
  }
  result.action = RouteToCaller{caller, std::move(answer)};
  return result;
}

RouteResult Router::OnCallerMessage(absl::Time now,
                                    Endpoint caller,
                                    CallerMessage message) {
  if (std::holds_alternative<Request>(message))
    return RouteRequest(now, caller, std::get<Request>(std::move(message)));
  return RouteFollowUp(caller, std::move(message));
}

RouteResult Router::RouteRequest(absl::Time now,
                                 Endpoint caller,
                                 Request request) {
  // An entry that has just started has no services or targets yet; the
  // retransmission reaches another entry.
  if (snapshot_->service_count() == 0 || snapshot_->target_count() == 0)
    return Drop(request.request_id, Reason::kNoTarget);
  const RoutedService* service = snapshot_->FindService(request.service);
  if (service == nullptr)
    return Refuse(caller, request, FlowKey{},
                  {Reason::kUnknownService, /*idempotent=*/false});
  const FlowKey flow = MakeFlowKey(service->config.uid, request.flow_id);
  if (request.binding.has_value() && IsRefusalBinding(*request.binding))
    return Refuse(caller, request, flow, {Reason::kNoTarget, false});
  RouteResult result =
      NewRoute(*service, flow, caller, CallerMessage(std::move(request)));
  Forward& forward = ForwardOf(result);
  const Request& sent = std::get<Request>(forward.message);
  if (sent.binding.has_value()) {
    RouteBoundRequest(*service, result);
    return result;
  }
  // Only an established flow can be held by an agent of the previous
  // generation.
  if (sent.opening)
    service->table->AppendCandidates(flow, kMaxCurrentCandidates,
                                     forward.candidates);
  else
    forward.candidates = service->table->Candidates(flow);
  if (forward.candidates.empty())
    return Refuse(caller, sent, flow,
                  {Reason::kNoTarget, IsIdempotent(*service, sent)});
  if (sent.opening)
    OrderForOpening(now, *service, sent, forward);
  SendAlongList(sent.opening ? RouteKind::kOpening : RouteKind::kUnbound,
                result);
  return result;
}

void Router::RouteBoundRequest(const RoutedService& service,
                               RouteResult& result) const {
  Forward& forward = ForwardOf(result);
  const Request& request = std::get<Request>(forward.message);
  const FlowKey flow = result.decision.flow;
  const RoutedTarget* target =
      snapshot_->FindTarget(request.binding->target_uid);
  if (target != nullptr && !ShouldMove(service, *target, request))
    return RouteBound(service, *target, result);
  // Only the bound target knows whether a non-idempotent request ran.
  if (!IsIdempotent(service, request)) {
    result =
        Refuse(forward.caller, request, flow, {Reason::kWrongInstance, false});
    return;
  }
  forward.candidates = service.table->Candidates(flow);
  if (forward.candidates.empty()) {
    result = Refuse(forward.caller, request, flow, {Reason::kNoTarget, true});
    return;
  }
  if (target == nullptr)
    return SendAlongList(RouteKind::kUnknownBound, result);
  RemoveCandidate(request.binding->target_uid, forward.candidates);
  SendAlongList(RouteKind::kMoved, result);
}

RouteResult Router::RouteFollowUp(Endpoint caller, CallerMessage message) {
  const RoutedService* service = snapshot_->FindService(ServiceName(message));
  if (service == nullptr)
    return Drop(RequestIdOf(message), Reason::kUnknownService);
  const FlowKey flow = MakeFlowKey(service->config.uid, FlowId(message));
  RouteResult result = NewRoute(*service, flow, caller, std::move(message));
  Forward& forward = ForwardOf(result);
  const absl::optional<Binding>& binding = BindingOf(forward.message);
  if (!binding.has_value()) {
    forward.candidates = service->table->Candidates(flow);
    if (forward.candidates.empty())
      return Drop(RequestIdOf(forward.message), Reason::kNoTarget);
    SendAlongList(RouteKind::kUnbound, result);
    return result;
  }
  const RoutedTarget* target = snapshot_->FindTarget(binding->target_uid);
  if (target == nullptr)
    return Drop(RequestIdOf(forward.message), Reason::kWrongInstance);
  RouteBound(*service, *target, result);
  return result;
}

void Router::RouteBound(const RoutedService& service,
                        const RoutedTarget& target,
                        RouteResult& result) const {
  // The further candidates let the bound agent transfer requests that it has
  // not started.
  CandidateList& list = ForwardOf(result).candidates;
  list.push_back(target.candidate);
  service.table->AppendCandidates(result.decision.flow, kBoundListSize, list);
  SendAlongList(RouteKind::kBound, result);
}

void Router::SendAlongList(RouteKind kind, RouteResult& result) const {
  auto& route = std::get<RouteToAgent>(result.action);
  assert(!route.forward.candidates.empty() && "a forward needs a receiver");
  const Candidate& first = route.forward.candidates.front();
  route.agent = first.data;
  result.decision.kind = kind;
  result.decision.target = first.uid;
}

RouteResult Router::NewRoute(const RoutedService& service,
                             FlowKey flow,
                             Endpoint caller,
                             CallerMessage message) const {
  RouteResult result;
  result.decision.flow = flow;
  result.decision.request_id = RequestIdOf(message);
  Forward& forward = ForwardOf(result);
  forward.sender = options_.incarnation;
  forward.service = service.config.uid;
  forward.revision = service.revision;
  forward.caller = caller;
  forward.entry = options_.entry;
  forward.message = std::move(message);
  return result;
}

void Router::OrderForOpening(absl::Time now,
                             const RoutedService& service,
                             const Request& request,
                             Forward& forward) {
  CandidateList& list = forward.candidates;
  const absl::Span<const Candidate> targets = service.table->targets();
  switch (options_.policy) {
    case PlacementPolicy::kHunting: {
      // A retransmission starts at the next candidate, so an unresponsive
      // target does not block the flow.
      const size_t shift = (request.attempt - 1) % list.size();
      std::rotate(list.begin(), list.begin() + shift, list.end());
      if (shift == 0)
        PreferLowerLoad(now, list);
      return;
    }
    case PlacementPolicy::kHash:
      return UseOnly(Candidate(list.front()), forward);
    case PlacementPolicy::kRandom:
      return UseOnly(targets[random_() % targets.size()], forward);
    case PlacementPolicy::kRoundRobin:
      return UseOnly(targets[round_robin_++ % targets.size()], forward);
  }
}

void Router::UseOnly(const Candidate& chosen, Forward& forward) const {
  forward.candidates.assign(1, chosen);
  forward.final_hop = true;
}

void Router::PreferLowerLoad(absl::Time now, CandidateList& list) const {
  if (list.size() < 2)
    return;
  const LoadReport* first = FreshLoad(now, list[0].uid);
  const LoadReport* second = FreshLoad(now, list[1].uid);
  if (first != nullptr && second != nullptr && second->load < first->load)
    std::swap(list[0], list[1]);
}

const Router::LoadReport* Router::FreshLoad(absl::Time now,
                                            InstanceUid uid) const {
  auto found = loads_.find(uid);
  if (found == loads_.end() || now - found->second.at > kMaxLoadAge)
    return nullptr;
  return &found->second;
}

RouteToCaller Router::OnReply(absl::Time now, Reply reply) {
  if (loads_.size() >= kMaxLoadReports && !loads_.contains(reply.sender_uid))
    loads_.clear();
  loads_[reply.sender_uid] = LoadReport{reply.load, now};
  return RouteToCaller{reply.caller, std::move(reply.answer)};
}

}  // namespace skylarkshunt
