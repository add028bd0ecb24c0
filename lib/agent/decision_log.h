#ifndef SKYLARKSHUNT_LIB_AGENT_DECISION_LOG_H_
#define SKYLARKSHUNT_LIB_AGENT_DECISION_LOG_H_

#include <atomic>
#include <cstdint>

#include "absl/time/time.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// Maximum number of decisions logged per second; further ones are only
/// counted.
inline constexpr uint32_t kMaxDecisionLogsPerSecond = 2000;

/// Logs the decisions of an agent's cores. Placements, refusals and state
/// changes are always logged; of the steps of accepted requests, one in every
/// `established_rate` is. Record() is for the data thread only; SetRate() is
/// thread-safe.
class DecisionLog {
 public:
  DecisionLog(CounterRegistry& counters, uint32_t established_rate);

  void Record(absl::Time now, const AgentDecision& decision);
  void SetRate(uint32_t established_rate) { rate_.store(established_rate); }

 private:
  bool Sampled(AgentDecision::Kind kind);
  bool WithinLimit(absl::Time now);

  Counter& not_logged_;
  std::atomic<uint32_t> rate_;
  uint64_t established_ = 0;
  absl::Time second_ = absl::InfinitePast();
  uint32_t logged_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_DECISION_LOG_H_
