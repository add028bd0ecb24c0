#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "driver.h"
#include "skylarkshunt/base/hash.h"
#include "standins/work/work_order.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kInstanceLatency = absl::Microseconds(500);
constexpr absl::Duration kCallerLatency = absl::Milliseconds(3);
/// Drawn part of a latency, as a share of it, so that copies overtake.
constexpr double kLatencyJitter = 0.2;
/// A caller makes a refused request again so often, under a new request id.
constexpr int kMaxResubmissions = 3;
constexpr absl::Duration kShortestPause = absl::Milliseconds(150);
constexpr uint32_t kCallerAddress = 0x0b000000;
constexpr uint16_t kCallerPort = 5000;
constexpr uint16_t kHttpOk = 200;
/// The low bits of an address are the index of an entry, agent or flow.
constexpr uint32_t kIndexMask = 0x00ffffff;

size_t IndexOf(Endpoint endpoint) {
  return endpoint.address & kIndexMask;
}

}  // namespace

void ReplayDriver::Send(absl::Duration latency,
                        const std::function<void()>& deliver) {
  const int copies = Draw() < options_.duplication ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (Draw() >= options_.loss)
      At(latency * (1 + kLatencyJitter * Draw()), deliver);
  }
}

void ReplayDriver::SendFromCaller(size_t flow, const CallerMessage& message) {
  std::vector<size_t> sprayed;
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->sprayed)
      sprayed.push_back(i);
  }
  if (sprayed.empty())
    return;
  const size_t entry = sprayed[random_() % sprayed.size()];
  Send(kCallerLatency,
       [this, entry, flow, message] { DeliverToEntry(entry, flow, message); });
}

void ReplayDriver::DeliverToEntry(size_t entry,
                                  size_t flow,
                                  const CallerMessage& message) {
  if (!entries_[entry]->alive)
    return;
  const Endpoint caller{kCallerAddress + static_cast<uint32_t>(flow),
                        kCallerPort};
  const RouteResult result =
      entries_[entry]->router->OnCallerMessage(now_, caller, message);
  if (const auto* route = std::get_if<RouteToAgent>(&result.action)) {
    const size_t agent = IndexOf(route->agent);
    Send(kInstanceLatency, [this, agent, forward = route->forward] {
      DeliverToAgent(agent, forward);
    });
  } else if (const auto* back = std::get_if<RouteToCaller>(&result.action)) {
    Send(kCallerLatency, [this, flow, answer = back->answer] {
      DeliverToCaller(flow, answer);
    });
  }
}

void ReplayDriver::DeliverReply(size_t entry, const Reply& reply) {
  if (!entries_[entry]->alive)
    return;
  const RouteToCaller route = entries_[entry]->router->OnReply(now_, reply);
  const size_t flow = IndexOf(route.caller);
  Send(kCallerLatency,
       [this, flow, answer = route.answer] { DeliverToCaller(flow, answer); });
}

void ReplayDriver::DeliverToAgent(size_t index, const Forward& forward) {
  Agent& agent = agents_[index];
  if (!agent.alive)
    return;
  if (agent.paused_until > now_) {
    At(agent.paused_until - now_,
       [this, index, forward] { DeliverToAgent(index, forward); });
    return;
  }
  Apply(index, agent.core->OnForward(now_, forward));
}

void ReplayDriver::DeliverToCaller(size_t flow, const Answer& answer) {
  const bool refused =
      answer.outcome == Outcome::kNotRun || answer.outcome == Outcome::kRefused;
  if (refused && flows_[flow].calls.contains(answer.request_id))
    ++record_.refusals[std::string(ReasonName(answer.reason))];
  CallerOutput output;
  flows_[flow].session.OnAnswer(now_, answer, &output);
  OnCallerOutput(flow, output);
}

void ReplayDriver::Apply(size_t index, const AgentActions& actions) {
  for (const AgentAction& action : actions)
    ApplyOne(index, action);
}

void ReplayDriver::ApplyOne(size_t index, const AgentAction& action) {
  Agent& agent = agents_[index];
  if (const auto* reply = std::get_if<SendReply>(&action)) {
    const size_t entry = IndexOf(reply->entry);
    Send(kInstanceLatency,
         [this, entry, r = reply->reply] { DeliverReply(entry, r); });
  } else if (const auto* passed = std::get_if<SendForward>(&action)) {
    const size_t next = IndexOf(passed->agent);
    Send(kInstanceLatency,
         [this, next, f = passed->forward] { DeliverToAgent(next, f); });
  } else if (const auto* start = std::get_if<StartRun>(&action)) {
    StartTargetRun(index, *start);
  } else if (const auto* cancel = std::get_if<CancelRun>(&action)) {
    RunResult cut;
    cut.kind = RunResult::Kind::kTimedOut;
    EndTargetRun(index, cancel->run, cut);
  } else if (const auto* changed = std::get_if<StateChanged>(&action)) {
    agent.record.state = changed->state;
    agent.record.incarnation = changed->incarnation;
    ++agent.record.sequence;
    Publish(agent.record);
  } else if (const auto* decision = std::get_if<AgentDecision>(&action)) {
    if (decision->kind == AgentDecision::Kind::kFlowAccepted &&
        agent.drained_at.has_value()) {
      record_.drain_settle =
          std::max(record_.drain_settle, now_ - *agent.drained_at);
    }
  }
}

// The target runs the request to its end, whatever becomes of the agent.
void ReplayDriver::StartTargetRun(size_t index, const StartRun& start) {
  Agent& agent = agents_[index];
  const WorkOrder order = ParseWorkOrder(start.body).value();
  ++runs_[start.request_id].count;
  agent.runs.insert(start.run);
  agent.served += order.run_time;
  RunResult result;
  result.status = kHttpOk;
  result.body = MakeAnswer(order.request_id, order.answer_bytes);
  At(order.run_time,
     [this, index, generation = agent.generation, run = start.run, result] {
       if (agents_[index].generation == generation)
         EndTargetRun(index, run, result);
     });
}

void ReplayDriver::EndTargetRun(size_t index,
                                RunId run,
                                const RunResult& result) {
  Agent& agent = agents_[index];
  if (agent.paused_until > now_) {
    At(agent.paused_until - now_,
       [this, index, run, result] { EndTargetRun(index, run, result); });
    return;
  }
  if (agent.runs.erase(run) == 0)
    return;
  // Deferred, because a cancellation arrives in the middle of the core's
  // actions.
  At(absl::ZeroDuration(),
     [this, index, generation = agent.generation, run, result] {
       Agent& ended = agents_[index];
       if (ended.generation == generation)
         Apply(index, ended.core->OnRunEnded(now_, run, result));
     });
}

size_t ReplayDriver::FindFlow(const TraceRequest& event) {
  const auto [it, added] = flow_index_.emplace(
      std::make_pair(event.service, event.flow), flows_.size());
  if (!added)
    return it->second;
  CallerSession::Options options;
  options.service = event.service;
  options.flow_id = event.flow;
  options.seed = StableHash(flows_.size(), options_.seed);
  Flow flow{
      CallerSession(options), event.service, 0, absl::InfiniteFuture(), {}};
  for (const TraceLine& line : trace_) {
    const auto* request = std::get_if<TraceRequest>(&line.event);
    if (request != nullptr && request->flow == event.flow &&
        request->service == event.service &&
        options_.without_kinds.count(request->kind) == 0)
      ++flow.left;
  }
  flows_.push_back(std::move(flow));
  return it->second;
}

void ReplayDriver::OnEvent(const TraceRequest& event) {
  if (options_.without_kinds.count(event.kind) != 0)
    return;
  const KindConfig* kind = services_[event.service].config.FindKind(event.kind);
  if (kind == nullptr)
    return;
  RequestRecord request;
  request.kind = event.kind;
  request.phase = record_.spans.empty() ? "" : record_.spans.back().phase;
  request.weight = kind->weight;
  request.idempotent = kind->idempotent;
  request.run_time = event.run_time;
  request.started = now_ - origin_;
  request.deadline = event.deadline;
  record_.requests.push_back(request);
  ++requests_open_;
  Call call;
  call.request = record_.requests.size() - 1;
  call.plan = CallPlan{event.kind, kind->idempotent, event.deadline,
                       event.answer_bytes, event.run_time};
  StartCall(FindFlow(event), call);
}

void ReplayDriver::StartCall(size_t index, const Call& call) {
  Flow& flow = flows_[index];
  CallerOutput output;
  const RequestId id = flow.session.Start(now_, call.plan, &output);
  runs_[id].idempotent = call.plan.idempotent;
  flow.calls.emplace(id, call);
  OnCallerOutput(index, output);
}

void ReplayDriver::OnCallerOutput(size_t index, const CallerOutput& output) {
  for (const CallerMessage& message : output.messages)
    SendFromCaller(index, message);
  for (const FinishedRequest& finished : output.finished)
    OnFinished(index, finished);
  WakeLater(index);
}

void ReplayDriver::WakeLater(size_t index) {
  const absl::Time wake = flows_[index].session.NextWake();
  if (wake >= flows_[index].wake)
    return;
  flows_[index].wake = wake;
  At(wake - now_, [this, index, wake] {
    if (flows_[index].wake != wake)
      return;
    flows_[index].wake = absl::InfiniteFuture();
    CallerOutput output;
    flows_[index].session.OnTime(now_, &output);
    OnCallerOutput(index, output);
  });
}

void ReplayDriver::OnFinished(size_t index, const FinishedRequest& finished) {
  Flow& flow = flows_[index];
  const auto found = flow.calls.find(finished.id);
  const Call call = found->second;
  flow.calls.erase(found);
  Runs& runs = runs_[finished.id];
  runs.said_not_run = finished.end == CallEnd::kNotRun;
  RequestRecord& request = record_.requests[call.request];
  const bool ok = finished.end == CallEnd::kOk;
  record_.acknowledged_unrun += ok && runs.count == 0 ? 1 : 0;
  record_.wrong_answers += finished.end == CallEnd::kWrongAnswer ? 1 : 0;
  if (IsRefusal(finished.end) && Resubmit(index, call, finished))
    return;
  request.ended = true;
  request.ended_at = now_ - origin_;
  request.ok = ok;
  request.no_word = finished.missing;
  --requests_open_;
  if (--flow.left > 0)
    return;
  CallerOutput output;
  flow.session.Close(&output);
  OnCallerOutput(index, output);
}

bool ReplayDriver::Resubmit(size_t index,
                            const Call& call,
                            const FinishedRequest& finished) {
  RequestRecord& request = record_.requests[call.request];
  const absl::Duration pause =
      std::max(kShortestPause, absl::Milliseconds(finished.retry_after_ms));
  const absl::Duration left =
      request.started + request.deadline - (now_ - origin_) - pause;
  if (request.resubmissions >= kMaxResubmissions ||
      left < absl::Milliseconds(1))
    return false;
  ++request.resubmissions;
  Call again = call;
  again.plan.deadline = left;
  At(pause, [this, index, again] { StartCall(index, again); });
  return true;
}

}  // namespace skylarkshunt
