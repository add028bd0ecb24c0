#ifndef SKYLARKSHUNT_FORWARDING_FORMER_SERVICES_H_
#define SKYLARKSHUNT_FORWARDING_FORMER_SERVICES_H_

#include <cstddef>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/forwarding/route_table.h"

namespace skylarkshunt {

/// Services that earlier configurations named for an address. A configuration
/// leaves open flows where they are, so their agents may still hold flows. That
/// includes flows of a route that was removed and added again before they
/// ended. Pure and not thread-safe.
class FormerServices {
 public:
  /// Records that `next` replaces `previous`, which is null for the first
  /// configuration. If versions between them are missing, IsComplete() is false
  /// for kFlowLifetime.
  void Record(const RouteTable* previous,
              const RouteTable& next,
              absl::Time now);
  /// Returns the services of `route`, which is the present one to `address`,
  /// and those that it named within kFlowLifetime.
  std::vector<ServiceUid> Find(Endpoint address,
                               const Route& route,
                               absl::Time now) const;
  /// Whether Find() returns all services that may hold a flow. False until the
  /// configurations of a whole kFlowLifetime are known.
  bool IsComplete(absl::Time now) const { return now >= complete_at_; }
  /// Removes what is older than kFlowLifetime.
  void Expire(absl::Time now);

  /// A flow older than this may be discarded.
  static constexpr absl::Duration kFlowLifetime = absl::Seconds(70);
  /// Maximum number of services of all addresses. Beyond it IsComplete() is
  /// false for kFlowLifetime.
  static constexpr size_t kMaxServices = 16'384;

 private:
  struct Former {
    ServiceUid service{};
    /// Time at which a configuration without it came into force.
    absl::Time dropped;
  };

  /// Records that a configuration without `service` came into force.
  void Add(Endpoint address, ServiceUid service, absl::Time now);

  absl::flat_hash_map<Endpoint, std::vector<Former>> former_;
  size_t size_ = 0;
  absl::Time complete_at_ = absl::InfiniteFuture();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_FORMER_SERVICES_H_
