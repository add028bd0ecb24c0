#ifndef SKYLARKSHUNT_BASE_COUNTERS_H_
#define SKYLARKSHUNT_BASE_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace skylarkshunt {

/// A number that only grows, or (as a gauge) is set. All methods are
/// thread-safe.
class Counter {
 public:
  void Add(uint64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  void Increment() { Add(1); }
  void Set(uint64_t value) { value_.store(value, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

/// Whether a metric only grows.
enum class MetricType { kCounter, kGauge };

/// The counters of one process, written out in the text exposition format
/// "name{labels} value". All methods are thread-safe.
class CounterRegistry {
 public:
  /// Returns the counter of `name` and `labels`, made on first use. It lives as
  /// long as the registry. Precondition: `name` matches [a-z_]+ and `labels` is
  /// empty or of the form `key="value",...`.
  Counter& Find(absl::string_view name,
                absl::string_view help,
                MetricType type = MetricType::kCounter,
                absl::string_view labels = "");

  /// Returns all counters as text, sorted by first use of each name.
  std::string ToText() const;

 private:
  struct Entry {
    std::string name;
    std::string help;
    std::string labels;
    MetricType type;
    Counter counter;
  };

  mutable absl::Mutex mutex_;
  std::deque<Entry> entries_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_COUNTERS_H_
