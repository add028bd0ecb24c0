#ifndef SKYLARKSHUNT_STANDINS_PLATFORM_FAULT_H_
#define SKYLARKSHUNT_STANDINS_PLATFORM_FAULT_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Faults of the stand-in platform.
enum class FaultMode {
  kNone,
  kDown,           ///< Every call is answered 503 and takes no effect.
  kSlow,           ///< Every call takes effect only after a delay.
  kLoseAnswers,    ///< Writes take effect; their answers break off.
  kExpireWatches,  ///< Watches are answered 410; the change log is dropped.
  kLoseWatches,    ///< Watches, also waiting ones, are never answered.
  /// Watches report no change, though one that ends tells the current revision.
  /// With the end of the fault the change log is dropped.
  kDeafenWatches,
};

/// Returns the name of `mode` in POST /fault. Thread-safe.
absl::string_view FaultModeName(FaultMode mode);

struct Fault {
  FaultMode mode = FaultMode::kNone;
  absl::Duration delay = absl::ZeroDuration();
  /// Number of calls hit before `then` follows; 0 hits all.
  uint32_t count = 0;
  /// Mode after `count` calls, with the same delay and no count.
  FaultMode then = FaultMode::kNone;
};

/// Reads {"mode", "delay_ms"?, "count"?, "then"?}. Errors: kInvalidArgument.
/// Thread-safe.
Result<Fault> ParseFault(absl::string_view text);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PLATFORM_FAULT_H_
