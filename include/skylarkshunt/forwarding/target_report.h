#ifndef SKYLARKSHUNT_FORWARDING_TARGET_REPORT_H_
#define SKYLARKSHUNT_FORWARDING_TARGET_REPORT_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Report of a target to the agent next to it.
struct TargetReport {
  std::string id;
  /// Name of its service.
  std::string service;
  /// Start of this incarnation of the target in milliseconds since the Unix
  /// epoch; 0 if the target does not report it.
  int64_t started_unix_ms = 0;
  /// The same start on the clock of MonotonicNow(), or the infinite past if it
  /// is unknown. A step of the wall clock since the start shifts it, also into
  /// the future.
  absl::Time started = absl::InfinitePast();
  /// Grows with each report of one incarnation.
  uint64_t sequence = 0;
  uint32_t slots = 0;
  /// The target accepts no more flows and is about to end.
  bool draining = false;
  /// Remaining warm-up time in which the target is slow.
  absl::Duration warmup_left;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_TARGET_REPORT_H_
