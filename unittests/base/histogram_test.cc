#include "skylarkshunt/base/histogram.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace skylarkshunt {
namespace {

constexpr double kMaxRelativeError = 0.01;

class HistogramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistogramTest);
  CPPUNIT_TEST(QuantilesStayWithinTheErrorBound);
  CPPUNIT_TEST(ExtremesAreHeld);
  CPPUNIT_TEST(MergeEqualsOneHistogram);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against buckets too wide for the p99 figures of measurements.
  void QuantilesStayWithinTheErrorBound() {
    std::mt19937_64 random(42);
    std::lognormal_distribution<double> values(9, 3);
    Histogram histogram;
    std::vector<uint64_t> all;
    for (int i = 0; i < 20000; ++i) {
      all.push_back(static_cast<uint64_t>(values(random)));
      histogram.Record(all.back());
    }
    std::sort(all.begin(), all.end());
    for (double quantile : {0.0, 0.001, 0.5, 0.9, 0.99, 0.999, 1.0}) {
      const auto rank = static_cast<size_t>(
          std::max(1.0, std::ceil(quantile * static_cast<double>(all.size()))));
      const auto exact = static_cast<double>(all[rank - 1]);
      const auto found =
          static_cast<double>(histogram.ValueAtQuantile(quantile));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(exact, found, exact * kMaxRelativeError);
    }
  }

  // Guards against an index outside the buckets at either end.
  void ExtremesAreHeld() {
    Histogram histogram;
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, histogram.ValueAtQuantile(0.5));
    histogram.Record(0);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, histogram.ValueAtQuantile(1));
    histogram.Record(UINT64_MAX);
    const auto found = static_cast<double>(histogram.ValueAtQuantile(1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, found / 18446744073709551615.0,
                                 kMaxRelativeError);
    CPPUNIT_ASSERT_EQUAL(UINT64_MAX, histogram.max());
  }

  void MergeEqualsOneHistogram() {
    Histogram low;
    Histogram high;
    for (uint64_t i = 0; i < 100; ++i) {
      low.Record(i);
      high.Record(i + 1000);
    }
    low.Merge(high);
    CPPUNIT_ASSERT_EQUAL(uint64_t{200}, low.count());
    CPPUNIT_ASSERT_EQUAL(uint64_t{99}, low.ValueAtQuantile(0.5));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1099}, low.max());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(549.5, low.mean(), 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistogramTest);

}  // namespace
}  // namespace skylarkshunt
