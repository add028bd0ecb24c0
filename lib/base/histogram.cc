#include "skylarkshunt/base/histogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>

#include "absl/numeric/bits.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kExactValues = 128;
constexpr uint64_t kBucketsPerPower = 64;
constexpr int kMantissaBits = 7;
constexpr int kLargestShift = 64 - kMantissaBits;
constexpr size_t kBuckets = kExactValues + kLargestShift * kBucketsPerPower;

size_t BucketOf(uint64_t value) {
  if (value < kExactValues)
    return static_cast<size_t>(value);
  const int shift = static_cast<int>(absl::bit_width(value)) - kMantissaBits;
  const uint64_t mantissa = value >> shift;
  const uint64_t power = static_cast<uint64_t>(shift - 1);
  return kExactValues + power * kBucketsPerPower +
         (mantissa - kBucketsPerPower);
}

uint64_t MiddleOf(size_t bucket) {
  if (bucket < kExactValues)
    return bucket;
  const uint64_t offset = bucket - kExactValues;
  const uint64_t shift = offset / kBucketsPerPower + 1;
  const uint64_t mantissa = offset % kBucketsPerPower + kBucketsPerPower;
  return (mantissa << shift) + (uint64_t{1} << (shift - 1));
}

}  // namespace

Histogram::Histogram() : buckets_(kBuckets) {}

void Histogram::Record(uint64_t value) {
  ++buckets_[BucketOf(value)];
  ++count_;
  max_ = std::max(max_, value);
  sum_ += static_cast<double>(value);
}

void Histogram::Merge(const Histogram& other) {
  for (size_t i = 0; i < kBuckets; ++i)
    buckets_[i] += other.buckets_[i];
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
  sum_ += other.sum_;
}

uint64_t Histogram::ValueAtQuantile(double quantile) const {
  assert(quantile >= 0 && quantile <= 1 && "a quantile is from 0 to 1");
  if (count_ == 0)
    return 0;
  const auto wanted = std::max<uint64_t>(
      1,
      static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(count_))));
  uint64_t seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += buckets_[i];
    if (seen >= wanted)
      return std::min(MiddleOf(i), max_);
  }
  return max_;
}

double Histogram::mean() const {
  return count_ == 0 ? 0 : sum_ / static_cast<double>(count_);
}

}  // namespace skylarkshunt
