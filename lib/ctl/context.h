#ifndef SKYLARKSHUNT_LIB_CTL_CONTEXT_H_
#define SKYLARKSHUNT_LIB_CTL_CONTEXT_H_

#include <memory>
#include <string>

#include "arguments.h"
#include "instance_status.h"
#include "skylarkshunt/ctl/run.h"
#include "skylarkshunt/platform/platform_client.h"

namespace skylarkshunt {

/// One run of one command.
struct Context {
  const CtlEnvironment& environment;
  const Arguments& arguments;
};

/// Connects to the platform of the command line. Precondition: --platform is
/// given.
Result<std::unique_ptr<PlatformClient>> ConnectPlatform(const Context& context);

/// Reads GET /status of the entry of the command line. Precondition: --entry is
/// given. Errors: kUnavailable, kMalformedMessage.
Result<EntryStatus> ReadEntry(const Context& context);

/// Finds the agent of target `uid`. Errors: kNotFound.
Result<InstanceStatus> FindTarget(const EntryStatus& status, InstanceUid uid);

/// Reads GET /status of an agent. Errors: kUnavailable, kMalformedMessage.
Result<AgentStatus> ReadAgent(const InstanceStatus& instance);

/// Returns the key of the service object of `name`.
std::string ServiceKey(absl::string_view name);

// The commands. Each prints its result and returns an exit code, or an error
// that the dispatcher prints.
Result<ExitCode> ServiceApply(const Context& context);
Result<ExitCode> ServiceStatus(const Context& context);
Result<ExitCode> ServiceList(const Context& context);
Result<ExitCode> ServiceShow(const Context& context);
Result<ExitCode> ServiceDiff(const Context& context);
Result<ExitCode> ServiceRemove(const Context& context);
Result<ExitCode> TargetList(const Context& context);
Result<ExitCode> TargetDrain(const Context& context, bool drain);
Result<ExitCode> FlowShow(const Context& context);
Result<ExitCode> EntryList(const Context& context);
Result<ExitCode> Stats(const Context& context);
Result<ExitCode> NodeStatusCommand(const Context& context);
Result<ExitCode> NodeWhy(const Context& context);
Result<ExitCode> ConfigCheck(const Context& context);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_CONTEXT_H_
