#ifndef SKYLARKSHUNT_CONTROL_ENTRY_CONTROL_H_
#define SKYLARKSHUNT_CONTROL_ENTRY_CONTROL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/control/messages.h"

namespace skylarkshunt {

/// Number of an inbound control connection, never used twice in a process.
enum class ConnectionId : uint64_t {};

/// Sends over an outbound link to the control end point `peer`.
struct SendControl {
  Endpoint peer;
  ControlMessage message;
};
/// Answers on the connection on which a message arrived.
struct ReplyControl {
  ConnectionId connection{};
  ControlMessage message;
};
/// Instances or configuration changed; the driver builds a new snapshot.
struct RoutingChanged {};
/// This entry is now (or no longer) one that watches the platform.
struct WatcherRoleChanged {
  bool watching = false;
};
/// Writes the region's directory object; sent to watcher entries only.
struct WriteDirectory {
  std::vector<Endpoint> entries;
};
/// Something an operator should see in the log.
struct ControlNotice {
  enum class Kind {
    kInstanceChanged,     ///< `record` is new or changed state.
    kConfigApplied,       ///< `config` came into force here.
    kStaleConfigIgnored,  ///< An older revision than the one held arrived.
    kTableFull,           ///< A record was refused.
    kRefuted,             ///< This instance was reported down and refuted it.
  };
  Kind kind = Kind::kInstanceChanged;
  InstanceRecord record;
  ConfigRecord config;
};

using EntryControlAction = std::variant<SendControl,
                                        ReplyControl,
                                        RoutingChanged,
                                        WatcherRoleChanged,
                                        WriteDirectory,
                                        ControlNotice>;
using EntryControlActions = std::vector<EntryControlAction>;

/// Membership and configuration of one entry: a pure state machine. Time goes
/// in with each event, from a clock that goes on while the process is
/// suspended. Not thread-safe; the control thread owns it.
class EntryControl {
 public:
  struct Options {
    /// The entry's own record, with the incarnation that it starts with.
    InstanceRecord self;
    /// Control end points to contact at the start.
    std::vector<Endpoint> seeds;
    /// Seed of the choice of gossip peers.
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument when `self` is no entry or lacks end points.
  static Result<std::unique_ptr<EntryControl>> Create(Options options);
  virtual ~EntryControl() = default;

  /// Called about every kControlTick; a longer gap counts as a pause.
  virtual EntryControlActions OnTick(absl::Time now) = 0;

  /// A message arrived on an inbound connection, or as the answer on an
  /// outbound link (then `connection` is 0 and is not replied to).
  virtual EntryControlActions OnMessage(absl::Time now,
                                        ConnectionId connection,
                                        const ControlMessage& message) = 0;

  /// An outbound link to `peer` failed or closed.
  virtual EntryControlActions OnSendFailed(absl::Time now, Endpoint peer) = 0;

  /// Changed objects of a watch, in any order, possibly repeated.
  virtual EntryControlActions OnPlatformChanges(
      absl::Time now,
      absl::Span<const ConfigRecord> changes) = 0;

  /// A complete list of the platform at `revision`. Keys held at a lower
  /// revision that the list lacks become deleted at `revision`.
  virtual EntryControlActions OnPlatformList(
      absl::Time now,
      Revision revision,
      absl::Span<const ConfigRecord> objects) = 0;

  /// Entry addresses read from the directory object.
  virtual EntryControlActions OnDirectory(
      absl::Time now,
      absl::Span<const Endpoint> entries) = 0;

  /// The entry begins to shut down: announces kLeaving.
  virtual EntryControlActions OnShutdown(absl::Time now) = 0;

  /// All records known, this entry's own included, in no fixed order.
  virtual std::vector<InstanceRecord> Instances() const = 0;
  /// All configuration records known, deleted ones included.
  virtual std::vector<ConfigRecord> Config() const = 0;
  virtual const InstanceRecord& self() const = 0;
};

/// Time between two calls of OnTick().
inline constexpr absl::Duration kControlTick = absl::Milliseconds(100);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_ENTRY_CONTROL_H_
