#include <cppunit/extensions/HelperMacros.h>

#include "packets.h"
#include "skylarkshunt/forwarding/load_model.h"

namespace skylarkshunt {
namespace {

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(WaitGrowsBeyondTheSlots);
  CPPUNIT_TEST(PendingWorkReplacesTheCount);
  CPPUNIT_TEST(SingleLongRequestsHardlyCount);
  CPPUNIT_TEST(SlowTargetIsDetectedAndGetsRequestsAgain);
  CPPUNIT_TEST(WaitForASlotIsSubtracted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WaitGrowsBeyondTheSlots() {
    AgentLoad load;
    load.slots = 4;
    load.service_time_us = 20'000;
    load.busy = 3;
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, ExpectedWaitUs(load, 0));
    CPPUNIT_ASSERT_EQUAL(uint32_t{5'000}, ExpectedWaitUs(load, 1));
    load.busy = 11;
    CPPUNIT_ASSERT_EQUAL(uint32_t{40'000}, ExpectedWaitUs(load, 0));
    load.slots = 0;
    CPPUNIT_ASSERT(ExpectedWaitUs(load, 0) > 1'000'000'000);
  }

  // Guards against an entry and an agent that disagree about a wait, and
  // against an estimate that is wrong by a large factor.
  void PendingWorkReplacesTheCount() {
    AgentLoad load;
    load.slots = 2;
    load.service_time_us = 20'000;
    load.busy = 4;
    load.pending_work_us = 25'600;
    CPPUNIT_ASSERT_EQUAL(25'600 - kPendingWorkUnitUs, ExpectedWaitUs(load, 0));
    CPPUNIT_ASSERT_EQUAL(35'600 - kPendingWorkUnitUs, ExpectedWaitUs(load, 1));
    load.pending_work_us = 4'000'000;
    CPPUNIT_ASSERT_EQUAL(uint32_t{52'500}, ExpectedWaitUs(load, 0));
    load.pending_work_us = kPendingWorkUnitUs;
    CPPUNIT_ASSERT_EQUAL(uint32_t{11'428}, ExpectedWaitUs(load, 0));
    load.busy = 1;
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, ExpectedWaitUs(load, 0));
    CPPUNIT_ASSERT_EQUAL(uint32_t{10'000}, ExpectedWaitUs(load, 1));
  }

  // 3% of requests run seven times longer than the mean.
  void SingleLongRequestsHardlyCount() {
    ServiceTimeModel model;
    CPPUNIT_ASSERT(model.estimate(kStart) == absl::ZeroDuration());
    for (int i = 0; i < 50; ++i)
      model.Record(absl::Milliseconds(25), 0, 4, kStart);
    model.Record(absl::Milliseconds(175), 0, 4, kStart);
    CPPUNIT_ASSERT(model.estimate(kStart) < absl::Milliseconds(32));
  }

  void SlowTargetIsDetectedAndGetsRequestsAgain() {
    ServiceTimeModel model;
    for (int i = 0; i < 20; ++i)
      model.Record(absl::Milliseconds(25), 0, 4, kStart);
    for (int i = 0; i < 8; ++i)
      model.Record(absl::Milliseconds(125), 0, 4, kStart);
    CPPUNIT_ASSERT(model.estimate(kStart) > absl::Milliseconds(60));
    CPPUNIT_ASSERT(model.estimate(kStart + absl::Seconds(2)) <
                   absl::Milliseconds(40));
  }

  void WaitForASlotIsSubtracted() {
    ServiceTimeModel model;
    model.Record(absl::Milliseconds(50), 7, 4, kStart);
    CPPUNIT_ASSERT(model.estimate(kStart) > absl::Milliseconds(24) &&
                   model.estimate(kStart) < absl::Milliseconds(26));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace skylarkshunt
