#include <cppunit/extensions/HelperMacros.h>

#include "standins/platform/call_limiter.h"
#include "standins/platform/fault.h"
#include "standins/platform/platform_core.h"

namespace skylarkshunt {
namespace {

class StandinPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinPlatformTest);
  CPPUNIT_TEST(LimiterRefillsAtItsRate);
  CPPUNIT_TEST(BadFaultsAreRejected);
  CPPUNIT_TEST(CountedFaultEndsByItself);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimiterRefillsAtItsRate() {
    CallLimiter limiter(10);
    absl::Time now = absl::UnixEpoch();
    for (int i = 0; i < 10; ++i)
      CPPUNIT_ASSERT(limiter.Take(now));
    CPPUNIT_ASSERT(!limiter.Take(now));
    now += absl::Milliseconds(125);
    CPPUNIT_ASSERT(limiter.Take(now));
    CPPUNIT_ASSERT(!limiter.Take(now));
    // A long pause accumulates at most one second of calls.
    now += absl::Hours(1);
    for (int i = 0; i < 10; ++i)
      CPPUNIT_ASSERT(limiter.Take(now));
    CPPUNIT_ASSERT(!limiter.Take(now));
  }

  void BadFaultsAreRejected() {
    CPPUNIT_ASSERT(
        ParseFault("{\"mode\":\"slow\",\"delay_ms\":5}").has_value());
    for (const char* text :
         {"", "{}", "{\"mode\":\"odd\"}", "{\"mode\":\"none\",\"x\":1}",
          "{\"mode\":\"none\",\"count\":-1}",
          "{\"mode\":\"slow\",\"delay_ms\":\"5\"}"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseFault(text).has_value());
    }
  }

  // Guards against a fault that outlives the scenario that set it.
  void CountedFaultEndsByItself() {
    PlatformCore core(PlatformCore::Options{});
    core.SetFault(
        {FaultMode::kLoseAnswers, absl::ZeroDuration(), 1, FaultMode::kDown});
    CPPUNIT_ASSERT(core.Write("a", "{}", 0).cut_off);
    CPPUNIT_ASSERT_EQUAL(503, core.Read("a").status);
    core.SetFault({FaultMode::kDown, absl::ZeroDuration(), 1});
    CPPUNIT_ASSERT_EQUAL(503, core.Read("a").status);
    CPPUNIT_ASSERT_EQUAL(200, core.Read("a").status);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, core.counts().faulted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinPlatformTest);

}  // namespace
}  // namespace skylarkshunt
