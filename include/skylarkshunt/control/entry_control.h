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

/// Number of an inbound control connection, never reused within a process.
enum class ConnectionId : uint64_t {};

/// Sends over an outbound link to the control endpoint `peer`.
struct SendControl {
  Endpoint peer;
  ControlMessage message;
};
/// Replies on the connection on which a message arrived.
struct ReplyControl {
  ConnectionId connection{};
  ControlMessage message;
};
/// Instances or configuration changed; the driver builds a new snapshot.
struct RoutingChanged {};
/// This entry starts or stops watching the platform.
struct WatcherRoleChanged {
  bool watching = false;
};
/// Writes the region's directory object; sent to watcher entries only.
struct WriteDirectory {
  std::vector<Endpoint> entries;
};
/// An event for the operator's log.
struct ControlNotice {
  enum class Kind {
    kInstanceChanged,     ///< `record` is new or changed.
    kConfigApplied,       ///< `config` came into force here.
    kStaleConfigIgnored,  ///< An older revision than the one held arrived.
    kTableFull,           ///< A record was refused because a table is full.
    kRefuted,             ///< This entry refuted an outdated record of itself.
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

/// Maintains membership and configuration for one entry. A state machine
/// without I/O: the caller passes the time with each event, from a clock that
/// continues while the process is suspended. Not thread-safe; the control
/// thread owns it.
class EntryControl {
 public:
  struct Options {
    /// The entry's own record, with its initial incarnation.
    InstanceRecord self;
    /// Control endpoints to contact at start.
    std::vector<Endpoint> seeds;
    /// Seed for the random choice of gossip peers.
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument when `self` is no entry or lacks endpoints.
  static Result<std::unique_ptr<EntryControl>> Create(Options options);
  virtual ~EntryControl() = default;

  /// Called about every kControlTick. A gap above kSuspensionThreshold between
  /// two calls means that the process was suspended.
  virtual EntryControlActions OnTick(absl::Time now) = 0;

  /// A message arrived on an inbound connection, or as a reply on an outbound
  /// link. In the latter case `connection` is 0 and nothing is sent back.
  virtual EntryControlActions OnMessage(absl::Time now,
                                        ConnectionId connection,
                                        const ControlMessage& message) = 0;

  /// An outbound link to `peer` failed or closed.
  virtual EntryControlActions OnSendFailed(absl::Time now, Endpoint peer) = 0;

  /// Changed objects from a watch, in any order and possibly repeated.
  virtual EntryControlActions OnPlatformChanges(
      absl::Time now,
      absl::Span<const ConfigRecord> changes) = 0;

  /// A complete list of the platform's objects at `revision`. Keys that are
  /// held at a lower revision and missing from the list become deleted at
  /// `revision`.
  virtual EntryControlActions OnPlatformList(
      absl::Time now,
      Revision revision,
      absl::Span<const ConfigRecord> objects) = 0;

  /// Entry addresses read from the directory object.
  virtual EntryControlActions OnDirectory(
      absl::Time now,
      absl::Span<const Endpoint> entries) = 0;

  /// The entry begins to shut down and announces kLeaving.
  virtual EntryControlActions OnShutdown(absl::Time now) = 0;

  /// Returns all known instance records, including this entry's own, in no
  /// fixed order.
  virtual std::vector<InstanceRecord> Instances() const = 0;
  /// Returns all known configuration records, including deleted ones.
  virtual std::vector<ConfigRecord> Config() const = 0;
  virtual const InstanceRecord& self() const = 0;
};

/// Time between two calls of OnTick().
inline constexpr absl::Duration kControlTick = absl::Milliseconds(100);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_ENTRY_CONTROL_H_
