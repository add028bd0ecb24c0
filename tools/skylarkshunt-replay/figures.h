#ifndef TOOLS_SKYLARKSHUNT_REPLAY_FIGURES_H_
#define TOOLS_SKYLARKSHUNT_REPLAY_FIGURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "skylarkshunt/base/histogram.h"

namespace skylarkshunt {

/// What happened to one request of the trace, its resubmissions included.
struct RequestRecord {
  std::string kind;
  std::string phase;
  uint32_t weight = 1;
  bool idempotent = false;
  absl::Duration run_time;
  absl::Duration started;
  absl::Duration deadline;
  /// Since the start of the trace; meaningful when `ended`.
  absl::Duration ended_at;
  bool ended = false;
  bool ok = false;
  /// The system gave no final word before the deadline.
  bool no_word = false;
  int resubmissions = 0;
};

/// What one run of a trace left behind, as the driver saw it.
struct RunRecord {
  std::vector<RequestRecord> requests;
  uint64_t flows = 0;
  uint64_t broken_flows = 0;
  uint64_t doubled = 0;
  uint64_t acknowledged_unrun = 0;
  uint64_t falsely_refused = 0;
  uint64_t wrong_answers = 0;
  /// Refusals that callers received, by reason; a request may have several.
  std::map<std::string, uint64_t> refusals;
  /// Seconds of run time served by each target that no event of the trace
  /// concerned; others serve less for a reason.
  std::vector<double> target_seconds;
  absl::Duration drain_settle;
  /// One stretch of a phase, since the start of the trace.
  struct Span {
    std::string phase;
    absl::Duration from;
    absl::Duration to;
  };
  std::vector<Span> spans;
};

/// Figures of one kind of request; times in milliseconds.
struct KindFigures {
  std::string kind;
  uint64_t requests = 0;
  uint64_t in_time = 0;
  double waiting_p50_ms = 0;
  double waiting_p99_ms = 0;
  double waiting_p999_ms = 0;
};

/// Figures of one run.
struct Figures {
  uint64_t requests = 0;
  double flows = 0;
  double broken_flows = 0;
  double imbalance = 0;
  double in_time_share = 0;
  double in_time_weighted = 0;
  /// Weight completed in time per second.
  double goodput_capacity = 0;
  double goodput_crest = 0;
  double crest_short_p99_ms = 0;
  double crest_short_in_time = 0;
  /// p99 of time to the answer over run time, of short kinds.
  double short_slowdown_p99 = 0;
  double doubled = 0;
  /// Acknowledged without a run, or never ended.
  double lost = 0;
  double falsely_refused = 0;
  double wrong_answers = 0;
  double no_word = 0;
  double drain_settle_ms = 0;
  std::vector<KindFigures> kinds;
  std::map<std::string, uint64_t> refusals;
};

/// Computes the figures. `short_kinds` names the kinds that stragglers must not
/// hold up. Thread-safe.
Figures ComputeFigures(const RunRecord& run,
                       const std::vector<std::string>& short_kinds);

/// One second of a run, for the plot.
struct SecondFigures {
  double completions = 0;
  double waiting_p50_ms = 0;
  double waiting_p99_ms = 0;
};

/// Returns the figures of each second by the time of the answer. Thread-safe.
std::vector<SecondFigures> FiguresBySecond(const RunRecord& run);

}  // namespace skylarkshunt

#endif  // TOOLS_SKYLARKSHUNT_REPLAY_FIGURES_H_
