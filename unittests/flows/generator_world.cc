#include "flows/generator_world.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "flows/agent_test_support.h"
#include "flows/answer_store.h"

namespace skylarkshunt {
namespace {

constexpr size_t kAgents = 3;
constexpr uint64_t kCalls = 150;
constexpr uint64_t kFlows = 20;
constexpr absl::Time kStart = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration kSimulatedTime = absl::Seconds(2400);
/// Calls arrive in waves, which fill the queues.
constexpr uint64_t kWaves = 6;
constexpr absl::Duration kLateCopy = absl::Seconds(3);

std::string AnswerBody(uint64_t id) {
  const std::string pattern = absl::StrCat("<", id, ">");
  std::string body;
  const size_t size = id % 5 == 0 ? 0 : (id % 7) * 3'000 + id;
  while (body.size() < size)
    body += pattern;
  body.resize(size);
  return body;
}

}  // namespace

AgentSimulation::AgentSimulation(uint64_t seed) : random_(seed), now_(kStart) {
  if (Chance(0.3))
    limits_.ledger_entries = 2 + Draw(10);
  if (Chance(0.3))
    limits_.answer_bytes = 40'000;
  agents_.resize(kAgents);
  for (Agent& agent : agents_)
    agent.clock_offset = DrawMs(0, 60'000) - absl::Seconds(30);
}

std::string AgentSimulation::Run() {
  for (size_t index = 0; index < kAgents; ++index)
    Restart(index);
  for (uint64_t i = 0; i < kCalls; ++i) {
    const absl::Duration wave = kSimulatedTime / 2 * Draw(kWaves) / kWaves;
    At(wave + DrawMs(0, 1'000), [this] { NewCall(); });
  }
  ScheduleFaults();
  At(absl::ZeroDuration(), [this] { TickAll(); });
  while (!events_.empty() && failure_.empty()) {
    const auto first = events_.begin();
    now_ = first->first;
    const std::function<void()> event = std::move(first->second);
    events_.erase(first);
    event();
  }
  return failure_;
}

void AgentSimulation::ScheduleFaults() {
  for (size_t i = 0; i < 4 * kWaves; ++i) {
    const absl::Duration wave = kSimulatedTime / 2 * Draw(kWaves) / kWaves;
    const size_t index = Draw(kAgents);
    At(wave + DrawMs(0, 3'000), [this, index] { InjectFault(index); });
  }
}

void AgentSimulation::InjectFault(size_t index) {
  Agent& agent = agents_[index];
  if (agent.paused_until > now_)
    return;
  const absl::Time clock = Clock(index);
  switch (Draw(6)) {
    case 0:
      ++counts_.restarts;
      return Restart(index);
    case 1:
    case 2:
      ++counts_.pauses;
      agent.paused_until =
          now_ + (Chance(0.8) ? DrawMs(500, 6'000) : DrawMs(6'000, 800'000));
      return;
    case 3:
      return Apply(index, agent.core->OnDrainOrder(clock, Chance(0.5)));
    case 4:
      return Apply(
          index,
          agent.core->OnNewIncarnation(
              clock, Incarnation{ToNumber(agent.core->incarnation()) + 1}));
    default:
      return Apply(index, agent.core->BeginShutdown(clock));
  }
}

// Starts a new process at the same address, without the state of the former
// one.
void AgentSimulation::Restart(size_t index) {
  Agent& agent = agents_[index];
  AgentCore::Options options;
  options.uid = TestCandidate(index).uid;
  options.service = kTestService;
  options.random_seed = Draw(UINT64_MAX);
  auto number = static_cast<uint64_t>(absl::ToUnixMillis(now_));
  if (agent.core != nullptr) {
    agent.former = agent.core->incarnation();
    number = std::max(number, ToNumber(agent.former) + 1);
  }
  options.incarnation = Incarnation{number};
  ++agent.generation;
  agent.core = std::move(CreateAgentCore(options, limits_).value());
  agent.announced = options.incarnation;
  agent.last_event = now_;
  ServiceConfig config = TestConfig();
  config.connections = 15;
  config.drain_limit = absl::Seconds(5);
  Apply(index, agent.core->OnConfig(Clock(index), Revision{5}, config));
}

void AgentSimulation::TickAll() {
  for (size_t index = 0; index < kAgents; ++index) {
    if (agents_[index].paused_until <= now_)
      Apply(index, agents_[index].core->OnTick(Clock(index)));
  }
  if (now_ < kStart + kSimulatedTime)
    At(DrawMs(200, 1'500), [this] { TickAll(); });
}

void AgentSimulation::NewCall() {
  const uint64_t id = calls_.size() + 1;
  Call& call = calls_[id];
  const uint64_t kind = Draw(10);
  call.idempotent = kind >= 7;
  call.request =
      MakeRequest(id, kind < 7 ? kReport : (kind < 9 ? kPull : kArchive));
  call.request.flow_id = Draw(kFlows);
  call.request.deadline_ms = static_cast<uint32_t>(300 + Draw(8'000));
  const auto held = flow_bindings_.find(call.request.flow_id);
  if (held != flow_bindings_.end() && Chance(0.7))
    call.request.binding = held->second;
  call.request.opening = held == flow_bindings_.end() || Chance(0.3);
  Transmit(id);
}

void AgentSimulation::Transmit(uint64_t id) {
  Call& call = calls_.at(id);
  if (call.settled || call.request.attempt > 8)
    return;
  const Forward forward = Route(call.request, call.request.binding);
  const size_t index = ToNumber(forward.candidates[forward.position].uid) - 1;
  SendCopies([this, index, forward] { Deliver(index, forward); });
  ++call.request.attempt;
  At(DrawMs(50, 1'500), [this, id] { Transmit(id); });
}

void AgentSimulation::OnAnswer(const Answer& answer) {
  Call& call = calls_.at(answer.request_id.low);
  const uint64_t flow = call.request.flow_id;
  if (answer.binding.has_value())
    flow_bindings_[flow] = *answer.binding;
  if (call.settled)
    return;
  if (answer.outcome == Outcome::kBind) {
    // A request keeps its first binding.
    if (!call.request.binding.has_value()) {
      call.request.binding = answer.binding;
      Transmit(answer.request_id.low);
    }
    return;
  }
  call.settled = true;
  if (answer.outcome == Outcome::kNotRun ||
      answer.outcome == Outcome::kRefused) {
    flow_bindings_.erase(flow);
  }
  if (answer.outcome != Outcome::kOk)
    return;
  CallerMessage next;
  if (Chance(0.5)) {
    next = Done{kTestServiceName, flow, answer.request_id, answer.binding};
  } else if (Chance(0.5)) {
    next = Fetch{kTestServiceName,
                 flow,
                 answer.request_id,
                 call.request.binding,
                 static_cast<uint32_t>(Draw(answer.chunk_count)),
                 4};
  } else {
    next = Close{kTestServiceName, flow, answer.binding};
  }
  const Forward forward = Route(next, call.request.binding);
  const size_t index = ToNumber(forward.candidates[forward.position].uid) - 1;
  SendCopies([this, index, forward] { Deliver(index, forward); });
}

void AgentSimulation::At(absl::Duration delay, std::function<void()> event) {
  events_.emplace(now_ + delay, std::move(event));
}

void AgentSimulation::SendCopies(const std::function<void()>& deliver) {
  const int copies = Chance(0.2) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    absl::Duration delay = DrawMs(1, 20);
    if (Chance(0.2))
      delay = DrawMs(20, 3'000);
    if (Chance(0.05))
      delay = DrawMs(3'000, 1'300'000);
    counts_.late_copies += delay > kLateCopy ? 1 : 0;
    if (!Chance(0.03))
      At(delay, deliver);
  }
}

// Each message passes an entry with a different view of the agents: any order,
// some agents missing, some incarnations out of date.
Forward AgentSimulation::Route(const CallerMessage& message,
                               const absl::optional<Binding>& binding) {
  Forward forward;
  forward.service = kTestService;
  forward.message = message;
  std::vector<size_t> order = {0, 1, 2};
  std::shuffle(order.begin(), order.end(), random_);
  order.resize(1 + Draw(kAgents));
  for (const size_t index : order) {
    Candidate candidate = TestCandidate(index);
    candidate.incarnation = agents_[index].core->incarnation();
    if (Chance(0.1))
      candidate.incarnation = agents_[index].former;
    if (binding.has_value() && binding->target_uid == candidate.uid &&
        Chance(0.9)) {
      forward.position = static_cast<uint8_t>(forward.candidates.size());
    }
    forward.candidates.push_back(candidate);
  }
  return forward;
}

void AgentSimulation::Deliver(size_t index, const Forward& forward) {
  const Agent& agent = agents_[index];
  if (agent.paused_until > now_) {
    At(agent.paused_until - now_,
       [this, index, forward] { Deliver(index, forward); });
    return;
  }
  Apply(index, agent.core->OnForward(Clock(index), forward));
}

void AgentSimulation::Apply(size_t index, const AgentActions& actions) {
  CheckPause(index, actions);
  for (const AgentAction& action : actions) {
    if (const auto* start = std::get_if<StartRun>(&action))
      OnStart(index, *start);
    if (const auto* reply = std::get_if<SendReply>(&action))
      OnReply(reply->reply);
    if (const auto* forwarded = std::get_if<SendForward>(&action)) {
      const size_t next = forwarded->agent.port - size_t{1};
      const Forward forward = forwarded->forward;
      SendCopies([this, next, forward] { Deliver(next, forward); });
    }
    if (const auto* decision = std::get_if<AgentDecision>(&action))
      OnDecision(index, *decision);
    if (const auto* changed = std::get_if<StateChanged>(&action))
      agents_[index].announced = changed->incarnation;
  }
  if (!Select<ShutdownComplete>(actions).empty())
    At(absl::Seconds(1), [this, index] { Restart(index); });
}

void AgentSimulation::CheckPause(size_t index, const AgentActions& actions) {
  Agent& agent = agents_[index];
  const absl::Duration gap = now_ - agent.last_event;
  agent.last_event = now_;
  if (gap <= kAgentLease)
    return;
  const auto* changed =
      actions.empty() ? nullptr : std::get_if<StateChanged>(&actions.front());
  if (changed == nullptr || changed->incarnation <= agent.announced)
    Fail("was handled before a pause was announced", 0);
}

void AgentSimulation::OnDecision(size_t index, const AgentDecision& decision) {
  using Kind = AgentDecision::Kind;
  if (decision.kind == Kind::kRequestQueued) {
    calls_.at(decision.request_id.low).queued_under = agents_[index].announced;
  }
  if (decision.kind == Kind::kTransferred)
    ++counts_.transferred;
  if (decision.kind == Kind::kBindingsRevoked &&
      decision.reason == Reason::kLedgerFull) {
    ++counts_.full_ledgers;
  }
}

void AgentSimulation::OnStart(size_t index, const StartRun& start) {
  const uint64_t id = start.request_id.low;
  Call& call = calls_.at(id);
  ++call.runs;
  if (!call.idempotent && call.queued_under != agents_[index].announced)
    Fail("was queued before a pause and ran after it", id);
  if (!call.idempotent && call.runs > 1)
    Fail("ran twice", id);
  if (call.refused)
    Fail("ran after it was refused as not run", id);
  const uint64_t generation = agents_[index].generation;
  At(DrawMs(10, 1'500),
     [this, index, generation, start] { EndRun(index, generation, start); });
}

void AgentSimulation::EndRun(size_t index,
                             uint64_t generation,
                             const StartRun& start) {
  Agent& agent = agents_[index];
  // The run belongs to a process that has exited.
  if (agent.generation != generation)
    return;
  if (agent.paused_until > now_) {
    At(agent.paused_until - now_,
       [this, index, generation, start] { EndRun(index, generation, start); });
    return;
  }
  const uint64_t id = start.request_id.low;
  RunResult result;
  result.status = Chance(0.05) ? 500 : 200;
  result.body = AnswerBody(id);
  if (Chance(0.05))
    result.kind = RunResult::Kind::kConnectionLost;
  else if (Chance(0.05))
    result.kind = RunResult::Kind::kNotSent;
  else if (Chance(0.05))
    result.shed_unrun = true;
  // The target did not run it, so another one may.
  if (result.kind == RunResult::Kind::kNotSent || result.shed_unrun)
    --calls_.at(id).runs;
  Apply(index, agent.core->OnRunEnded(Clock(index), start.run, result));
}

void AgentSimulation::OnReply(const Reply& reply) {
  const Answer& answer = reply.answer;
  const uint64_t id = answer.request_id.low;
  Call& call = calls_.at(id);
  if (answer.outcome == Outcome::kNotRun) {
    ++counts_.refused;
    call.refused = true;
    if (call.runs > 0)
      Fail("refused as not run after it ran", id);
  }
  counts_.unknown += answer.outcome == Outcome::kOutcomeUnknown ? 1 : 0;
  if (answer.outcome == Outcome::kOk) {
    ++counts_.answered;
    const std::string body = AnswerBody(id);
    const uint32_t chunks = ChunkCount(body.size());
    if (answer.total_bytes != body.size() || answer.chunk_count != chunks ||
        answer.chunk_index >= chunks ||
        answer.body !=
            body.substr(answer.chunk_index * kChunkBytes, kChunkBytes)) {
      Fail("got an answer that is not its own", id);
    }
  }
  SendCopies([this, answer] { OnAnswer(answer); });
}

absl::Time AgentSimulation::Clock(size_t index) const {
  return now_ + agents_[index].clock_offset;
}

bool AgentSimulation::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

uint64_t AgentSimulation::Draw(uint64_t below) {
  return std::uniform_int_distribution<uint64_t>(0, below - 1)(random_);
}

absl::Duration AgentSimulation::DrawMs(uint64_t from, uint64_t to) {
  return absl::Milliseconds(from + Draw(to - from));
}

void AgentSimulation::Fail(const std::string& what, uint64_t id) {
  if (failure_.empty())
    failure_ = absl::StrCat("request ", id, " ", what, " at ",
                            absl::FormatDuration(now_ - kStart));
}

}  // namespace skylarkshunt
