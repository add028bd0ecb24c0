#ifndef STANDINS_CALLER_LOAD_OPTIONS_H_
#define STANDINS_CALLER_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "standins/caller/caller_session.h"

namespace skylarkshunt {

/// One kind of request of a load, and its part of all requests.
struct KindLoad {
  double share = 1;
  /// The run time is the mean; single requests spread evenly from half of it
  /// to one and a half times it.
  CallPlan plan;
};

/// What the load tool does.
struct LoadOptions {
  Endpoint fabric;
  /// Address of the callers' sockets; the port is always chosen by the kernel.
  Endpoint local{0x7f000001, 0};
  std::string service;
  std::vector<KindLoad> kinds;
  /// Flows open at once, over all threads.
  uint32_t flows = 100;
  /// A flow ends and another starts after this many; 0 keeps it to the end.
  uint32_t requests_per_flow = 0;
  /// Requests a second over all threads, with exponential gaps. 0: each flow
  /// sends its next request when the last has ended and the think time passed.
  double rate = 0;
  absl::Duration think_time = absl::Milliseconds(100);
  absl::Duration duration = absl::Seconds(10);
  uint64_t seed = 1;
  uint32_t threads = 1;
  /// UDP sockets of each thread; the flows share them evenly.
  uint32_t sockets = 4;
  /// How often work that was refused as not run is tried again with a new
  /// request id before its deadline.
  uint32_t reissues = 0;
  /// File for one line per ended request id; empty: none.
  std::string records;
};

/// Most sockets of one thread; WaitReadable() takes no more.
inline constexpr uint32_t kMaxLoadSockets = 8;
/// Most flows open at once.
inline constexpr uint32_t kMaxLoadFlows = 1'000'000;

/// Reads "NAME:SHARE:once|idempotent:ANSWER_BYTES:RUN_MS[:DEADLINE_MS]".
/// Errors: kInvalidArgument. Thread-safe.
Result<KindLoad> ParseKindLoad(absl::string_view text);

/// Reads the command line. `help` is set where only the usage was asked for,
/// which is then printed. Errors: kInvalidArgument. Thread-safe.
Result<LoadOptions> ParseLoadOptions(int argc,
                                     const char* const* argv,
                                     bool* help);

}  // namespace skylarkshunt

#endif  // STANDINS_CALLER_LOAD_OPTIONS_H_
