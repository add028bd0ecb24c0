#ifndef SKYLARKSHUNT_LIB_NODE_DECISION_LOG_H_
#define SKYLARKSHUNT_LIB_NODE_DECISION_LOG_H_

#include <array>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/forwarding/decision.h"

namespace skylarkshunt {

/// Logs and counts the decisions about flows. Each kind has a budget of lines a
/// second; what is beyond it is counted and reported at the end of the second,
/// so that the volume is bounded and nothing is left out silently. Belongs to
/// one thread.
class DecisionLog {
 public:
  explicit DecisionLog(CounterRegistry& counters);

  void Record(absl::Time now, const Decision& decision);
  /// Reports what was left out in the past second. Call it about every second.
  void ReportLeftOut(absl::Time now);

 private:
  struct Kind {
    Counter* total = nullptr;
    uint32_t logged = 0;
    uint32_t left_out = 0;
  };

  std::array<Kind, kDecisionKinds> kinds_;
  absl::Time second_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_DECISION_LOG_H_
