#ifndef SKYLARKSHUNT_LIB_NODE_EVACUATION_FOLLOWER_H_
#define SKYLARKSHUNT_LIB_NODE_EVACUATION_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "data_command.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/node/node_options.h"

namespace skylarkshunt {

/// Follows the objects of the store that evacuate a data centre, for an entry.
/// Runs one thread, because each call may block until its timeout. All methods
/// are thread-safe.
class EvacuationFollower {
 public:
  struct Options {
    NodeOptions node;
    /// As DeploymentAdapter::evacuation_prefix.
    std::string prefix;
    /// Must outlive the follower.
    CounterRegistry* counters = nullptr;
    /// Sends the outcome of a read to the data thread. Returns false if the
    /// data thread cannot take it now.
    std::function<bool(DataCommand)> command;
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument for a store address without a port, and for an
  /// evacuation limit that is not positive; kSystem if no descriptor is free.
  static Result<std::unique_ptr<EvacuationFollower>> Create(
      const Options& options);
  virtual ~EvacuationFollower() = default;

  virtual void Start() = 0;
  /// Reads all objects as soon as the present call ends.
  virtual void Refresh() = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_EVACUATION_FOLLOWER_H_
