#ifndef SKYLARKSHUNT_LIB_NODE_DATA_COMMAND_H_
#define SKYLARKSHUNT_LIB_NODE_DATA_COMMAND_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "skylarkshunt/configuration/configuration_id.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/forwarding/target_report.h"

namespace skylarkshunt {

/// A configuration that is newer than the one of the last such command.
struct ConfigurationInForce {
  ConfigurationId id;
  std::shared_ptr<const RouteTable> routes;
  /// When the command was sent.
  absl::Time sent;
};

/// Outcome of a read of the evacuations by the local node.
struct EvacuationsRead {
  /// What the store has; null if the read failed.
  std::shared_ptr<const EvacuationSet> set;
  /// When the read began.
  absl::Time begun;
};

struct TargetLeft {
  std::string id;
  /// Start of the incarnation that ended, as in TargetReport.
  int64_t started_unix_ms = 0;
};

/// Result of a check of the target.
struct TargetProbe {
  enum class Outcome : uint8_t { kHealthy, kRefused, kUnclear };

  Outcome outcome = Outcome::kUnclear;
  /// Start of the check on the clock of MonotonicNow(). The target may have
  /// restarted since.
  absl::Time began;
};

struct BeginShutdownCommand {};

/// Command that other threads send to the data thread of a node.
using DataCommand = std::variant<ConfigurationInForce,
                                 EvacuationsRead,
                                 NodeAddress,
                                 TargetReport,
                                 TargetLeft,
                                 TargetProbe,
                                 BeginShutdownCommand>;

/// Capacity of the command queue of the data thread, which empties it in every
/// round. When the queue is full, a target's report is rejected and the target
/// repeats it, and a configuration replaces older ones.
inline constexpr size_t kMaxDataCommands = 256;

/// Callbacks from the data thread to other threads. They only push a value to a
/// ring and are thread-safe.
struct DataNotices {
  /// The node at `address` has the configuration `offered`, which is newer than
  /// that of this node.
  std::function<void(uint32_t address, const ConfigurationId& offered)>
      on_configuration_offered;
  /// The evacuations may be outdated and should be read again.
  std::function<void()> on_evacuations_outdated;
  /// The target should be checked.
  std::function<void()> on_target_check_needed;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_DATA_COMMAND_H_
