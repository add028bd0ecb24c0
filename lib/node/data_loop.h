#ifndef SKYLARKSHUNT_LIB_NODE_DATA_LOOP_H_
#define SKYLARKSHUNT_LIB_NODE_DATA_LOOP_H_

#include <memory>
#include <string>

#include "data_command.h"
#include "decision_history.h"
#include "node_status.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/node/node_options.h"

namespace skylarkshunt {

/// The data thread of a node. It forwards packets and exchanges reports with
/// other nodes. All methods are thread-safe.
class DataLoop {
 public:
  struct Options {
    NodeOptions node;
    std::shared_ptr<const PacketFormat> packets;
    Incarnation incarnation{};
    /// Must outlive the loop.
    CounterRegistry* counters = nullptr;
    DataNotices notices;
    /// Both must outlive the loop.
    DecisionHistory* history = nullptr;
    NodeStatusBoard* board = nullptr;
  };

  /// Creates the loop for the role in `options`. Errors: kAddressInUse,
  /// kSystem.
  static Result<std::unique_ptr<DataLoop>> Open(const Options& options);
  virtual ~DataLoop() = default;

  /// Starts the thread.
  virtual void Start() = 0;
  /// Ends the thread. Methods may still be called, but have no effect.
  virtual void Stop() = 0;
  /// Queues a command. Returns false if the queue is full.
  virtual bool Command(DataCommand command) = 0;
  /// Returns whether the node accepts new flows.
  virtual bool is_ready() const = 0;
  /// Returns whether a message of another node arrived within
  /// kNodePresenceTimeout.
  virtual bool is_connected() const = 0;
  /// Returns the number of responsive entries that precede this one in an
  /// order that all entries agree on.
  virtual size_t entry_rank() const = 0;
  /// Returns whether the graceful shutdown is complete.
  virtual bool ended() const = 0;
};

Result<std::unique_ptr<DataLoop>> OpenEntryLoop(
    const DataLoop::Options& options);
Result<std::unique_ptr<DataLoop>> OpenAgentLoop(
    const DataLoop::Options& options);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_DATA_LOOP_H_
