#ifndef SKYLARKSHUNT_AGENT_AGENT_PROCESS_H_
#define SKYLARKSHUNT_AGENT_AGENT_PROCESS_H_

#include <memory>

#include "skylarkshunt/base/error.h"
#include "skylarkshunt/process/role_process.h"

namespace skylarkshunt {

/// Opens the sockets of an agent and starts its threads. It serves once its
/// service's configuration has come from an entry. Errors: kAddressInUse,
/// kSystem, kInvalidArgument.
Result<std::unique_ptr<RoleProcess>> StartAgent(const ProcessOptions& options);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_AGENT_AGENT_PROCESS_H_
