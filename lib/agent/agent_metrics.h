#ifndef SKYLARKSHUNT_LIB_AGENT_AGENT_METRICS_H_
#define SKYLARKSHUNT_LIB_AGENT_AGENT_METRICS_H_

#include <array>
#include <cstddef>

#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// Exports the statistics of the newest agent core on /metrics. Not
/// thread-safe; owned by the data thread.
class AgentMetrics {
 public:
  explicit AgentMetrics(CounterRegistry& counters);

  /// Publishes `stats`. Counters restart from 0 with a new core.
  void Set(const AgentStats& stats);

 private:
  static constexpr size_t kMetrics = 14;

  std::array<Counter*, kMetrics> counters_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_AGENT_METRICS_H_
