#ifndef SKYLARKSHUNT_CTL_EXIT_CODE_H_
#define SKYLARKSHUNT_CTL_EXIT_CODE_H_

#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Exit codes of skylarkshuntctl, as listed in docs/operating.md. Scripts rely
/// on the numbers; they are never used again for another meaning.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,          ///< Bad file, unknown object, damaged answer.
  kUsage = 2,           ///< The command line is wrong.
  kConflict = 3,        ///< Another operator changed the object.
  kUnavailable = 4,     ///< Platform or instance down, slow or limiting.
  kOutcomeUnknown = 5,  ///< The change may or may not take effect.
  kNotInForce = 6,      ///< Accepted, but not in force within --wait.
};

/// Returns the exit code of an error of `kind`. Thread-safe.
ExitCode ExitCodeFor(ErrorKind kind);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CTL_EXIT_CODE_H_
