#include "data_loop.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/link/codec.h"

namespace skylarkshunt {
namespace {

constexpr EventId kCoreStarted{3101, "core_started"};
constexpr EventId kCoreEnded{3102, "core_ended"};

/// Maximum number of datagrams received before other work is processed.
constexpr int kDatagramBatch = 64;
/// Maximum number of flows in one status report.
constexpr size_t kMaxReportedFlows = 1000;

Counter& OverflowCounter(CounterRegistry& counters, absl::string_view ring) {
  return counters.Find("skylarkshunt_ring_overflows_total",
                       "Pushes that found a ring full.", MetricType::kCounter,
                       absl::StrCat("ring=\"", ring, "\""));
}

}  // namespace

Result<std::unique_ptr<AgentDataLoop>> AgentDataLoop::Open(
    const Options& options) {
  BOOST_OUTCOME_TRY(socket, UdpSocket::Bind(options.data));
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  return std::unique_ptr<AgentDataLoop>(
      new AgentDataLoop(options, std::move(socket), std::move(wakeup)));
}

AgentDataLoop::AgentDataLoop(const Options& options,
                             UdpSocket socket,
                             Wakeup wakeup)
    : options_(options),
      socket_(std::move(socket)),
      wakeup_(std::move(wakeup)),
      log_(*options.counters, options.established_log_rate),
      malformed_(options.counters->Find(
          "skylarkshunt_malformed_datagrams_total",
          "Datagrams dropped because they did not decode.",
          MetricType::kCounter,
          "from=\"link\"")),
      unsent_(options.counters->Find(
          "skylarkshunt_unsent_datagrams_total",
          "Datagrams that were too large or that the kernel did not take.")),
      unserved_(options.counters->Find(
          "skylarkshunt_unserved_forwards_total",
          "Messages dropped before a configuration arrived.")),
      runs_refused_(OverflowCounter(*options.counters, "target_runs")),
      orders_replaced_(OverflowCounter(*options.counters, "agent_orders")),
      reports_replaced_(OverflowCounter(*options.counters, "agent_reports")),
      metrics_(*options.counters),
      orders_(1, [this] { wakeup_.Notify(); }),
      reports_(1, options.on_report),
      pool_(options.target, [this] { wakeup_.Notify(); }),
      health_(options.target, [this] { wakeup_.Notify(); }),
      thread_(wakeup_) {}

void AgentDataLoop::Start() {
  health_.Start();
  thread_.Start([this] { Step(); });
}

void AgentDataLoop::Order(AgentOrders orders) {
  orders_.PushReplacingOldest(std::move(orders));
  orders_replaced_.Set(orders_.overflows());
}

void AgentDataLoop::Step() {
  const absl::Duration wait = next_tick_ - MonotonicNow();
  WaitReadable({socket_.fd(), wakeup_.fd()},
               std::clamp(wait, absl::ZeroDuration(), kAgentTick));
  wakeup_.Drain();
  Tick();
  if (absl::optional<AgentOrders> orders = orders_.TryPop())
    ApplyOrders(*orders);
  ProcessEndedRuns();
  ProcessHealthHint();
  ReceiveDatagrams();
  ReportWhenDue();
}

void AgentDataLoop::ReceiveDatagrams() {
  for (int i = 0; i < kDatagramBatch; ++i) {
    const absl::optional<Datagram> datagram = socket_.Receive();
    if (!datagram.has_value())
      return;
    const Result<LinkMessage> message = DecodeLinkMessage(datagram->bytes);
    const Forward* forward =
        message.has_value() ? std::get_if<Forward>(&message.value()) : nullptr;
    if (forward == nullptr)
      malformed_.Increment();
    else
      OnForward(*forward);
  }
}

void AgentDataLoop::OnForward(const Forward& forward) {
  if (cores_.empty()) {
    unserved_.Increment();
    return;
  }
  auto it = std::find_if(cores_.begin(), cores_.end(), [&](const Core& core) {
    return core.service == forward.service;
  });
  Core& core = it == cores_.end() ? cores_.back() : *it;
  Execute(core, core.core->OnForward(MonotonicNow(), forward));
}

void AgentDataLoop::ProcessEndedRuns() {
  while (const absl::optional<RunEnded> ended = pool_.TryPop()) {
    // Run numbers are unique in the process; a core ignores those of others.
    for (Core& core : cores_)
      Execute(core,
              core.core->OnRunEnded(MonotonicNow(), ended->run, ended->result));
  }
}

void AgentDataLoop::ProcessHealthHint() {
  const absl::optional<bool> healthy = health_.TryPop();
  if (!healthy.has_value())
    return;
  for (Core& core : cores_)
    Execute(core, core.core->OnHealthHint(MonotonicNow(), *healthy));
}

void AgentDataLoop::Tick() {
  const absl::Time now = MonotonicNow();
  if (now < next_tick_)
    return;
  next_tick_ = now + kAgentTick;
  for (Core& core : cores_)
    Execute(core, core.core->OnTick(now));
  RemoveFinishedCores();
}

void AgentDataLoop::RemoveFinishedCores() {
  if (cores_.size() < 2)
    return;
  const absl::Time now = MonotonicNow();
  const auto finished = [&](const Core& core) {
    if (now - core.superseded < kFormerCoreLifetime)
      return false;
    const AgentStats stats = core.core->Stats();
    return stats.flows == 0 && stats.running == 0 && stats.queued == 0;
  };
  for (auto it = cores_.begin(); it + 1 != cores_.end();) {
    if (!finished(*it) && cores_.size() <= kMaxCores) {
      ++it;
      continue;
    }
    LogLine(kCoreEnded).Field("service", ToHex(ToNumber(it->service)));
    it = cores_.erase(it);
  }
}

void AgentDataLoop::ApplyOrders(const AgentOrders& orders) {
  const absl::Time now = MonotonicNow();
  const bool newer = orders.service.has_value() &&
                     (!applied_.service.has_value() ||
                      orders.service->revision > applied_.service->revision);
  if (newer)
    ApplyService(*orders.service, orders.incarnation);
  if (!cores_.empty()) {
    Core& newest = cores_.back();
    if (orders.incarnation > newest.core->incarnation())
      Execute(newest, newest.core->OnNewIncarnation(now, orders.incarnation));
    if (newer || orders.drain != applied_.drain)
      Execute(newest, newest.core->OnDrainOrder(now, orders.drain));
  }
  if (orders.shutdown && !applied_.shutdown) {
    for (Core& core : cores_)
      Execute(core, core.core->BeginShutdown(now));
  }
  const absl::optional<ServiceOrder> service =
      newer ? orders.service : applied_.service;
  applied_ = orders;
  applied_.service = service;
  report_changed_ = true;
}

void AgentDataLoop::ApplyService(const ServiceOrder& service,
                                 Incarnation incarnation) {
  const absl::Time now = MonotonicNow();
  if (service.deleted) {
    if (!cores_.empty()) {
      Core& newest = cores_.back();
      Execute(newest, newest.core->OnServiceRemoved(now, service.revision));
    }
    return;
  }
  const bool served =
      !cores_.empty() && cores_.back().service == service.config.uid;
  if (!served)
    LeaveFormerService(service.revision);
  if (!served && !ResumeCore(service.config.uid) &&
      !AddCore(service, incarnation)) {
    return;
  }
  Core& newest = cores_.back();
  pool_.SetWorkers(service.config.slots);
  Execute(newest, newest.core->OnConfig(now, service.revision, service.config));
}

void AgentDataLoop::LeaveFormerService(Revision revision) {
  if (cores_.empty())
    return;
  Core& former = cores_.back();
  former.superseded = MonotonicNow();
  Execute(former, former.core->OnServiceRemoved(MonotonicNow(), revision));
}

/// When a service returns with a former uid, its former core resumes: a new
/// core would not know which requests have run.
bool AgentDataLoop::ResumeCore(ServiceUid service) {
  const auto it =
      std::find_if(cores_.begin(), cores_.end(),
                   [&](const Core& core) { return core.service == service; });
  if (it == cores_.end())
    return false;
  it->superseded = absl::InfiniteFuture();
  std::rotate(it, it + 1, cores_.end());
  return true;
}

bool AgentDataLoop::AddCore(const ServiceOrder& service,
                            Incarnation incarnation) {
  AgentCore::Options options;
  options.service = service.config.uid;
  options.uid = MakeTargetUid(service.config.uid, options_.target.ToString());
  options.incarnation = incarnation;
  options.policy = options_.policy;
  options.random_seed = options_.random_seed;
  Result<std::unique_ptr<AgentCore>> core = AgentCore::Create(options);
  if (!core.has_value()) {
    LogLine(kCoreEnded, Severity::kError)
        .Field("service", ToHex(ToNumber(service.config.uid)))
        .Field("error", core.error().ToString());
    return false;
  }
  cores_.push_back(Core{service.config.uid, std::move(core).value(),
                        absl::InfiniteFuture(), false});
  LogLine(kCoreStarted)
      .Field("service", ToHex(ToNumber(service.config.uid)))
      .Field("uid", ToHex(ToNumber(options.uid)))
      .Field("incarnation", ToNumber(incarnation));
  return true;
}

void AgentDataLoop::Execute(Core& core, const AgentActions& actions) {
  for (const AgentAction& action : actions)
    Execute(core, action);
}

void AgentDataLoop::Execute(Core& core, const AgentAction& action) {
  if (const auto* reply = std::get_if<SendReply>(&action)) {
    Send(reply->entry, reply->reply);
  } else if (const auto* forward = std::get_if<SendForward>(&action)) {
    Send(forward->agent, forward->forward);
  } else if (const auto* start = std::get_if<StartRun>(&action)) {
    if (pool_.Start(*start))
      return;
    runs_refused_.Increment();
    RunResult refused;
    refused.kind = RunResult::Kind::kNotSent;
    Execute(core, core.core->OnRunEnded(MonotonicNow(), start->run, refused));
  } else if (const auto* cancel = std::get_if<CancelRun>(&action)) {
    pool_.Cancel(cancel->run);
  } else if (const auto* decision = std::get_if<AgentDecision>(&action)) {
    log_.Record(MonotonicNow(), *decision);
  } else if (std::holds_alternative<ShutdownComplete>(action)) {
    core.shutdown_complete = true;
    report_changed_ = true;
  } else if (std::holds_alternative<StateChanged>(action)) {
    report_changed_ = true;
  }
}

void AgentDataLoop::Send(Endpoint peer, const LinkMessage& message) {
  const Result<std::vector<uint8_t>> bytes = EncodeLinkMessage(message);
  if (!bytes.has_value() || !socket_.Send(peer, bytes.value()))
    unsent_.Increment();
}

bool AgentDataLoop::shutdown_complete() const {
  return applied_.shutdown &&
         std::all_of(cores_.begin(), cores_.end(),
                     [](const Core& core) { return core.shutdown_complete; });
}

void AgentDataLoop::ReportWhenDue() {
  const absl::Time now = MonotonicNow();
  if (!report_changed_ && now < next_report_)
    return;
  report_changed_ = false;
  next_report_ = now + kReportInterval;
  AgentReport report;
  report.shutdown_complete = shutdown_complete();
  if (!cores_.empty()) {
    const AgentCore& newest = *cores_.back().core;
    report.state = newest.state();
    report.incarnation = newest.incarnation();
    report.applied =
        applied_.service.has_value() ? applied_.service->revision : Revision{};
    report.stats = newest.Stats();
    report.flows = newest.Flows(kMaxReportedFlows);
    metrics_.Set(report.stats);
  }
  reports_.PushReplacingOldest(std::move(report));
  reports_replaced_.Set(reports_.overflows());
}

}  // namespace skylarkshunt
