#ifndef SKYLARKSHUNT_LIB_NODE_DECISION_LOG_H_
#define SKYLARKSHUNT_LIB_NODE_DECISION_LOG_H_

#include <array>
#include <cstdint>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "decision_history.h"
#include "latency_metric.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/forwarding/decision.h"
#include "skylarkshunt/forwarding/retry_history.h"

namespace skylarkshunt {

/// Returns the name of the event logged for decisions of `kind`. Thread-safe.
absl::string_view DecisionName(DecisionKind kind);

/// Logs and counts the decisions about flows. Each kind has a limit of lines
/// per second, which bounds the log volume. Decisions beyond it are counted,
/// and their number is logged at the end of the second. Not thread-safe.
class DecisionLog {
 public:
  /// `counters` and `history` must outlive the log.
  DecisionLog(CounterRegistry& counters, DecisionHistory& history);

  void Record(absl::Time now, const Decision& decision);
  /// Logs how many decisions were omitted in the past second. Called about
  /// every second.
  void ReportOmitted(absl::Time now);

 private:
  void Count(const Decision& decision);
  /// Returns the counter of the decision's kind and reason. It is cached,
  /// because a lookup in the registry takes a lock and a search.
  Counter& RefusalCounter(const Decision& decision);

  struct Kind {
    Counter* total = nullptr;
    uint32_t logged = 0;
    uint32_t omitted = 0;
  };

  DecisionHistory& history_;
  CounterRegistry& counters_;
  std::array<Kind, kDecisionKinds> kinds_;
  /// Reasons have static storage.
  absl::flat_hash_map<std::pair<DecisionKind, absl::string_view>, Counter*>
      refusals_;
  /// By RequestKind.
  std::array<LatencyMetric, 3> first_byte_;
  LatencyMetric view_age_;
  LatencyMetric placement_wait_;
  LatencyMetric refusal_wait_;
  /// By number of the attempt.
  std::array<Counter*, kMaxAttempts + 1> attempts_{};
  absl::Time second_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_DECISION_LOG_H_
