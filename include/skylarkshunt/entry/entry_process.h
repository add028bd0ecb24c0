#ifndef SKYLARKSHUNT_ENTRY_ENTRY_PROCESS_H_
#define SKYLARKSHUNT_ENTRY_ENTRY_PROCESS_H_

#include <memory>

#include "absl/time/time.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/process/role_process.h"

namespace skylarkshunt {

/// A leaving entry ends after this time without traffic.
inline constexpr absl::Duration kLeaveQuiet = absl::Seconds(3);
/// A leaving entry ends after this time in any case.
inline constexpr absl::Duration kLeaveLimit = absl::Seconds(30);

/// Opens the sockets of an entry and starts its threads. An unreachable
/// platform is no error: peers hand on what they know. Errors: kAddressInUse,
/// kSystem, kInvalidArgument.
Result<std::unique_ptr<RoleProcess>> StartEntry(const ProcessOptions& options);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_ENTRY_ENTRY_PROCESS_H_
