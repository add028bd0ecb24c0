#include <cppunit/extensions/HelperMacros.h>

#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(TargetUidIsStable);
  CPPUNIT_TEST(EndpointRejectsWhatIsNotAnAddress);
  CPPUNIT_TEST(FullRingRefusesAndCounts);
  CPPUNIT_TEST(FullRingReplacesOldest);
  CPPUNIT_TEST(CountersShareAName);
  CPPUNIT_TEST(HexRejectsBadText);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a hash that differs between nodes or releases, which would
  // move every flow.
  void TargetUidIsStable() {
    // The published xxHash64 value of the empty input with seed 0.
    CPPUNIT_ASSERT_EQUAL(uint64_t{0xef46db3751d8e999}, StableHash("", 0));
    const InstanceUid uid = MakeTargetUid(ServiceUid{7}, "127.0.0.1:9000");
    CPPUNIT_ASSERT_EQUAL(std::string("e9d02948e2c7c173"), ToHex(ToNumber(uid)));
    CPPUNIT_ASSERT(uid != MakeTargetUid(ServiceUid{8}, "127.0.0.1:9000"));
  }

  void EndpointRejectsWhatIsNotAnAddress() {
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.9:80"),
                         Endpoint::Parse("127.0.0.9:80").value().ToString());
    for (const char* bad : {"", "127.0.0.1", "localhost:80", "127.0.0.1:65536",
                            "127.0.0.1:-1", "127.0.0.1:x", "[::1]:80"}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !Endpoint::Parse(bad).has_value());
    }
  }

  void FullRingRefusesAndCounts() {
    BoundedRing<int> ring(2);
    CPPUNIT_ASSERT(ring.TryPush(1));
    CPPUNIT_ASSERT(ring.TryPush(2));
    CPPUNIT_ASSERT(!ring.TryPush(3));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, ring.overflows());
    CPPUNIT_ASSERT_EQUAL(1, *ring.TryPop());
    CPPUNIT_ASSERT_EQUAL(2, *ring.Pop(absl::ZeroDuration()));
    CPPUNIT_ASSERT(!ring.TryPop().has_value());
  }

  void FullRingReplacesOldest() {
    BoundedRing<int> ring(1);
    ring.PushReplacingOldest(1);
    ring.PushReplacingOldest(2);
    CPPUNIT_ASSERT_EQUAL(2, *ring.TryPop());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, ring.overflows());
  }

  void CountersShareAName() {
    CounterRegistry registry;
    registry.Find("a_total", "help", MetricType::kCounter, "x=\"1\"").Add(2);
    registry.Find("a_total", "help", MetricType::kCounter, "x=\"2\"").Add(3);
    registry.Find("a_total", "help", MetricType::kCounter, "x=\"1\"").Add(1);
    CPPUNIT_ASSERT_EQUAL(std::string("# HELP a_total help\n"
                                     "# TYPE a_total counter\n"
                                     "a_total{x=\"1\"} 3\n"
                                     "a_total{x=\"2\"} 3\n"),
                         registry.ToText());
  }

  void HexRejectsBadText() {
    CPPUNIT_ASSERT_EQUAL(uint64_t{255}, *ParseHex("ff"));
    for (const char* bad : {"", "0x1", "g", "00000000000000000", "-1"})
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseHex(bad).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

}  // namespace
}  // namespace skylarkshunt
