#include "skylarkshunt/ctl/exit_code.h"

namespace skylarkshunt {

ExitCode ExitCodeFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return ExitCode::kUsage;
    case ErrorKind::kConflict:
      return ExitCode::kConflict;
    case ErrorKind::kUnavailable:
    case ErrorKind::kRateLimited:
      return ExitCode::kUnavailable;
    case ErrorKind::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace skylarkshunt
