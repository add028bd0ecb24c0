#ifndef SKYLARKSHUNT_BASE_HISTOGRAM_H_
#define SKYLARKSHUNT_BASE_HISTOGRAM_H_

#include <cstdint>
#include <vector>

namespace skylarkshunt {

/// Counts of values in logarithmic buckets. Values below 128 have a bucket
/// each; above that every power of two is split into 64 buckets of equal width,
/// and a bucket stands for its middle, so that a quantile is off by at most 1
/// part in 128 (0.8%). The unit of a value is the caller's choice. The size is
/// fixed, about 30 KB. Not thread-safe: use one per thread and Merge().
class Histogram {
 public:
  Histogram();

  /// Counts `value` once.
  void Record(uint64_t value);
  /// Adds all counts of `other`.
  void Merge(const Histogram& other);

  /// Returns the value below or at which the share `quantile` of the counted
  /// values lies, within the error above; 0 when nothing was counted.
  /// Precondition: `quantile` is from 0 to 1.
  uint64_t ValueAtQuantile(double quantile) const;

  uint64_t count() const { return count_; }
  /// Largest value, exact; 0 when nothing was counted.
  uint64_t max() const { return max_; }
  /// Mean, exact but for rounding of the sum; 0 when nothing was counted.
  double mean() const;

 private:
  std::vector<uint64_t> buckets_;
  uint64_t count_ = 0;
  uint64_t max_ = 0;
  double sum_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_HISTOGRAM_H_
