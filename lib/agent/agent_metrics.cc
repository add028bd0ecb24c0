#include "agent_metrics.h"

#include <iterator>

namespace skylarkshunt {
namespace {

struct Metric {
  const char* name;
  const char* help;
  MetricType type;
  uint64_t AgentStats::*value;
};

constexpr MetricType kCounter = MetricType::kCounter;
constexpr MetricType kGauge = MetricType::kGauge;

constexpr Metric kTable[] = {
    {"skylarkshunt_flows", "Open flows.", kGauge, &AgentStats::flows},
    {"skylarkshunt_running", "Requests at the target.", kGauge,
     &AgentStats::running},
    {"skylarkshunt_queued", "Requests that wait for a slot.", kGauge,
     &AgentStats::queued},
    {"skylarkshunt_effective_slots", "Slots open now; fewer while warming up.",
     kGauge, &AgentStats::effective_slots},
    {"skylarkshunt_ledger_entries", "Non-idempotent requests remembered.",
     kGauge, &AgentStats::ledger_entries},
    {"skylarkshunt_retained_answer_bytes", "Answers kept for repeats.", kGauge,
     &AgentStats::retained_answer_bytes},
    {"skylarkshunt_completed_total", "Requests answered by the target.",
     kCounter, &AgentStats::completed},
    {"skylarkshunt_refused_total", "Requests refused.", kCounter,
     &AgentStats::refused},
    {"skylarkshunt_passed_on_total", "Messages passed on to another agent.",
     kCounter, &AgentStats::passed_on},
    {"skylarkshunt_transferred_total", "Requests handed to another agent.",
     kCounter, &AgentStats::transferred},
    {"skylarkshunt_repeats_total", "Repeats of known requests.", kCounter,
     &AgentStats::repeats},
    {"skylarkshunt_outcome_unknown_total", "Requests of unknown outcome.",
     kCounter, &AgentStats::outcome_unknown},
    {"skylarkshunt_lease_lapses_total", "Pauses in which the lease lapsed.",
     kCounter, &AgentStats::lease_lapses},
    {"skylarkshunt_retries_total", "Idempotent runs started again.", kCounter,
     &AgentStats::retries},
};

}  // namespace

AgentMetrics::AgentMetrics(CounterRegistry& counters) {
  static_assert(std::size(kTable) == kMetrics, "one counter per metric");
  for (size_t i = 0; i < kMetrics; ++i)
    counters_[i] =
        &counters.Find(kTable[i].name, kTable[i].help, kTable[i].type);
}

void AgentMetrics::Set(const AgentStats& stats) {
  for (size_t i = 0; i < kMetrics; ++i)
    counters_[i]->Set(stats.*kTable[i].value);
}

}  // namespace skylarkshunt
