#include "latency_metric.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {

LatencyMetric::LatencyMetric(CounterRegistry& counters,
                             absl::string_view name,
                             absl::string_view help,
                             absl::string_view labels) {
  const std::string prefix = labels.empty() ? "" : absl::StrCat(labels, ",");
  for (size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i] = &counters.Find(
        absl::StrCat(name, "_bucket"), help, MetricType::kCounter,
        absl::StrCat(prefix, "le_ms=\"", kLatencyBucketsMs[i], "\""));
  }
  count_ = &counters.Find(absl::StrCat(name, "_count"), help,
                          MetricType::kCounter, labels);
  sum_us_ = &counters.Find(absl::StrCat(name, "_sum_us"), help,
                           MetricType::kCounter, labels);
}

void LatencyMetric::Record(absl::Duration duration) {
  const int64_t us = std::max<int64_t>(0, absl::ToInt64Microseconds(duration));
  for (size_t i = buckets_.size(); i > 0; --i) {
    if (us > int64_t{1000} * kLatencyBucketsMs[i - 1])
      break;
    buckets_[i - 1]->Increment();
  }
  count_->Increment();
  sum_us_->Add(static_cast<uint64_t>(us));
}

}  // namespace skylarkshunt
