#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "driver.h"

namespace skylarkshunt {
namespace {

/// A change reaches an entry or agent after the fixed part and a drawn part.
constexpr absl::Duration kControlDelay = absl::Milliseconds(500);
constexpr absl::Duration kControlJitter = absl::Seconds(1);
/// Until the fabric notices an entry that begins or fails its health check.
constexpr absl::Duration kFabricDelay = absl::Milliseconds(500);
/// An entry that leaves forwards until it has been quiet for so long.
constexpr absl::Duration kEntryLinger = absl::Seconds(3);
constexpr uint32_t kEntryAddress = 0x0a000000;
constexpr uint16_t kPort = 7000;

auto Rank(const InstanceRecord& r) {
  return std::make_tuple(r.incarnation, r.sequence, r.state);
}

}  // namespace

absl::Duration ReplayDriver::ControlDelay() {
  return kControlDelay + kControlJitter * Draw();
}

void ReplayDriver::AddEntry() {
  auto entry = std::make_unique<Entry>();
  Router::Options options;
  options.entry =
      Endpoint{kEntryAddress + static_cast<uint32_t>(entries_.size()), kPort};
  options.incarnation = Incarnation{1};
  options.policy = options_.side.placement;
  options.random_seed = random_();
  entry->router = std::move(Router::Create(options).value());
  entry->data = options.entry;
  // A joining entry receives all records before the fabric uses it.
  for (const Agent& agent : agents_)
    entry->instances[agent.record.uid] = agent.record;
  for (const auto& [name, service] : services_) {
    const std::string key = absl::StrCat("services/", name);
    entry->config[key] = ConfigRecord{key, service.revision, false,
                                      WriteServiceConfig(service.config)};
  }
  entry->sprayed = entries_.size() < options_.entries;
  Rebuild(*entry);
  entries_.push_back(std::move(entry));
}

void ReplayDriver::OnEvent(const TraceEntryEvent& event) {
  if (event.kind != TraceEntryEvent::Kind::kNew)
    return EndEntry(event);
  AddEntry();
  Entry* entry = entries_.back().get();
  At(kFabricDelay, [entry] { entry->sprayed = true; });
}

void ReplayDriver::EndEntry(const TraceEntryEvent& event) {
  if (event.entry >= entries_.size()) {
    problem_ = absl::StrCat("the trace ends the unknown entry ", event.entry);
    return;
  }
  Entry* entry = entries_[event.entry].get();
  At(kFabricDelay, [entry] { entry->sprayed = false; });
  if (event.kind == TraceEntryEvent::Kind::kLost)
    entry->alive = false;
  else
    At(kFabricDelay + kEntryLinger, [entry] { entry->alive = false; });
}

void ReplayDriver::Publish(const InstanceRecord& record) {
  for (const auto& known : entries_) {
    Entry* entry = known.get();
    const absl::Duration delay =
        now_ < origin_ ? absl::ZeroDuration() : ControlDelay();
    At(delay, [this, entry, record] { Learn(*entry, record); });
  }
}

void ReplayDriver::Learn(Entry& entry, const InstanceRecord& record) {
  InstanceRecord& known = entry.instances[record.uid];
  if (Rank(record) < Rank(known))
    return;
  known = record;
  Rebuild(entry);
}

void ReplayDriver::Publish(const ConfigRecord& record) {
  for (const auto& known : entries_) {
    Entry* entry = known.get();
    const absl::Duration delay =
        now_ < origin_ ? absl::ZeroDuration() : ControlDelay();
    At(delay, [this, entry, record] {
      ConfigRecord& held = entry->config[record.key];
      if (record.revision < held.revision)
        return;
      held = record;
      Rebuild(*entry);
    });
  }
}

void ReplayDriver::Rebuild(Entry& entry) {
  std::vector<InstanceRecord> instances;
  for (const auto& [uid, record] : entry.instances)
    instances.push_back(record);
  std::vector<ConfigRecord> config;
  for (const auto& [key, record] : entry.config)
    config.push_back(record);
  entry.snapshot =
      RoutingSnapshot::Build(kReplayRegion, instances, config, entry.snapshot);
  entry.router->UseSnapshot(entry.snapshot);
}

}  // namespace skylarkshunt
