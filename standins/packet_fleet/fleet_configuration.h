#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLEET_CONFIGURATION_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "standins/packet_fleet/flow_clients.h"
#include "standins/platform/platform_core.h"

namespace skylarkshunt {

/// The configuration that the operator writes to the store: three routes that
/// stay, and others that come and go. Not thread-safe.
class FleetConfiguration {
 public:
  /// Most routes beside the three.
  static constexpr size_t kMostAdded = 6;

  /// Writes the first version.
  void WriteFirst(PlatformCore& store);
  /// Writes the current routes with a higher version. Returns the version, or 0
  /// without an answer of the store; the write may then have been executed.
  uint64_t Write(PlatformCore& store);
  /// Adds a route for the next version, with an address that an earlier route
  /// may have had.
  void AddRoute();
  /// Removes the oldest added route for the next version, and returns its
  /// address. Precondition: `added() > 0`.
  Endpoint RemoveRoute();
  size_t added() const { return routes_.size() - kFixedRoutes; }
  /// Routes as clients use them.
  const std::vector<ClientRoute>& routes() const { return routes_; }

 private:
  static constexpr size_t kFixedRoutes = 3;

  std::string Document() const;

  uint64_t version_ = 7;
  uint16_t next_port_ = 0;
  std::vector<ClientRoute> routes_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLEET_CONFIGURATION_H_
