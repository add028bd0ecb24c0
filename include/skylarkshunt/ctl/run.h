#ifndef SKYLARKSHUNT_CTL_RUN_H_
#define SKYLARKSHUNT_CTL_RUN_H_

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>

#include "absl/types/span.h"
#include "skylarkshunt/ctl/exit_code.h"

namespace skylarkshunt {

/// What a command reads and writes besides the network.
struct CtlEnvironment {
  std::ostream& out;
  std::ostream& err;
  /// Random 64-bit numbers for service uids and apply ids; not predictable.
  std::function<uint64_t()> random;
};

/// Runs skylarkshuntctl with `args`, the program name left out. Blocks until
/// the command ends. Not thread-safe on one environment.
ExitCode RunCtl(absl::Span<const std::string> args,
                const CtlEnvironment& environment);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CTL_RUN_H_
