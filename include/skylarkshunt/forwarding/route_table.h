#ifndef SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_H_
#define SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Returns the identity of the service called `name`, for deployments that
/// identify services by name. Thread-safe.
ServiceUid MakeServiceUid(absl::string_view name);

/// Whether a request may be repeated after any failure.
enum class RequestKind : uint8_t {
  kIdempotent = 0,
  kNonIdempotent = 1,
  kDownload = 2,
};

/// A share of a route's new flows.
struct RouteShare {
  ServiceUid service{};
  uint32_t weight = 1;
};

/// Route of the flows to one address of the deployment.
struct Route {
  std::string name;
  /// At least one; most routes have exactly one.
  std::vector<RouteShare> shares;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Time after which a client gives up.
  absl::Duration deadline = absl::InfiniteDuration();
  /// Time within which an answer has its full value.
  absl::Duration latency_objective = absl::InfiniteDuration();
  /// 0 is the most urgent.
  uint32_t priority = 0;
};

/// Configuration of a service.
struct ServiceSettings {
  std::string name;
  /// Path of the target's own health check.
  std::string health_path;
  uint32_t max_connections = 0;
  /// Time after its start for which a target is cold.
  absl::Duration warmup;
  /// Requests per second that a cold target can handle; 0 if that is not
  /// limited.
  double warmup_per_second = 0;
};

/// Longest text about a value that could not be read.
inline constexpr size_t kMaxIgnoredTextBytes = 200;

/// Routes, services and values of a configuration that could not be read.
struct IgnoredValues {
  size_t count = 0;
  /// Where the first one is and what is wrong with it; at most
  /// kMaxIgnoredTextBytes.
  std::string first;
};

/// One version of the configuration, immutable once it is in force.
struct RouteTable {
  /// Version set by the operator.
  uint64_t version = 0;
  absl::flat_hash_map<Endpoint, Route> routes;
  absl::flat_hash_map<ServiceUid, ServiceSettings> services;
  /// A flow without packets for this long may be removed.
  absl::Duration idle_timeout = absl::Seconds(60);
  /// Set on the node that read the deployment's own format. It is not sent to
  /// other nodes.
  IgnoredValues ignored;

  /// Returns the route to `address`, or null. Thread-safe.
  const Route* Find(Endpoint address) const;
};

/// Returns the service for a new flow. The same flow always gets the same
/// service while the shares stay unchanged. Precondition: the route has a
/// share. Thread-safe.
ServiceUid ChooseService(const Route& route, const FlowId& flow);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_H_
