#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_FLEET_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "standins/packet_fleet/entry_rotation.h"
#include "standins/packet_fleet/fleet_configuration.h"
#include "standins/packet_fleet/flow_clients.h"
#include "standins/packet_fleet/flow_ledger.h"
#include "standins/packet_fleet/flow_target.h"
#include "standins/packet_fleet/stream_proxy.h"
#include "standins/platform/platform_server.h"
#include "standins/process/child_process.h"

namespace skylarkshunt {

/// Nodes as real processes on 127.0.0.0/8, with stand-ins for the store, the
/// routers, the targets and the clients. Not thread-safe.
class PacketFleet {
 public:
  struct Options {
    /// Second number of all addresses, so that fleets do not meet.
    uint8_t network = 70;
    int entries = 3;
    /// Targets of each of the two services.
    int targets = 3;
    int requests_per_second = 120;
    /// Flows of a hundred that stay open for many requests.
    int kept_percent = 0;
    /// Mean time of a request at a target, and its slots.
    absl::Duration work_time = absl::Milliseconds(15);
    size_t slots = 4;
    /// Routes that MoveRoute() changes.
    size_t moving_routes = 0;
    uint32_t seed = 1;
    /// Time until requests are answered.
    absl::Duration start_limit = absl::Seconds(20);
    /// Folder of the programs, and where settings and logs go.
    std::string programs;
    std::string work;
  };

  /// A node's process. The index counts entries first, then agents.
  struct Node {
    std::string name;
    std::string settings;
    Endpoint readiness;
    Endpoint data;
    bool entry = false;
    std::unique_ptr<ChildProcess> process;
  };

  /// Starts everything and returns once requests are answered. Errors: as the
  /// parts, kUnavailable when nothing is answered in time,
  /// kInvalidArgument for more nodes than there are addresses.
  static Result<std::unique_ptr<PacketFleet>> Start(const Options& options);
  ~PacketFleet();

  /// Starts the process of a node that has ended. Errors: kNotFound, kSystem.
  Result<void> StartNode(size_t index);
  std::vector<Node>& nodes() { return nodes_; }
  const std::vector<Node>& nodes() const { return nodes_; }
  std::vector<std::unique_ptr<FlowTarget>>& targets() { return targets_; }
  PlatformCore& store() { return store_->core(); }
  /// The way from the nodes to the store.
  StreamProxy& store_path() { return *store_path_; }
  /// Writes the configuration with a version that is one higher. Returns the
  /// version, or 0 where the store does not take it.
  uint64_t ChangeConfiguration();
  /// Writes the present configuration again, which a restored store may have
  /// lost. Returns its version, or 0 where the store does not take it.
  uint64_t RewriteConfiguration();
  /// As ChangeConfiguration() with one more route, which clients use at once.
  uint64_t AddRoute();
  /// As above with one route less; clients open no more flows with it.
  uint64_t RemoveRoute();
  /// As above with a random change of a route that keeps its address.
  /// Precondition: there are moving routes.
  uint64_t MoveRoute(uint32_t draw);
  size_t added_routes() const { return configuration_.added(); }
  /// Version of the configuration in force at a node; 0 without an answer.
  uint64_t VersionInForce(size_t index) const;
  FlowClients& clients() { return *clients_; }
  const FlowLedger& ledger() const { return ledger_; }
  const Options& options() const { return options_; }

 private:
  explicit PacketFleet(const Options& options)
      : options_(options), configuration_(options.moving_routes) {}

  Result<void> StartStore();
  Result<void> AddNode(int number, int target);
  Result<void> StartClients();
  Result<void> AwaitAnswers();
  Endpoint At(int host, uint16_t port) const;

  const Options options_;
  FlowLedger ledger_;
  FleetConfiguration configuration_;
  std::unique_ptr<PlatformServer> store_;
  std::unique_ptr<StreamProxy> store_path_;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<FlowTarget>> targets_;
  std::unique_ptr<FlowClients> clients_;
  std::unique_ptr<EntryRotation> rotation_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_FLEET_H_
