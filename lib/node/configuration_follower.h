#ifndef SKYLARKSHUNT_LIB_NODE_CONFIGURATION_FOLLOWER_H_
#define SKYLARKSHUNT_LIB_NODE_CONFIGURATION_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "data_command.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/http/http_server.h"
#include "skylarkshunt/node/node_options.h"

namespace skylarkshunt {

/// HTTP path at a node's peer address that serves its configuration to peers.
inline constexpr absl::string_view kConfigurationPath = "/configuration/";

/// Keeps the configuration of a node up to date. An entry follows the object
/// store. Every node also fetches a newer configuration from peers that have
/// it, because the store may reject the node's calls. What is newer follows
/// from ConfigurationId, so that a store that was restored from an older copy
/// does not put an older version into force again. The node registers its
/// address in the store and reads the addresses of other nodes. Runs two
/// threads, because each call may block until its timeout. All methods are
/// thread-safe.
class ConfigurationFollower {
 public:
  struct Options {
    NodeOptions node;
    std::string key;
    std::function<Result<RouteTable>(absl::string_view)> read;
    /// Must outlive the follower.
    CounterRegistry* counters = nullptr;
    /// Sends a configuration or a node's address to the data thread. Returns
    /// false if the data thread cannot take it now.
    std::function<bool(DataCommand)> command;
    /// Whether a message of another node arrived within kNodePresenceTimeout.
    std::function<bool()> is_connected;
    /// As DataLoop::entry_rank().
    std::function<size_t()> entry_rank;
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument for a store address without a port, and for a
  /// change limit that is not positive; kSystem if no descriptor is free.
  static Result<std::unique_ptr<ConfigurationFollower>> Create(
      const Options& options);
  virtual ~ConfigurationFollower() = default;

  virtual void Start() = 0;
  /// Reports that the node at `address` has the configuration `offered`.
  virtual void OnOffer(uint32_t address, const ConfigurationId& offered) = 0;
  /// Answers a peer's request for a part of the configuration. `part` is the
  /// path after kConfigurationPath: version and revision of the requested
  /// configuration and the offset in the compressed document, as decimal
  /// numbers with slashes between them.
  virtual HttpResponse AnswerPart(absl::string_view part) = 0;
  /// Returns the configuration in force, or null if there is none.
  virtual std::shared_ptr<const RouteTable> routes() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_CONFIGURATION_FOLLOWER_H_
