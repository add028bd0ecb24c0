#include "skylarkshunt/membership/failure_detector.h"

#include <cppunit/extensions/HelperMacros.h>

#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {
namespace {

constexpr InstanceUid kAgent{1};
constexpr InstanceUid kRelayA{2};
constexpr InstanceUid kRelayB{3};
const absl::Time kStart = absl::FromUnixSeconds(1000);

class FailureDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureDetectorTest);
  CPPUNIT_TEST(UnresponsiveInstanceIsProbedBeforeReportedDead);
  CPPUNIT_TEST(OneConfirmationSuffices);
  CPPUNIT_TEST(RepeatedRepliesCountOnce);
  CPPUNIT_TEST(ResetGrantsFullTimeout);
  CPPUNIT_TEST(RelaysThatBothLostInstanceDoNotConfirm);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an instance reported dead because one relay receives nothing
  // from it, and against a dead instance that is never reported.
  void UnresponsiveInstanceIsProbedBeforeReportedDead() {
    FailureDetector detector;
    detector.RecordMessage(kStart, kAgent);
    const absl::Time timed_out = kStart + kDetectionTimeout;
    CPPUNIT_ASSERT(
        detector.Tick(timed_out - absl::Milliseconds(1)).to_probe.empty());
    Probe(detector, timed_out);
    CPPUNIT_ASSERT(
        detector.Tick(timed_out + kProbeReplyTimeout - absl::Milliseconds(1))
            .dead.empty());
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, detector.Tick(timed_out + kProbeReplyTimeout).dead.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, detector.size());
  }

  void OneConfirmationSuffices() {
    for (const bool assigned : {false, true}) {
      FailureDetector detector;
      detector.RecordMessage(kStart, kAgent);
      if (assigned)
        detector.Assign(kStart, kAgent);
      const absl::Time timed_out = kStart + kDetectionTimeout;
      Probe(detector, timed_out);
      detector.OnProbeAnswer(timed_out, kAgent, kRelayA, false);
      detector.OnProbeAnswer(timed_out, kAgent, kRelayB, true);
      CPPUNIT_ASSERT(
          detector.Tick(timed_out + kProbeReplyTimeout).dead.empty());
      // An assigned monitor keeps the subject; any other monitor drops it.
      CPPUNIT_ASSERT_EQUAL(size_t{assigned ? 1u : 0u}, detector.size());
    }
  }

  // Guards against reporting an instance dead before every relay has replied or
  // the wait has ended.
  void RepeatedRepliesCountOnce() {
    FailureDetector detector;
    detector.RecordMessage(kStart, kAgent);
    const absl::Time timed_out = kStart + kDetectionTimeout;
    Probe(detector, timed_out);
    detector.OnProbeAnswer(timed_out, kAgent, kRelayA, false);
    detector.OnProbeAnswer(timed_out, kAgent, kRelayA, false);
    CPPUNIT_ASSERT(detector.Tick(timed_out).dead.empty());
    detector.OnProbeAnswer(timed_out, kAgent, kRelayB, false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, detector.Tick(timed_out).dead.size());
  }

  // Guards against reporting instances dead because this process was suspended.
  void ResetGrantsFullTimeout() {
    FailureDetector detector;
    detector.RecordMessage(kStart, kAgent);
    const absl::Time resumed = kStart + absl::Seconds(60);
    detector.ResetTimeouts(resumed);
    CPPUNIT_ASSERT(detector.Tick(resumed).to_probe.empty());
    CPPUNIT_ASSERT(detector.Tick(resumed).dead.empty());
    CPPUNIT_ASSERT(!detector.CanConfirmLiveness(resumed, kAgent));
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, detector.Tick(resumed + kDetectionTimeout).to_probe.size());
  }

  // Guards against two relays that confirm an instance to each other although
  // both have lost it.
  void RelaysThatBothLostInstanceDoNotConfirm() {
    FailureDetector detector;
    detector.RecordMessage(kStart, kAgent);
    CPPUNIT_ASSERT(
        detector.CanConfirmLiveness(kStart + absl::Seconds(1), kAgent));
    CPPUNIT_ASSERT(
        !detector.CanConfirmLiveness(kStart + kConfirmationAge, kAgent));
    CPPUNIT_ASSERT(kConfirmationAge < kDetectionTimeout);
    detector.Assign(kStart, kRelayA);
    CPPUNIT_ASSERT(!detector.CanConfirmLiveness(kStart, kRelayA));
  }

 private:
  static void Probe(FailureDetector& detector, absl::Time now) {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, detector.Tick(now).to_probe.size());
    const InstanceUid relays[] = {kRelayA, kRelayB};
    detector.OnProbesSent(now, kAgent, relays);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDetectorTest);

}  // namespace
}  // namespace skylarkshunt
