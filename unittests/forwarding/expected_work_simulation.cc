#include "expected_work_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkshunt {
namespace {

const ServiceUid kService = MakeServiceUid("dispatch");
constexpr uint32_t kSlots = 2;
constexpr double kLongFactor = 7.0;
constexpr absl::Duration kLocalDelay = absl::Microseconds(500);
constexpr absl::Duration kRemoteDelay = absl::Milliseconds(2);
constexpr absl::Duration kHandshake = absl::Milliseconds(4);
/// Requests of the first second are not measured, since the models have no
/// samples yet.
constexpr absl::Duration kOnset = absl::Seconds(1);

absl::Duration Percentile(std::vector<absl::Duration>& times, double share) {
  const auto nth =
      times.begin() +
      static_cast<ptrdiff_t>(share * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), nth, times.end());
  return *nth;
}

absl::Duration Mean(const std::vector<absl::Duration>& times) {
  absl::Duration sum;
  for (const absl::Duration time : times)
    sum += time;
  return sum / static_cast<int64_t>(times.size());
}

}  // namespace

ExpectedWorkSimulation::ExpectedWorkSimulation(const Options& options)
    : options_(options),
      arrivals_(options.seed),
      end_(kStart + options.time),
      entries_(options.entries),
      agents_(options.agents) {
  double speeds = 0;
  for (size_t i = 0; i < agents_.size(); ++i) {
    Agent& agent = agents_[i];
    agent.identity.uid = InstanceUid{(100 + i) * 0x9e3779b97f4a7c15U};
    agent.identity.incarnation = Incarnation{1};
    agent.identity.service = kService;
    agent.identity.data_centre =
        static_cast<uint32_t>(i % options.data_centres);
    agent.speed = options.speeds[i / options.data_centres % 3];
    agent.work.set_slots(kSlots);
    speeds += agent.speed;
    Report(i);
  }
  const double work_s =
      absl::ToDoubleSeconds(options.work[0] + options.work[1]) / 2 *
      (1 + options.long_share * (kLongFactor - 1));
  rate_ = options.load * kSlots * speeds / work_s;
}

ExpectedWorkSimulation::Result ExpectedWorkSimulation::Run(
    const Options& options) {
  ExpectedWorkSimulation simulation(options);
  // The first reports arrive before the first request.
  simulation.After(2 * kRemoteDelay, [&simulation] { simulation.Arrive(); });
  simulation.After(options.time / 2, [&simulation, &options] {
    for (size_t i = 0; i < options.burst; ++i)
      simulation.Add(1);
    simulation.agents_[1].speed /= options.slow_factor;
  });
  while (!simulation.events_.empty()) {
    const Event event = simulation.events_.top();
    simulation.events_.pop();
    simulation.now_ = event.time;
    event.run();
  }
  return simulation.Summary();
}

void ExpectedWorkSimulation::After(absl::Duration delay,
                                   std::function<void()> run) {
  events_.push({now_ + delay, next_event_++, std::move(run)});
}

void ExpectedWorkSimulation::Arrive() {
  std::exponential_distribution<double> gap(rate_);
  After(absl::Seconds(gap(arrivals_)), [this] {
    Add(arrivals_() % 2);
    if (now_ < end_)
      Arrive();
  });
}

void ExpectedWorkSimulation::Add(size_t route) {
  std::uniform_real_distribution<double> uniform;
  std::normal_distribution<double> normal;
  const double spread = options_.work_spread;
  Request request;
  request.route = {0xc6120001 + static_cast<uint32_t>(route), 443};
  request.opened = now_;
  request.entry = arrivals_() % options_.entries;
  request.hash = uint64_t{arrivals_()} << 32 | arrivals_();
  request.work = options_.work[route] *
                 std::exp(spread * normal(arrivals_) - spread * spread / 2);
  if (uniform(arrivals_) < options_.long_share)
    request.work *= kLongFactor;
  requests_.push_back(std::move(request));
  Place(requests_.size() - 1);
}

absl::Duration ExpectedWorkSimulation::DelayBetween(size_t entry,
                                                    size_t agent) const {
  return entry % options_.data_centres == agent % options_.data_centres
             ? kLocalDelay
             : kRemoteDelay;
}

void ExpectedWorkSimulation::Place(size_t index) {
  Request& request = requests_[index];
  PlacementRequest placing;
  placing.service = kService;
  placing.data_centre =
      static_cast<uint32_t>(request.entry % options_.data_centres);
  placing.flow_hash = request.hash;
  placing.declined = request.declined;
  const Placement placement =
      *PlaceFlow(entries_[request.entry], placing, now_);
  AgentView& view = *placement.agent;
  if (now_ - view.last_sent > kAgentReportInterval)
    view.unreported = 0;
  ++view.unreported;
  view.last_sent = now_;
  const auto agent = static_cast<size_t>(
      std::find_if(agents_.begin(), agents_.end(),
                   [&view](const Agent& a) {
                     return a.identity.uid == view.identity.uid;
                   }) -
      agents_.begin());
  After(DelayBetween(request.entry, agent),
        [this, agent, index, limit_us = placement.wait_limit_us] {
          OnOpening(agent, index, limit_us);
        });
}

void ExpectedWorkSimulation::OnOpening(size_t index,
                                       size_t request_index,
                                       uint32_t limit_us) {
  Agent& agent = agents_[index];
  Request& request = requests_[request_index];
  const bool declines = ExpectedWaitUs(Load(index), 0) > limit_us;
  if (!declines) {
    request.token = agent.work.Begin(request.route, now_);
    ++agent.busy;
    if (request.entry % options_.data_centres != index % options_.data_centres)
      ++result_.remote;
    const absl::Duration way = DelayBetween(request.entry, index);
    After(kHandshake + 2 * way, [this, index, request_index] {
      Agent& at = agents_[index];
      Request& arriving = requests_[request_index];
      arriving.arrived = now_;
      arriving.busy_before = at.busy - 1;
      at.work.OnRequest(arriving.token, now_);
      at.waiting.push_back(request_index);
      StartWork(index);
    });
  }
  const AgentLoad load = Load(index);
  After(DelayBetween(request.entry, index), [this, index, request_index,
                                             declines, load] {
    Request& answered = requests_[request_index];
    entries_[answered.entry].Update(agents_[index].identity, load, {}, now_);
    if (!declines)
      return;
    ++result_.declines;
    answered.declined.push_back(agents_[index].identity.uid);
    Place(request_index);
  });
}

void ExpectedWorkSimulation::StartWork(size_t index) {
  Agent& agent = agents_[index];
  if (agent.running == kSlots || agent.waiting.empty())
    return;
  const size_t request_index = agent.waiting.front();
  agent.waiting.pop_front();
  ++agent.running;
  Request& request = requests_[request_index];
  if (request.opened > kStart + kOnset)
    waits_.push_back(now_ - request.opened - kHandshake);
  After(request.work / agent.speed,
        [this, index, request_index] { Answer(index, request_index); });
}

void ExpectedWorkSimulation::Answer(size_t index, size_t request_index) {
  Agent& agent = agents_[index];
  const Request& request = requests_[request_index];
  agent.work.OnAnswer(request.token, now_);
  agent.work.End(request.token);
  agent.service_time.Record(now_ - request.arrived, request.busy_before, kSlots,
                            now_);
  --agent.busy;
  --agent.running;
  if (request.opened > kStart + kOnset)
    answers_.push_back(now_ - request.opened - kHandshake);
  StartWork(index);
}

AgentLoad ExpectedWorkSimulation::Load(size_t index) {
  Agent& agent = agents_[index];
  AgentLoad load;
  load.slots = kSlots;
  load.busy = static_cast<uint16_t>(agent.busy);
  load.service_time_us = static_cast<uint32_t>(
      absl::ToInt64Microseconds(agent.service_time.estimate(now_)));
  load.state = InstanceState::kServing;
  if (options_.reporting > 0 && index / 2 % options_.reporting == 0) {
    const std::array<double, 3> lies = {options_.lie, 1.0, 1.0 / options_.lie};
    const uint32_t pending_us =
        agent.work.PendingUs(agent.busy, WorkModel::QueueWork(), now_);
    if (pending_us != 0) {
      load.pending_work_us = std::max(
          kPendingWorkUnitUs,
          static_cast<uint32_t>(lies[(index + index / 3) % 3] * pending_us));
    }
  }
  return load;
}

void ExpectedWorkSimulation::Report(size_t index) {
  AgentReport report;
  report.agent = agents_[index].identity;
  report.sequence = ++agents_[index].sequence;
  report.load = Load(index);
  for (size_t i = 0; i < entries_.size(); ++i) {
    After(DelayBetween(i, index), [this, i, report] {
      entries_[i].UpdateFromReport(report, {}, now_);
    });
  }
  if (now_ < end_ + absl::Seconds(1)) {
    const double stagger = 1.0 + 0.1 * static_cast<double>(index % 5);
    After(kAgentReportInterval * stagger, [this, index] { Report(index); });
  }
}

ExpectedWorkSimulation::Result ExpectedWorkSimulation::Summary() {
  result_.requests = waits_.size();
  result_.mean = Mean(waits_);
  result_.p95 = Percentile(waits_, 0.95);
  result_.p99 = Percentile(waits_, 0.99);
  result_.mean_answer = Mean(answers_);
  result_.p99_answer = Percentile(answers_, 0.99);
  for (const Agent& agent : agents_) {
    result_.accuracy.waits += agent.work.accuracy().waits;
    result_.accuracy.predicted += agent.work.accuracy().predicted;
    result_.accuracy.observed += agent.work.accuracy().observed;
    result_.accuracy.error += agent.work.accuracy().error;
  }
  return result_;
}

}  // namespace skylarkshunt
