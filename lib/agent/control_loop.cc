#include "control_loop.h"

#include <algorithm>
#include <utility>

#include "skylarkshunt/base/event.h"
#include "skylarkshunt/process/control_notice.h"

namespace skylarkshunt {
namespace {

constexpr EventId kServiceUnreadable{5101, "service_record_unreadable"};
constexpr EventId kServiceAdopted{5102, "service_record_adopted"};

}  // namespace

AgentControlLoop::AgentControlLoop(Parts parts)
    : parts_(std::move(parts)), thread_(parts_.wakeup) {
  orders_.incarnation = parts_.control->self().incarnation;
}

void AgentControlLoop::Start() {
  PublishStatus();
  thread_.Start([this] { Step(); });
}

void AgentControlLoop::BeginShutdown() {
  shutdown_.store(true);
  parts_.wakeup.Notify();
}

void AgentControlLoop::Step() {
  const absl::Duration wait = next_tick_ - MonotonicNow();
  WaitReadable({parts_.wakeup.fd()},
               std::clamp(wait, absl::ZeroDuration(), kControlTick));
  parts_.wakeup.Drain();
  const absl::Time now = MonotonicNow();
  // The report is processed first: after a suspension it has the new
  // incarnation.
  ProcessReport();
  if (now >= next_tick_) {
    Execute(parts_.control->OnTick(now));
    next_tick_ = now + kControlTick;
  }
  ProcessTransportEvents();
  if (const auto entries = parts_.directory.TryPop())
    Execute(parts_.control->OnDirectory(MonotonicNow(), *entries));
  if (shutdown_.load() && !orders_.shutdown) {
    orders_.shutdown = true;
    orders_changed_ = true;
  }
  if (std::exchange(orders_changed_, false))
    parts_.data.Order(orders_);
  if (now >= next_status_)
    PublishStatus();
}

void AgentControlLoop::ProcessTransportEvents() {
  for (size_t i = 0; i < kTransportRingSlots; ++i) {
    const absl::optional<TransportEvent> event = parts_.transport.TryPop();
    if (!event.has_value())
      return;
    if (const auto* failed = std::get_if<ControlLinkFailed>(&*event)) {
      Execute(parts_.control->OnSendFailed(MonotonicNow(), failed->peer));
      continue;
    }
    const auto& received = std::get<ControlReceived>(*event);
    Execute(parts_.control->OnMessage(MonotonicNow(), received.peer,
                                      received.message));
  }
}

void AgentControlLoop::ProcessReport() {
  const absl::optional<AgentReport> report = parts_.data.TryPopReport();
  if (!report.has_value())
    return;
  const AgentReport previous = std::exchange(report_, *report);
  const absl::Time now = MonotonicNow();
  const bool has_core = report_.incarnation != Incarnation{};
  if (has_core && (report_.state != previous.state ||
                   report_.incarnation != previous.incarnation)) {
    Execute(parts_.control->OnStateChanged(now, report_.state,
                                           report_.incarnation));
  }
  if (report_.applied != previous.applied)
    Execute(parts_.control->OnApplied(now, report_.applied));
  const bool healthy = !shutdown_.load() && !report_.shutdown_complete &&
                       report_.state < InstanceState::kDraining;
  parts_.board.SetHealthy(healthy);
  if (!report_.shutdown_complete || ended_.load())
    return;
  // Sends the last heartbeat, which reports that the agent leaves, at once.
  Execute(parts_.control->OnTick(now));
  ended_.store(true);
}

void AgentControlLoop::Execute(const AgentControlActions& actions) {
  for (const AgentControlAction& action : actions)
    Execute(action);
}

void AgentControlLoop::Execute(const AgentControlAction& action) {
  if (const auto* send = std::get_if<SendControl>(&action)) {
    parts_.transport.Send(send->peer, send->message);
  } else if (const auto* service = std::get_if<ServiceChanged>(&action)) {
    OnServiceChanged(service->record);
  } else if (const auto* order = std::get_if<DrainOrder>(&action)) {
    orders_.drain = order->drain;
    orders_changed_ = true;
  } else if (const auto* next = std::get_if<RaiseIncarnation>(&action)) {
    OnNewIncarnation(next->incarnation);
  } else if (std::holds_alternative<RequestDirectory>(action)) {
    parts_.directory.Request();
  } else if (const auto* notice = std::get_if<ControlNotice>(&action)) {
    LogControlNotice(*notice);
  }
}

/// The core adopts the incarnation and reports it. Without a core, or when the
/// core already has this incarnation or a higher one, the control thread
/// reports the change itself.
void AgentControlLoop::OnNewIncarnation(Incarnation incarnation) {
  orders_.incarnation = std::max(orders_.incarnation, incarnation);
  orders_changed_ = true;
  const bool has_core = report_.incarnation != Incarnation{};
  if (has_core && report_.incarnation < incarnation)
    return;
  Execute(parts_.control->OnStateChanged(
      MonotonicNow(), report_.state,
      std::max(report_.incarnation, incarnation)));
}

void AgentControlLoop::OnServiceChanged(const ConfigRecord& record) {
  ServiceOrder service;
  service.revision = record.revision;
  service.deleted = record.deleted;
  if (!record.deleted) {
    Result<ServiceConfig> config = ParseServiceConfig(record.body);
    if (!config.has_value()) {
      LogLine(kServiceUnreadable, Severity::kError)
          .Field("key", record.key)
          .Field("revision", ToText(record.revision))
          .Field("error", config.error().ToString());
      return;
    }
    service.config = std::move(config).value();
  }
  LogLine(kServiceAdopted)
      .Field("key", record.key)
      .Field("revision", ToText(record.revision))
      .Field("deleted", record.deleted ? "true" : "false");
  orders_.service = std::move(service);
  orders_.incarnation =
      std::max(orders_.incarnation, parts_.control->self().incarnation);
  orders_changed_ = true;
}

void AgentControlLoop::PublishStatus() {
  AgentStatus status;
  status.self = parts_.control->self();
  status.service_name = parts_.service_name;
  status.stats = report_.stats;
  status.flows = report_.flows;
  parts_.board.Publish(std::move(status));
  next_status_ = MonotonicNow() + kAgentStatusInterval;
}

}  // namespace skylarkshunt
