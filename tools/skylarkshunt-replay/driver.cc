#include "driver.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr absl::Time kStart = absl::FromUnixSeconds(1'000'000);
/// Time for cold targets to open all slots before the trace begins.
constexpr absl::Duration kWarmUp = absl::Seconds(5);
/// Until the relays publish a silent agent as down.
constexpr absl::Duration kDetection = absl::Milliseconds(3500);
/// Late copies are still looked at for so long after the last answer.
constexpr absl::Duration kEpilogue = absl::Seconds(2);
constexpr uint32_t kAgentAddress = 0x0c000000;
constexpr uint16_t kPort = 7000;

}  // namespace

Result<RunRecord> ReplayTrace(const Trace& trace,
                              const ReplayOptions& options) {
  return ReplayDriver(trace, options).Run();
}

ReplayDriver::ReplayDriver(const Trace& trace, const ReplayOptions& options)
    : trace_(trace),
      options_(options),
      random_(options.seed),
      now_(kStart),
      origin_(kStart + kWarmUp) {}

Result<RunRecord> ReplayDriver::Run() {
  for (size_t i = 0; i < options_.entries; ++i)
    AddEntry();
  lines_left_ = trace_.size();
  for (size_t i = 0; i < trace_.size(); ++i) {
    // The services exist before the trace begins.
    const bool setup =
        trace_[i].at == absl::ZeroDuration() &&
        std::holds_alternative<TraceConfiguration>(trace_[i].event);
    At(setup ? absl::ZeroDuration() : kWarmUp + trace_[i].at,
       [this, i] { OnLine(i); });
  }
  At(absl::ZeroDuration(), [this] { TickAgents(); });
  absl::Time last_open = now_;
  while (!events_.empty() && problem_.empty()) {
    const auto first = events_.begin();
    now_ = first->first;
    const std::function<void()> event = std::move(first->second);
    events_.erase(first);
    event();
    if (lines_left_ > 0 || requests_open_ > 0)
      last_open = now_;
    if (now_ > last_open + kEpilogue)
      break;
  }
  if (!problem_.empty())
    return MakeError(ErrorKind::kInvalidArgument, problem_,
                     "correct the trace or raise --entries");
  CountOutcome();
  return std::move(record_);
}

void ReplayDriver::CountOutcome() {
  record_.flows = flows_.size();
  for (const Flow& flow : flows_)
    record_.broken_flows += flow.session.broken() ? 1 : 0;
  for (const auto& [id, runs] : runs_) {
    record_.doubled += !runs.idempotent && runs.count > 1 ? 1 : 0;
    record_.falsely_refused += runs.said_not_run && runs.count > 0 ? 1 : 0;
  }
  for (const Agent& agent : agents_) {
    if (agent.undisturbed)
      record_.target_seconds.push_back(absl::ToDoubleSeconds(agent.served));
  }
  if (!record_.spans.empty())
    record_.spans.back().to = trace_.back().at;
}

void ReplayDriver::At(absl::Duration delay, std::function<void()> event) {
  events_.emplace(now_ + delay, std::move(event));
}

double ReplayDriver::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void ReplayDriver::OnLine(size_t index) {
  --lines_left_;
  std::visit([this](const auto& event) { OnEvent(event); },
             trace_[index].event);
  if (options_.progress)
    options_.progress(static_cast<double>(index + 1) /
                      static_cast<double>(trace_.size()));
}

void ReplayDriver::OnEvent(const TracePhase& event) {
  const absl::Duration at = now_ - origin_;
  if (!record_.spans.empty())
    record_.spans.back().to = at;
  record_.spans.push_back({event.name, at, at});
}

void ReplayDriver::OnEvent(const TraceConfiguration& event) {
  Service& service = services_[event.config.name];
  service.config = event.config;
  service.revision = Revision{++revision_};
  const std::string& name = event.config.name;
  Publish(ConfigRecord{absl::StrCat("services/", name), service.revision, false,
                       WriteServiceConfig(service.config)});
  for (size_t index : service.agents) {
    At(ControlDelay(), [this, index] {
      const Service& s = services_[agents_[index].service];
      if (agents_[index].alive)
        Apply(index, agents_[index].core->OnConfig(now_, s.revision, s.config));
    });
  }
  for (size_t i = 0; i < event.targets; ++i)
    AddAgent(name, i);
}

void ReplayDriver::AddAgent(const std::string& service, size_t number) {
  const ServiceConfig& config = services_[service].config;
  const size_t index = agents_.size();
  Agent agent;
  agent.service = service;
  agent.record.uid =
      MakeTargetUid(config.uid, absl::StrCat("10.1.0.", number, ":8080"));
  agent.record.service = config.uid;
  agent.record.region = std::string(kReplayRegion);
  agent.record.data =
      Endpoint{kAgentAddress + static_cast<uint32_t>(index), kPort};
  agent.record.slots = config.slots;
  agents_.push_back(std::move(agent));
  services_[service].agents.push_back(index);
  StartAgent(index);
}

void ReplayDriver::StartAgent(size_t index) {
  Agent& agent = agents_[index];
  const Service& service = services_[agent.service];
  AgentCore::Options options;
  options.uid = agent.record.uid;
  options.incarnation =
      Incarnation{std::max(static_cast<uint64_t>(absl::ToUnixMillis(now_)),
                           ToNumber(agent.record.incarnation) + 1)};
  options.service = service.config.uid;
  options.policy = options_.side.agent;
  options.random_seed = random_();
  agent.core = std::move(AgentCore::Create(options).value());
  agent.alive = true;
  agent.record.incarnation = options.incarnation;
  agent.record.sequence = 1;
  agent.record.state = InstanceState::kServing;
  Apply(index, agent.core->OnConfig(now_, service.revision, service.config));
  Publish(agent.record);
}

void ReplayDriver::OnEvent(const TraceAgentEvent& event) {
  const size_t index = services_[event.service].agents[event.target];
  Agent& agent = agents_[index];
  agent.undisturbed = false;
  if (event.kind == TraceAgentEvent::Kind::kKill)
    return KillAgent(index, event.length);
  if (event.kind == TraceAgentEvent::Kind::kPause)
    return PauseAgent(index, event.length);
  const bool drain = event.kind == TraceAgentEvent::Kind::kDrain;
  agent.drained_at.reset();
  if (drain)
    agent.drained_at = now_;
  At(ControlDelay(), [this, index, drain] {
    if (agents_[index].alive)
      Apply(index, agents_[index].core->OnDrainOrder(now_, drain));
  });
}

void ReplayDriver::KillAgent(size_t index, absl::Duration restart_after) {
  Agent& agent = agents_[index];
  agent.alive = false;
  ++agent.generation;
  agent.runs.clear();
  InstanceRecord down = agent.record;
  down.state = InstanceState::kDown;
  At(kDetection, [this, down] { Publish(down); });
  if (restart_after > absl::ZeroDuration())
    At(restart_after, [this, index] { StartAgent(index); });
}

void ReplayDriver::PauseAgent(size_t index, absl::Duration length) {
  Agent& agent = agents_[index];
  agent.paused_until = now_ + length;
  if (length > kDetection) {
    InstanceRecord down = agent.record;
    down.state = InstanceState::kDown;
    At(kDetection, [this, down] { Publish(down); });
  }
  // The heartbeat after the pause refutes the report.
  At(length, [this, index] {
    Agent& resumed = agents_[index];
    if (!resumed.alive)
      return;
    Apply(index, resumed.core->OnTick(now_));
    ++resumed.record.sequence;
    Publish(resumed.record);
  });
}

void ReplayDriver::TickAgents() {
  for (size_t i = 0; i < agents_.size(); ++i) {
    if (agents_[i].alive && agents_[i].paused_until <= now_)
      Apply(i, agents_[i].core->OnTick(now_));
  }
  At(kAgentTick, [this] { TickAgents(); });
}

}  // namespace skylarkshunt
