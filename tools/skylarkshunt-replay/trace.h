#ifndef TOOLS_SKYLARKSHUNT_REPLAY_TRACE_H_
#define TOOLS_SKYLARKSHUNT_REPLAY_TRACE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

/// A request of a caller.
struct TraceRequest {
  std::string service;
  uint64_t flow = 0;
  std::string kind;
  absl::Duration run_time;
  uint64_t answer_bytes = 0;
  absl::Duration deadline;
};
/// A service's questionnaire comes into force. The first one creates the
/// service with `targets` targets; a later one changes its configuration.
struct TraceConfiguration {
  ServiceConfig config;
  size_t targets = 0;
};
/// A change or failure of one target's agent.
struct TraceAgentEvent {
  enum class Kind { kDrain, kUndrain, kKill, kPause };
  Kind kind = Kind::kDrain;
  std::string service;
  size_t target = 0;
  /// Length of a pause; time until a killed agent starts again, 0 for never.
  absl::Duration length;
};
/// A change or failure of one entry.
struct TraceEntryEvent {
  enum class Kind { kNew, kEnded, kLost };
  Kind kind = Kind::kNew;
  /// Index of the entry; ignored for kNew.
  size_t entry = 0;
};
/// A part of the trace that figures refer to, such as "crest".
struct TracePhase {
  std::string name;
};

using TraceEvent = std::variant<TraceRequest,
                                TraceConfiguration,
                                TraceAgentEvent,
                                TraceEntryEvent,
                                TracePhase>;

/// One line of a trace.
struct TraceLine {
  absl::Duration at;
  TraceEvent event;
};

using Trace = std::vector<TraceLine>;

/// Most lines of a trace.
inline constexpr size_t kMaxTraceLines = 1'000'000;

/// Reads a trace in JSON lines. Errors: kInvalidArgument, naming `file`, the
/// line, what was found and the remedy. Thread-safe.
Result<Trace> ParseTrace(absl::string_view text, absl::string_view file);

/// Reads a whole file. Errors: kNotFound. Thread-safe.
Result<std::string> ReadTextFile(const std::string& path);

}  // namespace skylarkshunt

#endif  // TOOLS_SKYLARKSHUNT_REPLAY_TRACE_H_
