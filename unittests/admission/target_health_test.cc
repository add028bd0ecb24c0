#include "skylarkshunt/admission/target_health.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkshunt {
namespace {

using State = TargetHealth::State;

class TargetHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetHealthTest);
  CPPUNIT_TEST(FiveFailuresInARowEject);
  CPPUNIT_TEST(HalfOfTheLastTwentyEject);
  CPPUNIT_TEST(BackOffDoublesToAMinute);
  CPPUNIT_TEST(HintsNeitherEjectNorRestore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FiveFailuresInARowEject() {
    TargetHealth health;
    for (int i = 0; i < 4; ++i)
      CPPUNIT_ASSERT(!health.OnResult(now_, false));
    health.OnResult(now_, true);
    for (int i = 0; i < 4; ++i)
      CPPUNIT_ASSERT(!health.OnResult(now_, false));
    CPPUNIT_ASSERT(health.OnResult(now_, false));
    CPPUNIT_ASSERT(health.state() == State::kEjected);
  }

  // Guards against a target that fails half of its requests but never five in a
  // row.
  void HalfOfTheLastTwentyEject() {
    TargetHealth health;
    for (int i = 0; i < 19; ++i)
      CPPUNIT_ASSERT(!health.OnResult(now_, i % 2 == 0));
    CPPUNIT_ASSERT(health.OnResult(now_, false));
  }

  void BackOffDoublesToAMinute() {
    TargetHealth health;
    Eject(health);
    for (const int seconds : {5, 10, 20, 40, 60, 60}) {
      const absl::Time probe = now_ + absl::Seconds(seconds);
      CPPUNIT_ASSERT(!health.OnTick(probe - absl::Milliseconds(1)));
      CPPUNIT_ASSERT(health.OnTick(probe));
      CPPUNIT_ASSERT(health.state() == State::kProbing);
      now_ = probe;
      CPPUNIT_ASSERT(health.OnResult(now_, false));
    }
    now_ += absl::Seconds(60);
    health.OnTick(now_);
    CPPUNIT_ASSERT(health.OnResult(now_, true));
    CPPUNIT_ASSERT(health.state() == State::kHealthy);
    Eject(health);
    CPPUNIT_ASSERT(health.OnTick(now_ + absl::Seconds(5)));
  }

  // Guards against a health end point that misleads.
  void HintsNeitherEjectNorRestore() {
    TargetHealth health;
    for (int i = 0; i < 100; ++i)
      health.OnHint(now_, false);
    CPPUNIT_ASSERT(health.state() == State::kHealthy);
    Eject(health);
    health.OnHint(now_, true);
    CPPUNIT_ASSERT(health.state() == State::kEjected);
    CPPUNIT_ASSERT(!health.OnTick(now_ + absl::Milliseconds(4999)));
    CPPUNIT_ASSERT(health.OnTick(now_ + absl::Seconds(5)));
  }

 private:
  void Eject(TargetHealth& health) {
    for (int i = 0; i < 5; ++i)
      health.OnResult(now_, false);
  }

  absl::Time now_ = absl::UnixEpoch();
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthTest);

}  // namespace
}  // namespace skylarkshunt
