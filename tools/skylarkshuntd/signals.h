#ifndef SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_SIGNALS_H_
#define SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_SIGNALS_H_

#include "absl/time/time.h"

namespace skylarkshunt {

/// Blocks SIGTERM, SIGINT and SIGHUP for this thread and those it starts, so
/// that WaitForSignal() gets them, and ignores SIGPIPE. Precondition: no other
/// thread runs yet.
void BlockHandledSignals();

/// Returns the blocked signal that came within `wait`, or 0.
int WaitForSignal(absl::Duration wait);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_SIGNALS_H_
