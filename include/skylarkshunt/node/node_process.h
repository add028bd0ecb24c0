#ifndef SKYLARKSHUNT_NODE_NODE_PROCESS_H_
#define SKYLARKSHUNT_NODE_NODE_PROCESS_H_

#include <memory>

#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/node/node_options.h"

namespace skylarkshunt {

/// A running node that forwards packet flows, as an entry or an agent. The
/// destructor ends its threads. All methods are thread-safe.
class NodeProcess {
 public:
  struct Options {
    NodeOptions node;
    DeploymentAdapter adapter;
    Incarnation incarnation{};
    /// Must outlive the process object.
    CounterRegistry* counters = nullptr;
    uint64_t random_seed = 1;
  };

  /// Errors: kAddressInUse, kSystem, kInvalidArgument.
  static Result<std::unique_ptr<NodeProcess>> Start(const Options& options);
  virtual ~NodeProcess() = default;

  /// Begins the graceful shutdown. Repeated calls have no effect.
  virtual void BeginShutdown() = 0;
  /// Returns whether the graceful shutdown is complete.
  virtual bool ended() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_NODE_NODE_PROCESS_H_
