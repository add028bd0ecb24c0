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
  CPPUNIT_TEST(SilenceIsProbedBeforeAVerdict);
  CPPUNIT_TEST(OneVoucherIsEnough);
  CPPUNIT_TEST(RepeatedAnswersCountOnce);
  CPPUNIT_TEST(RestartGrantsAFullInterval);
  CPPUNIT_TEST(RelaysThatBothLostItDoNotVouch);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a death published after one relay's silence alone, and
  // against a death that is never published.
  void SilenceIsProbedBeforeAVerdict() {
    FailureDetector detector;
    detector.RecordMessage(kStart, kAgent);
    const absl::Time silent = kStart + kDetectionTimeout;
    CPPUNIT_ASSERT(
        detector.Tick(silent - absl::Milliseconds(1)).to_probe.empty());
    Probe(detector, silent);
    CPPUNIT_ASSERT(
        detector.Tick(silent + kProbeReplyTimeout - absl::Milliseconds(1))
            .dead.empty());
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, detector.Tick(silent + kProbeReplyTimeout).dead.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, detector.size());
  }

  void OneVoucherIsEnough() {
    for (const bool assigned : {false, true}) {
      FailureDetector detector;
      detector.RecordMessage(kStart, kAgent);
      if (assigned)
        detector.Assign(kStart, kAgent);
      const absl::Time silent = kStart + kDetectionTimeout;
      Probe(detector, silent);
      detector.OnProbeAnswer(silent, kAgent, kRelayA, false);
      detector.OnProbeAnswer(silent, kAgent, kRelayB, true);
      CPPUNIT_ASSERT(detector.Tick(silent + kProbeReplyTimeout).dead.empty());
      // An assigned monitor stays responsible; another leaves it to the rest.
      CPPUNIT_ASSERT_EQUAL(size_t{assigned ? 1u : 0u}, detector.size());
    }
  }

  // Guards against a verdict before every relay had its say.
  void RepeatedAnswersCountOnce() {
    FailureDetector detector;
    detector.RecordMessage(kStart, kAgent);
    const absl::Time silent = kStart + kDetectionTimeout;
    Probe(detector, silent);
    detector.OnProbeAnswer(silent, kAgent, kRelayA, false);
    detector.OnProbeAnswer(silent, kAgent, kRelayA, false);
    CPPUNIT_ASSERT(detector.Tick(silent).dead.empty());
    detector.OnProbeAnswer(silent, kAgent, kRelayB, false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, detector.Tick(silent).dead.size());
  }

  // Guards against verdicts that rest on this process's own pause.
  void RestartGrantsAFullInterval() {
    FailureDetector detector;
    detector.RecordMessage(kStart, kAgent);
    const absl::Time resumed = kStart + absl::Seconds(60);
    detector.Restart(resumed);
    CPPUNIT_ASSERT(detector.Tick(resumed).to_probe.empty());
    CPPUNIT_ASSERT(detector.Tick(resumed).dead.empty());
    CPPUNIT_ASSERT(!detector.CanConfirmLiveness(resumed, kAgent));
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, detector.Tick(resumed + kDetectionTimeout).to_probe.size());
  }

  // Guards against two relays that confirm each other's outdated knowledge.
  void RelaysThatBothLostItDoNotVouch() {
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
