#ifndef SKYLARKSHUNT_FORWARDING_TARGET_REPORT_H_
#define SKYLARKSHUNT_FORWARDING_TARGET_REPORT_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace skylarkshunt {

/// What a target says of itself to the agent beside it.
struct TargetReport {
  std::string id;
  /// Name of its service.
  std::string service;
  /// Start of this incarnation of the target; 0 when it does not tell.
  int64_t started_unix_ms = 0;
  /// Grows with each report of one incarnation.
  uint64_t sequence = 0;
  uint32_t slots = 0;
  /// It takes no more flows and is about to end.
  bool draining = false;
  /// How much longer it is slow after its start.
  absl::Duration warmup_left;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_TARGET_REPORT_H_
