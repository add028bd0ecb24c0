#include "skylarkshunt/placement/routing_snapshot.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/strip.h"

namespace skylarkshunt {
namespace {

constexpr absl::string_view kServicePrefix = "services/";

/// The targets of one service, split into those of the local region and others.
struct TargetGroup {
  std::vector<Candidate> serving_local;
  std::vector<Candidate> serving_remote;
  std::vector<Candidate> ejected_local;
  std::vector<Candidate> ejected_remote;
};
using TargetGroups = absl::flat_hash_map<ServiceUid, TargetGroup>;

void AddToGroup(absl::string_view region,
                const InstanceRecord& record,
                TargetGroup& group) {
  const Candidate candidate{record.uid, record.incarnation, record.data};
  const bool local = absl::string_view(record.region) == region;
  if (record.state == InstanceState::kServing)
    (local ? group.serving_local : group.serving_remote).push_back(candidate);
  if (record.state == InstanceState::kEjected)
    (local ? group.ejected_local : group.ejected_remote).push_back(candidate);
}

/// Adds the ejected targets when fewer than half are serving: when many targets
/// fail at once, wrong health results are more likely than real faults.
std::vector<Candidate> ApplyPanicThreshold(
    std::vector<Candidate> serving,
    absl::Span<const Candidate> ejected) {
  if (serving.size() < ejected.size())
    serving.insert(serving.end(), ejected.begin(), ejected.end());
  return serving;
}

std::vector<Candidate> EligibleTargets(TargetGroup group) {
  std::vector<Candidate> targets =
      ApplyPanicThreshold(std::move(group.serving_local), group.ejected_local);
  const bool only_ejected_local =
      !targets.empty() && targets.size() == group.ejected_local.size();
  if (targets.empty() ||
      (only_ejected_local && !group.serving_remote.empty())) {
    targets = ApplyPanicThreshold(std::move(group.serving_remote),
                                  group.ejected_remote);
  }
  std::sort(
      targets.begin(), targets.end(),
      [](const Candidate& a, const Candidate& b) { return a.uid < b.uid; });
  return targets;
}

std::shared_ptr<const ServiceTable> MakeTable(
    absl::Span<const Candidate> targets,
    const std::shared_ptr<const RoutedService>& previous,
    ServiceUid uid) {
  if (previous == nullptr || previous->config.uid != uid)
    return ServiceTable::Build(targets, nullptr);
  if (previous->table->SameTargets(targets))
    return previous->table;
  return ServiceTable::Build(targets, previous->table);
}

std::shared_ptr<const RoutedService> MakeService(
    const ConfigRecord& record,
    TargetGroups& groups,
    const std::shared_ptr<const RoutedService>& previous) {
  auto service = std::make_shared<RoutedService>();
  if (previous != nullptr && previous->revision == record.revision) {
    service->config = previous->config;
  } else {
    Result<ServiceConfig> parsed = ParseServiceConfig(record.body);
    if (!parsed.has_value())
      return previous;
    service->config = std::move(parsed.value());
  }
  service->revision = record.revision;
  service->table =
      MakeTable(EligibleTargets(std::move(groups[service->config.uid])),
                previous, service->config.uid);
  const bool unchanged = previous != nullptr &&
                         previous->revision == service->revision &&
                         previous->table == service->table;
  return unchanged ? previous : service;
}

}  // namespace

std::shared_ptr<const RoutingSnapshot> RoutingSnapshot::Build(
    absl::string_view region,
    absl::Span<const InstanceRecord> instances,
    absl::Span<const ConfigRecord> config,
    const std::shared_ptr<const RoutingSnapshot>& previous) {
  auto snapshot = std::shared_ptr<RoutingSnapshot>(new RoutingSnapshot());
  TargetGroups groups;
  for (const InstanceRecord& record : instances) {
    if (record.role != Role::kAgent)
      continue;
    const Candidate candidate{record.uid, record.incarnation, record.data};
    snapshot->targets_[record.uid] = RoutedTarget{candidate, record.state};
    AddToGroup(region, record, groups[record.service]);
  }
  for (const ConfigRecord& record : config) {
    absl::string_view name = record.key;
    if (record.deleted || !absl::ConsumePrefix(&name, kServicePrefix))
      continue;
    std::shared_ptr<const RoutedService> last;
    if (previous != nullptr) {
      auto found = previous->services_.find(name);
      if (found != previous->services_.end())
        last = found->second;
    }
    auto service = MakeService(record, groups, last);
    if (service != nullptr)
      snapshot->services_[name] = std::move(service);
  }
  return snapshot;
}

const RoutedService* RoutingSnapshot::FindService(
    absl::string_view name) const {
  auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second.get();
}

const RoutedTarget* RoutingSnapshot::FindTarget(InstanceUid uid) const {
  auto found = targets_.find(uid);
  return found == targets_.end() ? nullptr : &found->second;
}

}  // namespace skylarkshunt
