#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "packets.h"
#include "skylarkshunt/forwarding/outcome_model.h"

namespace skylarkshunt {
namespace {

const Endpoint kAddress{0xc6120001, 443};
constexpr uint32_t kWholeAnswer = 1'100;
constexpr uint32_t kErrorAnswer = 130;
/// Share above which placement counts a target as failing.
constexpr uint16_t kFailingThreshold = 100;

class OutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomeTest);
  CPPUNIT_TEST(ErrorsAreDetectedByTheirSize);
  CPPUNIT_TEST(AnswersOfManySizesAreNoFailures);
  CPPUNIT_TEST(PersistentErrorsStayFailures);
  CPPUNIT_TEST(SingleFailureIsBelowTheThreshold);
  CPPUNIT_TEST(RecordedFailuresCount);
  CPPUNIT_TEST(FailingTargetIsTriedAgain);
  CPPUNIT_TEST(SizesOutliveARestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A target passes its health check and fails two of five requests with short
  // errors. Guards against an unchanged share of the flows for it.
  void ErrorsAreDetectedByTheirSize() {
    Answer(100, kWholeAnswer);
    CPPUNIT_ASSERT_EQUAL(uint16_t{0}, model_.failing_permille(now_));
    for (int i = 0; i < 4; ++i) {
      Answer(3, kWholeAnswer);
      Answer(2, kErrorAnswer);
    }
    CPPUNIT_ASSERT(model_.failing_permille(now_) > 250);
    Answer(40, kWholeAnswer);
    CPPUNIT_ASSERT(model_.failing_permille(now_) < kFailingThreshold);
  }

  // Guards against targets that seem to fail because the answers for one
  // address differ in size. The sizes vary like those in the deployments.
  void AnswersOfManySizesAreNoFailures() {
    std::mt19937 random(1);
    std::lognormal_distribution<double> size(6.8, 0.45);
    for (int i = 0; i < 2'000; ++i) {
      Answer(1, 214 + static_cast<uint32_t>(size(random)));
      CPPUNIT_ASSERT(model_.failing_permille(now_) <= kFailingThreshold);
    }
  }

  // Guards against errors that become the usual size and are then no longer
  // detected.
  void PersistentErrorsStayFailures() {
    Answer(60, kWholeAnswer);
    for (int i = 0; i < 200; ++i) {
      Answer(3, kWholeAnswer);
      Answer(2, kErrorAnswer);
    }
    CPPUNIT_ASSERT(model_.failing_permille(now_) > 250);
  }

  void SingleFailureIsBelowTheThreshold() {
    model_.RecordFailure(now_);
    CPPUNIT_ASSERT_EQUAL(uint16_t{0}, model_.failing_permille(now_));
    Answer(50, kWholeAnswer);
    model_.RecordFailure(now_);
    Answer(3, kWholeAnswer);
    CPPUNIT_ASSERT(model_.failing_permille(now_) < kFailingThreshold);
  }

  void RecordedFailuresCount() {
    Answer(50, kWholeAnswer);
    for (int i = 0; i < 10; ++i)
      model_.RecordFailure(now_);
    CPPUNIT_ASSERT(model_.failing_permille(now_) > 500);
  }

  // Guards against a target that failed for a while and never gets a request
  // again.
  void FailingTargetIsTriedAgain() {
    Answer(50, kWholeAnswer);
    for (int i = 0; i < 10; ++i)
      model_.RecordFailure(now_);
    now_ += absl::Seconds(5);
    CPPUNIT_ASSERT(model_.failing_permille(now_) < kFailingThreshold);
    // One more failure is enough to detect it again.
    model_.RecordFailure(now_);
    CPPUNIT_ASSERT(model_.failing_permille(now_) > kFailingThreshold);
  }

  // Guards against a target that fails from its restart on and whose errors
  // become the usual size.
  void SizesOutliveARestart() {
    Answer(20, kWholeAnswer);
    model_.Reset();
    Answer(1, kWholeAnswer);
    Answer(8, kErrorAnswer);
    CPPUNIT_ASSERT(model_.failing_permille(now_) > kFailingThreshold);
  }

 private:
  void Answer(int times, uint32_t bytes) {
    for (int i = 0; i < times; ++i) {
      now_ += absl::Milliseconds(10);
      model_.RecordAnswer(kAddress, bytes, now_);
    }
  }

  OutcomeModel model_;
  absl::Time now_ = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);

}  // namespace
}  // namespace skylarkshunt
