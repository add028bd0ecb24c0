#include "control_loop.h"

#include <algorithm>
#include <utility>

#include "absl/strings/strip.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/process/control_notice.h"

namespace skylarkshunt {
namespace {

Counter& Gauge(CounterRegistry& counters,
               absl::string_view name,
               absl::string_view help) {
  return counters.Find(name, help, MetricType::kGauge);
}

}  // namespace

EntryControlLoop::EntryControlLoop(Parts parts)
    : parts_(std::move(parts)),
      builds_(parts_.counters.Find("skylarkshunt_snapshot_builds_total",
                                   "Routing snapshots built.")),
      services_(Gauge(parts_.counters,
                      "skylarkshunt_services",
                      "Services in the routing snapshot.")),
      targets_(Gauge(parts_.counters,
                     "skylarkshunt_targets",
                     "Targets in the routing snapshot.")),
      records_(Gauge(parts_.counters,
                     "skylarkshunt_instances",
                     "Records of instances known.")),
      thread_(parts_.wakeup) {}

void EntryControlLoop::Start() {
  PublishStatus();
  thread_.Start([this] { Step(); });
}

void EntryControlLoop::BeginShutdown() {
  shutdown_.store(true);
  parts_.wakeup.Notify();
}

void EntryControlLoop::Step() {
  const absl::Duration wait = next_tick_ - MonotonicNow();
  WaitReadable({parts_.wakeup.fd()},
               std::clamp(wait, absl::ZeroDuration(), kControlTick));
  parts_.wakeup.Drain();
  const absl::Time now = MonotonicNow();
  // The tick comes first: it finds a pause before its stale events count.
  if (now >= next_tick_) {
    Execute(parts_.control->OnTick(now));
    next_tick_ = now + kControlTick;
  }
  TakeTransportEvents();
  TakePlatformEvents();
  if (shutdown_.load() && !left_) {
    left_ = true;
    Execute(parts_.control->OnShutdown(MonotonicNow()));
  }
  if (routing_changed_ && now >= next_build_)
    BuildSnapshot();
  if (now >= next_status_)
    PublishStatus();
}

void EntryControlLoop::TakeTransportEvents() {
  for (size_t i = 0; i < kTransportRingSlots; ++i) {
    const absl::optional<TransportEvent> event = parts_.transport.TryPop();
    if (!event.has_value())
      return;
    if (const auto* failed = std::get_if<ControlLinkFailed>(&*event)) {
      Execute(parts_.control->OnSendFailed(MonotonicNow(), failed->peer));
      continue;
    }
    const auto& received = std::get<ControlReceived>(*event);
    Execute(parts_.control->OnMessage(MonotonicNow(), received.connection,
                                      received.message));
  }
}

void EntryControlLoop::TakePlatformEvents() {
  while (absl::optional<PlatformEvent> event = parts_.platform.TryPop()) {
    const absl::Time now = MonotonicNow();
    if (const auto* changes = std::get_if<PlatformChanges>(&*event))
      Execute(parts_.control->OnPlatformChanges(now, changes->changes));
    if (const auto* list = std::get_if<PlatformListed>(&*event)) {
      Execute(
          parts_.control->OnPlatformList(now, list->revision, list->objects));
    }
    if (const auto* directory = std::get_if<DirectoryRead>(&*event))
      Execute(parts_.control->OnDirectory(now, directory->entries));
  }
}

void EntryControlLoop::Execute(EntryControlActions actions) {
  for (EntryControlAction& action : actions)
    Execute(action);
}

void EntryControlLoop::Execute(EntryControlAction& action) {
  if (const auto* send = std::get_if<SendControl>(&action))
    parts_.transport.Send(send->peer, send->message);
  else if (const auto* reply = std::get_if<ReplyControl>(&action))
    parts_.transport.Reply(reply->connection, reply->message);
  else if (std::holds_alternative<RoutingChanged>(action))
    routing_changed_ = true;
  else if (const auto* role = std::get_if<WatcherRoleChanged>(&action))
    parts_.platform.SetWatching(role->watching);
  else if (auto* directory = std::get_if<skylarkshunt::WriteDirectory>(&action))
    parts_.platform.WriteDirectory(std::move(directory->entries));
  else if (const auto* notice = std::get_if<ControlNotice>(&action))
    LogControlNotice(*notice);
}

void EntryControlLoop::BuildSnapshot() {
  const InstanceRecord& self = parts_.control->self();
  snapshot_ = RoutingSnapshot::Build(self.region, parts_.control->Instances(),
                                     parts_.control->Config(), snapshot_);
  parts_.data.UseSnapshot(snapshot_);
  routing_changed_ = false;
  next_build_ = MonotonicNow() + kSnapshotInterval;
  builds_.Increment();
  services_.Set(snapshot_->service_count());
  targets_.Set(snapshot_->target_count());
}

void EntryControlLoop::PublishStatus() {
  EntryStatus status;
  status.self = parts_.control->self();
  status.instances = parts_.control->Instances();
  status.config = parts_.control->Config();
  status.service_names = ServiceNames(status.config);
  for (ConfigRecord& record : status.config)
    record.body.clear();
  status.services = snapshot_ == nullptr ? 0 : snapshot_->service_count();
  status.targets = snapshot_ == nullptr ? 0 : snapshot_->target_count();
  records_.Set(status.instances.size());
  const bool alone = std::none_of(
      status.instances.begin(), status.instances.end(),
      [&status](const InstanceRecord& record) {
        return record.role == Role::kEntry && record.uid != status.self.uid &&
               record.state < InstanceState::kLeaving;
      });
  parts_.platform.SetIsolated(alone);
  parts_.board.Publish(std::move(status));
  next_status_ = MonotonicNow() + kStatusInterval;
}

absl::flat_hash_map<ServiceUid, std::string> EntryControlLoop::ServiceNames(
    const std::vector<ConfigRecord>& config) {
  absl::flat_hash_map<ServiceUid, std::string> names;
  absl::flat_hash_map<std::string, KnownName> current;
  for (const ConfigRecord& record : config) {
    absl::string_view name = record.key;
    if (record.deleted || !absl::ConsumePrefix(&name, "services/"))
      continue;
    KnownName known = names_[record.key];
    if (known.revision != record.revision) {
      const Result<ServiceConfig> parsed = ParseServiceConfig(record.body);
      known.revision = record.revision;
      if (parsed.has_value())
        known.uid = parsed.value().uid;
    }
    names[known.uid] = std::string(name);
    current[record.key] = known;
  }
  names_.swap(current);
  return names;
}

}  // namespace skylarkshunt
