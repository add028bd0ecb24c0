#ifndef SKYLARKSHUNT_CONTROL_AGENT_CONTROL_H_
#define SKYLARKSHUNT_CONTROL_AGENT_CONTROL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/control/entry_control.h"
#include "skylarkshunt/control/messages.h"

namespace skylarkshunt {

/// The service's configuration to put into force: the newest, or a deletion.
/// Comes after self() has taken the service's uid.
struct ServiceChanged {
  ConfigRecord record;
};
/// The operator's drain order for this target changed.
struct DrainOrder {
  bool drain = false;
};
/// The process must go on under a higher incarnation.
struct RaiseIncarnation {
  Incarnation incarnation{};
};
/// No relay is known; the driver reads the platform's directory.
struct RequestDirectory {};

using AgentControlAction = std::variant<SendControl,
                                        ServiceChanged,
                                        DrainOrder,
                                        RaiseIncarnation,
                                        RequestDirectory,
                                        ControlNotice>;
using AgentControlActions = std::vector<AgentControlAction>;

/// Heartbeats and configuration of one agent: a pure state machine. Not
/// thread-safe; the control thread owns it.
class AgentControl {
 public:
  struct Options {
    /// `service` and `uid` may be 0: the agent learns them from its service's
    /// record and then takes uid MakeTargetUid(service, target address).
    InstanceRecord self;
    std::string service_name;
    std::vector<Endpoint> seeds;
    uint64_t random_seed = 1;
  };

  /// Errors: kInvalidArgument when `self` is no agent or lacks end points.
  static Result<std::unique_ptr<AgentControl>> Create(Options options);
  virtual ~AgentControl() = default;

  /// Called about every kControlTick.
  virtual AgentControlActions OnTick(absl::Time now) = 0;
  /// An answer arrived on the outbound link to `peer`.
  virtual AgentControlActions OnMessage(absl::Time now,
                                        Endpoint peer,
                                        const ControlMessage& message) = 0;
  virtual AgentControlActions OnSendFailed(absl::Time now, Endpoint peer) = 0;
  virtual AgentControlActions OnDirectory(
      absl::Time now,
      absl::Span<const Endpoint> entries) = 0;
  /// The agent core changed its state or, after a pause, its incarnation.
  virtual AgentControlActions OnStateChanged(absl::Time now,
                                             InstanceState state,
                                             Incarnation incarnation) = 0;
  /// The agent applies the service's record of this revision.
  virtual AgentControlActions OnApplied(absl::Time now, Revision revision) = 0;

  virtual const InstanceRecord& self() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_AGENT_CONTROL_H_
