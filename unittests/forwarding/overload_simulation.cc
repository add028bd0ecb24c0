#include "overload_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <utility>

#include "packets.h"

namespace skylarkshunt {
namespace {

const ServiceUid kService = MakeServiceUid("dispatch");
const Endpoint kServiceEndpoint{0xc6120001, 443};
constexpr absl::Duration kTickInterval = absl::Milliseconds(5);
constexpr absl::Duration kReportInterval = absl::Milliseconds(100);
constexpr absl::Duration kColdTime = absl::Seconds(2);
/// Bounds of the share of an attempt's time after which its client ends it.
constexpr double kMinPatience = 0.6;
constexpr double kMaxPatience = 1.0;
constexpr uint32_t kGrantSequence = 9'000;

/// The forwarders pass packets on unread, so a packet is the bytes of its
/// header.
std::vector<uint8_t> ToBytes(const PacketHeader& header) {
  std::vector<uint8_t> bytes(sizeof(header));
  std::memcpy(bytes.data(), &header, sizeof(header));
  return bytes;
}

PacketHeader FromBytes(absl::Span<const uint8_t> bytes) {
  PacketHeader header;
  std::memcpy(static_cast<void*>(&header), bytes.data(), sizeof(header));
  return header;
}

PacketHeader ClientHeader(const FlowId& flow) {
  PacketHeader header;
  header.source = flow.client;
  header.destination = flow.service;
  return header;
}

PacketHeader TargetHeader(const FlowId& flow) {
  PacketHeader header;
  header.source = flow.service;
  header.destination = flow.client;
  header.acknowledges = true;
  return header;
}

}  // namespace

OverloadSimulation::OverloadSimulation(const Options& options)
    : options_(options), random_(options.seed), now_(kStart) {
  auto routes = std::make_shared<RouteTable>();
  routes->version = 1;
  Route& route = routes->routes[kServiceEndpoint];
  route.shares = {{kService, 1}};
  route.kind = RequestKind::kIdempotent;
  route.latency_objective = options.objective;
  route.deadline = options.deadline;
  ServiceSettings& service = routes->services[kService];
  service.warmup = options.warmup;
  service.warmup_per_second = options.warmup_per_second;
  routes_ = routes;
  entries_.resize(options.entries);
  for (size_t i = 0; i < options.entries; ++i) {
    entries_[i].endpoint = {0x0a010000 + static_cast<uint32_t>(i), 7720};
    StartEntry(i);
  }
  agents_.resize(options.agents);
  for (size_t i = 0; i < options.agents; ++i) {
    StartAgent(i);
    ScheduleReport(i);
  }
  ports_.assign(options.client_addresses, 1024);
  ScheduleTick();
  RunUntil(now_ + absl::Seconds(1));
}

void OverloadSimulation::StartEntry(size_t index) {
  entries_[index].forwarder = std::make_unique<EntryForwarder>(1, now_);
  entries_[index].forwarder->SetRoutes(routes_, now_);
}

void OverloadSimulation::StartAgent(size_t index) {
  Agent& agent = agents_[index];
  agent.endpoint = {0x0a020000 + static_cast<uint32_t>(index), 7720};
  agent.identity.uid = InstanceUid{100 + index};
  agent.identity.incarnation = Incarnation{++agent.starts};
  agent.identity.service = kService;
  agent.identity.data_centre = 1;
  agent.target = Target();
  agent.sequence = 0;
  AgentForwarder::Options options;
  options.identity = agent.identity;
  options.service = "dispatch";
  options.warmup_excess = options_.warmup_excess;
  options.warmup_slack = options_.warmup_slack;
  agent.forwarder = std::make_unique<AgentForwarder>(options, now_);
  agent.forwarder->SetServiceSettings(&routes_->services.at(kService));
  ReportTarget(agent);
}

void OverloadSimulation::ReportTarget(Agent& agent) {
  TargetReport report;
  report.id = "i-1";
  report.service = "dispatch";
  report.started_unix_ms = static_cast<int64_t>(agent.starts);
  report.sequence = agent.sequence + 1;
  report.slots = options_.slots;
  report.warmup_left = std::max(agent.warm_at - now_, absl::ZeroDuration());
  AgentActions actions;
  agent.forwarder->OnTargetReport(report, now_, actions);
  Execute(static_cast<size_t>(&agent - agents_.data()), actions);
}

void OverloadSimulation::After(absl::Duration delay,
                               std::function<void()> run) {
  events_.push({now_ + delay, next_event_++, std::move(run)});
}

void OverloadSimulation::RunUntil(absl::Time end) {
  while (!events_.empty() && events_.top().time <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.run();
  }
  now_ = end;
}

double OverloadSimulation::Capacity(absl::Duration time) const {
  return static_cast<double>(options_.slots * options_.agents) *
         absl::FDivDuration(time, options_.work);
}

void OverloadSimulation::Run(absl::Duration time, double load) {
  rate_ = load * Capacity(absl::Seconds(1));
  ++arrivals_;
  ScheduleArrival();
  RunUntil(now_ + time);
  rate_ = 0;
}

void OverloadSimulation::Finish() {
  RunUntil(now_ + options_.deadline + absl::Seconds(1));
}

void OverloadSimulation::LosePower(absl::Duration time, double cold_factor) {
  dark_until_ = now_ + time;
  cold_factor_ = cold_factor;
  After(time, [this] {
    for (size_t i = 0; i < entries_.size(); ++i)
      StartEntry(i);
    for (size_t i = 0; i < agents_.size(); ++i)
      StartAgent(i);
  });
  After(time + kColdTime, [this] { cold_factor_ = 1.0; });
}

void OverloadSimulation::RestartAgents(size_t count, absl::Duration time) {
  for (size_t i = 0; i < count; ++i) {
    agents_[i].down_until = now_ + time;
    After(time, [this, i] {
      agents_[i].warm_at = now_ + options_.warmup;
      StartAgent(i);
    });
  }
}

bool OverloadSimulation::IsDown(size_t agent) const {
  return now_ < std::max(dark_until_, agents_[agent].down_until);
}

void OverloadSimulation::ScheduleArrival() {
  std::exponential_distribution<double> gap(rate_);
  After(absl::Seconds(gap(random_)), [this, run = arrivals_] {
    if (rate_ == 0 || run != arrivals_)
      return;
    Request& request = requests_.emplace_back();
    request.client_address =
        static_cast<uint32_t>(random_() % options_.client_addresses);
    request.start = now_;
    Attempt(requests_.size() - 1);
    ScheduleArrival();
  });
}

void OverloadSimulation::ScheduleTick() {
  After(kTickInterval, [this] {
    for (size_t i = 0; i < entries_.size(); ++i) {
      EntryActions actions;
      entries_[i].forwarder->Tick(now_, actions);
      entries_[i].forwarder->ExpireIdle(now_);
      Execute(i, actions);
    }
    for (size_t i = 0; i < agents_.size(); ++i) {
      if (IsDown(i))
        continue;
      AgentActions actions;
      agents_[i].forwarder->Tick(now_, actions);
      Execute(i, actions);
    }
    ScheduleTick();
  });
}

void OverloadSimulation::ScheduleReport(size_t index) {
  After(kReportInterval * (1.0 + 0.1 * static_cast<double>(index % 5)),
        [this, index] {
          if (!IsDown(index)) {
            Agent& agent = agents_[index];
            ReportTarget(agent);
            AgentReport report;
            report.agent = agent.identity;
            report.sequence = ++agent.sequence;
            report.load = agent.forwarder->load(now_);
            for (Entry& entry : entries_)
              entry.forwarder->agents().UpdateFromReport(report, agent.endpoint,
                                                         now_);
          }
          ScheduleReport(index);
        });
}

void OverloadSimulation::Attempt(size_t index) {
  Request& request = requests_[index];
  const int attempt = ++request.attempt;
  request.flow = {
      {0x64400000 + request.client_address, ports_[request.client_address]++},
      kServiceEndpoint};
  attempts_[request.flow] = {index, attempt};
  opened_[request.flow] = now_;
  SendOpening(index, attempt, 0);
  const absl::Duration left = request.start + options_.deadline - now_;
  std::uniform_real_distribution<double> patience(kMinPatience, kMaxPatience);
  const bool last = attempt == options_.attempts;
  const absl::Duration share =
      last ? left
           : patience(random_) * left / (options_.attempts - attempt + 1);
  After(share, [this, index, attempt] { EndAttempt(index, attempt, false); });
}

void OverloadSimulation::SendOpening(size_t index, int attempt, int copy) {
  const Request& request = requests_[index];
  if (request.outcome != Outcome::kPending || request.attempt != attempt)
    return;
  const FlowPackets times(1, kServiceEndpoint);
  PacketHeader header = times.Opening(copy);
  header.source = request.flow.client;
  SendFromClient(header);
  if (copy < 2) {
    const absl::Duration next =
        times.Opening(copy + 1).opening_age - header.opening_age;
    After(next, [this, index, attempt, copy] {
      if (requests_[index].unanswered)
        SendOpening(index, attempt, copy + 1);
    });
  }
  if (copy == 0)
    requests_[index].unanswered = true;
}

void OverloadSimulation::EndAttempt(size_t index, int attempt, bool refused) {
  Request& request = requests_[index];
  if (request.outcome != Outcome::kPending || request.attempt != attempt)
    return;
  request.unanswered = !refused;
  if (attempt < options_.attempts && now_ < request.start + options_.deadline) {
    Attempt(index);
    return;
  }
  request.outcome = Outcome::kFailed;
}

void OverloadSimulation::SendFromClient(const PacketHeader& header) {
  const size_t index =
      StableFlowHash(header.flow_from_client()) % entries_.size();
  After(options_.client_delay, [this, index, header] {
    if (now_ < dark_until_)
      return;
    EntryActions actions;
    const std::vector<uint8_t> bytes = ToBytes(header);
    entries_[index].forwarder->OnClientPacket(header, bytes, now_, actions);
    Execute(index, actions);
  });
}

void OverloadSimulation::Execute(size_t index, EntryActions& actions) {
  const Endpoint source = entries_[index].endpoint;
  for (const EntryActions::ToAgent& action : actions.to_agents) {
    const size_t agent = action.agent.address - agents_[0].endpoint.address;
    ForwardedPacket message = action.message;
    const PacketHeader header = FromBytes(message.packet);
    After(options_.node_delay,
          [this, agent, message, header, source]() mutable {
            if (IsDown(agent))
              return;
            const std::vector<uint8_t> bytes = ToBytes(header);
            message.packet = bytes;
            AgentActions agent_actions;
            agents_[agent].forwarder->OnForwarded(message, header, source, now_,
                                                  agent_actions);
            Execute(agent, agent_actions);
          });
  }
  for (const EntryActions::ResetClient& reset : actions.resets) {
    After(options_.client_delay, [this, flow = reset.flow] { OnReset(flow); });
  }
  for (const RefusedRequest& refused : actions.refused) {
    After(options_.node_delay, [this, index, refused] {
      for (size_t i = 0; i < entries_.size(); ++i) {
        if (i != index)
          entries_[i].forwarder->retries().RecordReported(refused, now_);
      }
    });
  }
}

void OverloadSimulation::Execute(size_t index, AgentActions& actions) {
  for (const AgentActions::ToTarget& action : actions.to_target) {
    PacketHeader header = FromBytes(action.packet);
    ToTarget(index, header);
  }
  for (const AgentActions::ToClient& action : actions.to_clients) {
    const PacketHeader header = FromBytes(action.packet);
    After(options_.node_delay + options_.client_delay,
          [this, header] { ToClient(header); });
  }
  for (const AgentActions::ResetClient& reset : actions.resets)
    After(options_.client_delay, [this, flow = reset.flow] { OnReset(flow); });
  for (const AgentActions::ToEntry& action : actions.to_entries) {
    const size_t entry = action.entry.address - entries_[0].endpoint.address;
    const Endpoint source = agents_[index].endpoint;
    if (const auto* placed = std::get_if<FlowPlaced>(&action.message)) {
      After(options_.node_delay, [this, entry, placed = *placed, source] {
        EntryActions entry_actions;
        entries_[entry].forwarder->OnPlaced(placed, source, now_,
                                            entry_actions);
        Execute(entry, entry_actions);
      });
    } else if (const auto* given =
                   std::get_if<ReturnedPacket>(&action.message)) {
      ReturnedPacket returned = *given;
      const PacketHeader header = FromBytes(returned.packet);
      After(options_.node_delay,
            [this, entry, returned, header, source]() mutable {
              const std::vector<uint8_t> bytes = ToBytes(header);
              returned.packet = bytes;
              EntryActions entry_actions;
              entries_[entry].forwarder->OnReturned(returned, header, source,
                                                    now_, entry_actions);
              Execute(entry, entry_actions);
            });
    }
  }
}

void OverloadSimulation::ToTarget(size_t index, const PacketHeader& header) {
  const FlowId flow = header.flow_from_client();
  if (header.opening) {
    if (now_ < agents_[index].warm_at)
      agents_[index].cold_openings.push_back(now_);
    PacketHeader grant = TargetHeader(flow);
    grant.opening = true;
    grant.sequence = kGrantSequence;
    After(absl::Microseconds(100), [this, index, grant] {
      if (!IsDown(index))
        FromTarget(index, grant);
    });
    return;
  }
  if (header.payload_bytes == 0)
    return;
  agents_[index].target.waiting.push_back(flow);
  StartWork(index);
}

void OverloadSimulation::StartWork(size_t index) {
  Target& target = agents_[index].target;
  if (target.running >= options_.slots || target.waiting.empty())
    return;
  const FlowId flow = target.waiting.front();
  target.waiting.pop_front();
  ++target.running;
  std::normal_distribution<double> normal;
  const double spread = options_.work_spread;
  const double cold_factor =
      now_ < agents_[index].warm_at ? options_.warmup_factor : cold_factor_;
  const absl::Duration work =
      cold_factor * options_.work *
      std::exp(spread * normal(random_) - spread * spread / 2);
  After(work, [this, index, flow, start = agents_[index].starts] {
    if (start != agents_[index].starts || IsDown(index))
      return;
    --agents_[index].target.running;
    PacketHeader answer = TargetHeader(flow);
    answer.sequence = kGrantSequence + 1;
    answer.payload_bytes = 500;
    answer.ending = true;
    FromTarget(index, answer);
    StartWork(index);
  });
}

void OverloadSimulation::FromTarget(size_t index, const PacketHeader& header) {
  AgentActions actions;
  const std::vector<uint8_t> bytes = ToBytes(header);
  agents_[index].forwarder->OnTargetPacket(header, bytes, now_, actions);
  Execute(index, actions);
}

void OverloadSimulation::ToClient(const PacketHeader& header) {
  const FlowId flow = header.flow_to_client();
  const auto [index, attempt] = attempts_.at(flow);
  Request& request = requests_[index];
  if (request.outcome != Outcome::kPending || request.attempt != attempt)
    return;
  PacketHeader reply = ClientHeader(flow);
  reply.acknowledges = true;
  reply.sequence = 100;
  reply.acknowledged = kGrantSequence + 1;
  if (header.opening) {
    request.unanswered = false;
    reply.payload_bytes = 200;
    SendFromClient(reply);
    return;
  }
  request.outcome = now_ - request.start <= options_.objective
                        ? Outcome::kInTime
                        : Outcome::kLate;
  request.end = now_;
  reply.sequence = 300;
  reply.acknowledged = kGrantSequence + 501;
  reply.ending = true;
  SendFromClient(reply);
}

void OverloadSimulation::OnReset(const FlowId& flow) {
  const auto [index, attempt] = attempts_.at(flow);
  const Request& request = requests_[index];
  if (request.outcome == Outcome::kPending && request.attempt == attempt)
    refusal_times_.push_back(now_ - opened_.at(flow));
  EndAttempt(index, attempt, true);
}

size_t OverloadSimulation::Count(Outcome outcome,
                                 absl::Time from,
                                 absl::Time to) const {
  return static_cast<size_t>(
      std::count_if(requests_.begin(), requests_.end(), [=](const Request& r) {
        return r.outcome == outcome && r.start >= from && r.start < to;
      }));
}

}  // namespace skylarkshunt
