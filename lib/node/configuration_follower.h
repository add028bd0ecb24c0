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

/// Where a node hands its configuration on, at its peer address.
inline constexpr absl::string_view kConfigurationPath = "/configuration/";

/// Keeps the configuration of a node: an entry follows the object store, and
/// every node takes a newer one from the node that has it, so that a node that
/// the store turns away is not left behind. The node also registers its address
/// in the store and reads those of others. Two threads of its own, because each
/// call may wait for its time-out. All methods are thread-safe.
class ConfigurationFollower {
 public:
  struct Options {
    NodeOptions node;
    std::string key;
    std::function<Result<RouteTable>(absl::string_view)> read;
    /// Must outlive the follower.
    CounterRegistry* counters = nullptr;
    /// Passes a configuration or a node's address to the data thread; false
    /// when it cannot be taken now.
    std::function<bool(DataCommand)> command;
    /// Whether another node has been heard lately.
    std::function<bool()> is_connected;
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument for a store address without a port.
  static Result<std::unique_ptr<ConfigurationFollower>> Create(
      const Options& options);
  virtual ~ConfigurationFollower() = default;

  virtual void Start() = 0;
  /// A node holds a configuration of this revision.
  virtual void OnRevision(uint32_t address, Revision revision) = 0;
  /// Answers another node that asks for a part of the configuration held;
  /// `part` is what follows kConfigurationPath: the revision that it wants, a
  /// slash, and the position in the compressed document.
  virtual HttpResponse AnswerPart(absl::string_view part) = 0;
  /// The configuration in force, or null.
  virtual std::shared_ptr<const RouteTable> routes() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_CONFIGURATION_FOLLOWER_H_
