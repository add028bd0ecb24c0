#include "skylarkshunt/process/watch_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkshunt {
namespace {

class WatchScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchScheduleTest);
  CPPUNIT_TEST(LostWatchLeavesTimeForTheNextCall);
  CPPUNIT_TEST(WatchAfterALostOneIsShort);
  CPPUNIT_TEST(CallsOfALargeFleetAreBounded);
  CPPUNIT_TEST(LimitMustBePositive);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a watch that is trusted for longer than the limit of a
  // change (review case 1), for every limit.
  void LostWatchLeavesTimeForTheNextCall() {
    for (int ms = 1000; ms <= 30'000; ms += 500) {
      const absl::Duration limit = absl::Milliseconds(ms);
      const WatchSchedule schedule = WatchSchedule::Create(limit).value();
      for (size_t rank = 0; rank < WatchSchedule::kIndependentEntries; ++rank) {
        CPPUNIT_ASSERT(schedule.NextWait(rank) + schedule.answer_timeout() +
                           WatchSchedule::kProbeWait <
                       limit);
      }
    }
  }

  void WatchAfterALostOneIsShort() {
    WatchSchedule schedule = WatchSchedule::Create(absl::Seconds(6)).value();
    schedule.OnLost();
    CPPUNIT_ASSERT(schedule.is_probing());
    CPPUNIT_ASSERT(schedule.NextWait(0) == WatchSchedule::kProbeWait);
    CPPUNIT_ASSERT(schedule.NextWait(500) == WatchSchedule::kProbeWait);
    schedule.OnAnswered();
    CPPUNIT_ASSERT(!schedule.is_probing());
    CPPUNIT_ASSERT(schedule.NextWait(0) > WatchSchedule::kProbeWait);
  }

  // Guards against calls that grow with the fleet faster than one per entry and
  // longest wait, apart from a constant share of the first entries.
  void CallsOfALargeFleetAreBounded() {
    const WatchSchedule schedule =
        WatchSchedule::Create(absl::Seconds(6)).value();
    constexpr size_t kEntries = 530;
    double calls_per_second = 0;
    absl::Duration previous;
    for (size_t rank = 0; rank < kEntries; ++rank) {
      const absl::Duration wait = schedule.NextWait(rank);
      CPPUNIT_ASSERT(wait >= previous);
      CPPUNIT_ASSERT(wait <= WatchSchedule::kMaxWait);
      previous = wait;
      calls_per_second += 1 / absl::ToDoubleSeconds(wait);
    }
    CPPUNIT_ASSERT(calls_per_second < kEntries / 10.0 + 8);
  }

  void LimitMustBePositive() {
    CPPUNIT_ASSERT(WatchSchedule::Create(absl::ZeroDuration()).error().kind ==
                   ErrorKind::kInvalidArgument);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchScheduleTest);

}  // namespace
}  // namespace skylarkshunt
