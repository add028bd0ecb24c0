#ifndef SKYLARKSHUNT_PLACEMENT_ROUTING_SNAPSHOT_H_
#define SKYLARKSHUNT_PLACEMENT_ROUTING_SNAPSHOT_H_

#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/configuration/config_record.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/membership/instance_record.h"
#include "skylarkshunt/placement/service_table.h"

namespace skylarkshunt {

/// Routing data of one service.
struct RoutedService {
  ServiceConfig config;
  Revision revision{};
  /// Targets that may take new flows.
  std::shared_ptr<const ServiceTable> table;
};

/// Routing data of one target, for bound flows.
struct RoutedTarget {
  Candidate candidate;
  InstanceState state = InstanceState::kServing;
};

/// The services and targets that an entry knows at one point in time. Immutable
/// and thread-safe; the control thread builds each new one for the data thread.
class RoutingSnapshot {
 public:
  /// Builds a snapshot. Tables whose targets did not change are taken from
  /// `previous`, which may be null. When a configuration record does not parse,
  /// its service keeps its state from `previous`.
  /// A target of another region takes new flows only when the service has no
  /// serving target in `region`. Ejected targets are eligible again when fewer
  /// than half of the targets that are not draining are serving.
  static std::shared_ptr<const RoutingSnapshot> Build(
      absl::string_view region,
      absl::Span<const InstanceRecord> instances,
      absl::Span<const ConfigRecord> config,
      const std::shared_ptr<const RoutingSnapshot>& previous);

  /// Returns the service named `name`, or null.
  const RoutedService* FindService(absl::string_view name) const;
  /// Returns the target in any state, or null. A target that was reported down
  /// is included while its record is held: the report may be wrong, and only
  /// that target knows whether a non-idempotent request ran.
  const RoutedTarget* FindTarget(InstanceUid uid) const;
  /// Number of services in this snapshot.
  size_t service_count() const { return services_.size(); }
  /// Number of targets in this snapshot, in any state.
  size_t target_count() const { return targets_.size(); }

 private:
  RoutingSnapshot() = default;

  absl::flat_hash_map<std::string, std::shared_ptr<const RoutedService>>
      services_;
  absl::flat_hash_map<InstanceUid, RoutedTarget> targets_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PLACEMENT_ROUTING_SNAPSHOT_H_
