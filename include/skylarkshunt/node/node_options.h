#ifndef SKYLARKSHUNT_NODE_NODE_OPTIONS_H_
#define SKYLARKSHUNT_NODE_NODE_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/forwarding/target_report.h"
#include "skylarkshunt/http/http_server.h"
#include "skylarkshunt/membership/instance_record.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Startup options of a node that forwards packet flows.
struct NodeOptions {
  Role role = Role::kAgent;
  /// Name of the instance, unique in the deployment.
  std::string name;
  std::string data_centre;
  /// Messages between nodes (UDP) and the operators' HTTP endpoint (TCP). The
  /// port is the same on all nodes.
  Endpoint peers;
  /// Entries: packets of clients (UDP).
  Endpoint data;
  /// Port of every client's address that receives packets for the client.
  uint16_t client_port = 0;
  /// Agents: local address for packets to and from the target (UDP).
  Endpoint target_packets;
  /// Agents: address of the target, for packets (UDP) and its health check
  /// (TCP).
  Endpoint target;
  /// Agents: name of the target's service.
  std::string service;
  /// Readiness check: whether the node accepts new flows (HTTP); port 0 for
  /// none.
  Endpoint readiness;
  /// Agents: reports of the target (HTTP).
  Endpoint target_reports;
  /// Additional address of the operators' endpoint; port 0 for none.
  Endpoint metrics;
  /// Addresses of entries. They are hints and may be outdated or down.
  std::vector<uint32_t> seeds;
  Endpoint store;
  /// Writing calls per second that the store accepts from all nodes together.
  uint32_t store_writes_per_second = 400;
  /// Time within which a change of the configuration must be in force, also
  /// after the store was unavailable.
  absl::Duration change_limit = absl::Seconds(3);
  /// Time after the store's confirmation from which no new flow may reach a
  /// target in an evacuated data centre; zero if evacuations are not used.
  absl::Duration evacuation_limit = absl::ZeroDuration();
  /// Time between two reports of a target.
  absl::Duration target_report_interval = absl::Milliseconds(1200);
  /// Rate of the instance's link, in bytes per second; 0 if unknown.
  uint64_t link_bytes_per_second = 0;
  /// Time between SIGTERM and SIGKILL.
  absl::Duration shutdown_limit = absl::Seconds(6);
  /// In any second a target that is warming up gets at most `warmup_excess`
  /// times the rate of ServiceSettings::warmup_per_second plus `warmup_slack`
  /// opening packets. There is no limit if both are 0.
  double warmup_excess = 0;
  double warmup_slack = 0;
};

/// Callbacks for the handlers of a node's HTTP endpoints. Thread-safe.
struct NodeHooks {
  std::function<bool()> is_ready;
  /// Returns true once the report is certain to be taken into account, false if
  /// the node cannot take it now.
  std::function<bool(const TargetReport&)> on_target_report;
  /// `started_unix_ms` is the start of the incarnation that ends, or 0 if the
  /// target does not report it.
  std::function<bool(absl::string_view id, int64_t started_unix_ms)>
      on_target_left;
};

/// Converts between the formats of a deployment and the product's types.
struct DeploymentAdapter {
  std::shared_ptr<const PacketFormat> packets;
  /// Key of the configuration in the object store.
  std::string configuration_key;
  /// Beginning of the keys of the objects that evacuate a data centre; the rest
  /// is its name.
  std::string evacuation_prefix;
  std::function<Result<RouteTable>(absl::string_view)> read_configuration;
  std::function<HttpServer::Handler(const NodeHooks&)> readiness;
  std::function<HttpServer::Handler(const NodeHooks&)> target_reports;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_NODE_NODE_OPTIONS_H_
