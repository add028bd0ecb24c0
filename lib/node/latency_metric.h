#ifndef SKYLARKSHUNT_LIB_NODE_LATENCY_METRIC_H_
#define SKYLARKSHUNT_LIB_NODE_LATENCY_METRIC_H_

#include <array>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/counters.h"

namespace skylarkshunt {

/// Upper bounds of the buckets, in milliseconds. They include the latency
/// objectives of the deployments (150 to 800 ms).
inline constexpr std::array<int, 12> kLatencyBucketsMs = {
    5, 10, 25, 50, 100, 150, 250, 400, 800, 1600, 3000, 8000};

/// A histogram of durations in the text exposition format: cumulative counts by
/// upper bound, count and sum. Record() is thread-safe.
class LatencyMetric {
 public:
  /// `labels` is empty or of the form `key="value",...`.
  LatencyMetric(CounterRegistry& counters,
                absl::string_view name,
                absl::string_view help,
                absl::string_view labels);

  void Record(absl::Duration duration);

 private:
  std::array<Counter*, kLatencyBucketsMs.size()> buckets_{};
  Counter* count_;
  Counter* sum_us_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_LATENCY_METRIC_H_
