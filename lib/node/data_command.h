#ifndef SKYLARKSHUNT_LIB_NODE_DATA_COMMAND_H_
#define SKYLARKSHUNT_LIB_NODE_DATA_COMMAND_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/route_table.h"
#include "skylarkshunt/forwarding/target_report.h"

namespace skylarkshunt {

/// A configuration with the revision by which nodes compare theirs.
struct ConfigurationInForce {
  Revision revision{};
  std::shared_ptr<const RouteTable> routes;
};

struct TargetLeft {
  std::string id;
};

/// Outcome of a check of the target.
enum class TargetProbe : uint8_t { kHealthy, kRefused, kUnclear };

struct BeginShutdownCommand {};

/// What other threads tell the data thread of a node.
using DataCommand = std::variant<ConfigurationInForce,
                                 NodeAddress,
                                 TargetReport,
                                 TargetLeft,
                                 TargetProbe,
                                 BeginShutdownCommand>;

/// Commands that wait for the data thread. It takes them within a round; when
/// the ring is full, a target's report is answered as not taken and comes
/// again, and a configuration replaces older ones.
inline constexpr size_t kMaxDataCommands = 256;

/// What the data thread tells the other threads. The functions only put a value
/// into a ring and are thread-safe.
struct DataNotices {
  /// A node holds a configuration of this revision.
  std::function<void(uint32_t address, Revision revision)> on_revision;
  /// The target should be checked.
  std::function<void()> on_target_doubtful;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_DATA_COMMAND_H_
