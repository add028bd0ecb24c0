#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLEET_CONFIGURATION_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/optional.h"
#include "standins/packet_fleet/flow_clients.h"
#include "standins/platform/platform_core.h"

namespace skylarkshunt {

/// A change of a route that keeps its address.
struct RouteMove {
  enum class Kind { kServices, kRemoved, kAdded };
  Kind kind = Kind::kServices;
  Endpoint address;
};

/// The configuration that the operator writes to the store: three routes that
/// stay, others that come and go, and some that change their services. Not
/// thread-safe.
class FleetConfiguration {
 public:
  /// Most routes beside the three.
  static constexpr size_t kMostAdded = 6;

  /// Has `moving_routes` routes that MoveRoute() changes.
  explicit FleetConfiguration(size_t moving_routes);

  /// Writes the first version.
  void WriteFirst(PlatformCore& store);
  /// Writes the current routes with a higher version. Returns the version, or 0
  /// without an answer of the store; the write may then have been executed.
  uint64_t Write(PlatformCore& store);
  /// As above without a higher version.
  uint64_t Rewrite(PlatformCore& store) const;
  /// Adds a route for the next version, with an address that an earlier route
  /// may have had.
  void AddRoute();
  /// Removes the oldest added route for the next version, and returns its
  /// address. Precondition: `added() > 0`.
  Endpoint RemoveRoute();
  size_t added() const { return routes_.size() - kFixedRoutes; }
  /// Splits a route for the next version, ends its split, moves it to another
  /// service, removes it or adds it again. `draw` is random.
  /// Precondition: there is a moving route.
  RouteMove MoveRoute(uint32_t draw);
  /// Routes as clients use them; an added one is the last.
  std::vector<ClientRoute> routes() const;

 private:
  static constexpr size_t kFixedRoutes = 3;

  struct MovingRoute {
    ClientRoute route;
    /// Weights of the services red and blue; without one, it is not named.
    absl::optional<int> red;
    absl::optional<int> blue;
    bool removed = false;
  };

  std::string Document() const;

  uint64_t version_ = 7;
  uint16_t next_port_ = 0;
  std::vector<ClientRoute> routes_;
  std::vector<MovingRoute> moving_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLEET_CONFIGURATION_H_
