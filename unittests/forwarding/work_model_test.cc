#include "skylarkshunt/forwarding/work_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include "packets.h"

namespace skylarkshunt {
namespace {

const Endpoint kShort{0xc6120001, 443};
const Endpoint kHeavy{0xc6120002, 443};
const Endpoint kUnknown{0xc6120003, 443};

class WorkModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkModelTest);
  CPPUNIT_TEST(LongRequestMakesTheTargetNeitherIdleNorDead);
  CPPUNIT_TEST(RoutesHaveTheirOwnWork);
  CPPUNIT_TEST(LongRequestsHardlyChangeTheTypicalWork);
  CPPUNIT_TEST(SlowTargetIsFollowed);
  CPPUNIT_TEST(RestartDiscardsTheEstimates);
  CPPUNIT_TEST(TablesAreBounded);
  CPPUNIT_TEST(WaitIsPredicted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { work_.set_slots(2); }

  // 3% of requests take 7 times as long. Guards against a target that gets no
  // flow because of one of them, and against one that seems to be free soon
  // while both slots have run for longer than usual.
  void LongRequestMakesTheTargetNeitherIdleNorDead() {
    ServeMixed();
    const WorkModel::Token first = Start(kShort);
    CPPUNIT_ASSERT_EQUAL(kPendingWorkUnitUs, Pending(1));
    now_ += absl::Milliseconds(60);
    CPPUNIT_ASSERT_EQUAL(kPendingWorkUnitUs, Pending(1));
    const WorkModel::Token second = Start(kShort);
    const uint32_t with_new = Pending(2);
    CPPUNIT_ASSERT(with_new > 15'000 && with_new < 28'000);
    now_ += absl::Milliseconds(30);
    const uint32_t both_long = Pending(2);
    CPPUNIT_ASSERT(both_long > with_new && both_long < 160'000);
    now_ += absl::Seconds(30);
    CPPUNIT_ASSERT(Pending(2) <= 8 * 21'000);
    work_.End(first);
    work_.End(second);
    CPPUNIT_ASSERT_EQUAL(kPendingWorkUnitUs, Pending(0));
  }

  // Requests of one kind that cost targets very different amounts of work.
  void RoutesHaveTheirOwnWork() {
    for (int i = 0; i < 20; ++i) {
      Serve(kShort, absl::Milliseconds(10));
      Serve(kHeavy, absl::Milliseconds(40));
    }
    CPPUNIT_ASSERT(IsAbout(10'000, work_.ExpectedWorkUs(kShort)));
    CPPUNIT_ASSERT(IsAbout(40'000, work_.ExpectedWorkUs(kHeavy)));
    CPPUNIT_ASSERT(IsAbout(20'000, work_.ExpectedWorkUs(kUnknown)));
    Start(kHeavy);
    Start(kHeavy);
    Start(kShort);
    CPPUNIT_ASSERT(IsAbout(40'000, Pending(3)));
    now_ += absl::Milliseconds(30);
    CPPUNIT_ASSERT(Pending(3) < 20'000);
    WorkModel::QueueWork queue;
    queue.Add(work_.ExpectedWorkUs(kHeavy));
    queue.Add(work_.ExpectedWorkUs(kHeavy));
    CPPUNIT_ASSERT(work_.PendingUs(3, queue, now_) > Pending(3) + 30'000);
  }

  // Heavy tail. Guards against an estimate that jumps with each long request.
  void LongRequestsHardlyChangeTheTypicalWork() {
    ServeMixed();
    const double before = work_.ExpectedWorkUs(kShort);
    CPPUNIT_ASSERT(before > 20'000 && before < 27'000);
    Serve(kShort, absl::Milliseconds(140));
    CPPUNIT_ASSERT(work_.ExpectedWorkUs(kShort) < 1.2 * before);
  }

  // A target that turns slow.
  void SlowTargetIsFollowed() {
    ServeMixed();
    for (int i = 0; i < 20; ++i)
      Serve(kShort, absl::Milliseconds(100));
    CPPUNIT_ASSERT(work_.ExpectedWorkUs(kShort) > 80'000);
  }

  // Guards against estimates of a process that has ended.
  void RestartDiscardsTheEstimates() {
    ServeMixed();
    work_.Reset();
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, Pending(0));
    CPPUNIT_ASSERT_EQUAL(0.0, work_.ExpectedWorkUs(kShort));
  }

  // More routes, requests and slots than the model holds.
  void TablesAreBounded() {
    Serve(kHeavy, absl::Milliseconds(90));
    for (uint32_t i = 0; i < WorkModel::kMaxRoutes; ++i) {
      Serve({i, 1}, absl::Milliseconds(20));
      Serve(kShort, absl::Milliseconds(10));
    }
    CPPUNIT_ASSERT(IsAbout(10'000, work_.ExpectedWorkUs(kShort)));
    CPPUNIT_ASSERT(work_.ExpectedWorkUs(kHeavy) < 30'000);
    for (size_t i = 0; i < WorkModel::kMaxTracked; ++i)
      CPPUNIT_ASSERT(Start(kShort) != 0);
    CPPUNIT_ASSERT_EQUAL(WorkModel::Token{0}, Start(kShort));
    const uint32_t tracked = Pending(WorkModel::kMaxTracked);
    CPPUNIT_ASSERT(Pending(WorkModel::kMaxTracked + 10) > tracked + 50'000);
    CPPUNIT_ASSERT(Pending(1'000'000) <= 0xffff * kPendingWorkUnitUs);
    work_.set_slots(WorkModel::kMaxSlots + 1);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, Pending(1));
  }

  // Guards against a metric that does not show how far the estimate was off.
  void WaitIsPredicted() {
    for (int i = 0; i < 20; ++i)
      Serve(kShort, absl::Milliseconds(20));
    const WorkModel::Token first = Start(kShort);
    Start(kShort);
    now_ += absl::Milliseconds(5);
    Start(kShort);
    now_ += absl::Milliseconds(45);
    work_.OnAnswer(first, now_);
    work_.End(first);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, work_.accuracy().waits);
    CPPUNIT_ASSERT(work_.accuracy().observed == absl::Milliseconds(45));
    CPPUNIT_ASSERT(work_.accuracy().predicted > absl::Milliseconds(10) &&
                   work_.accuracy().predicted < absl::Milliseconds(20));
    CPPUNIT_ASSERT(work_.accuracy().error > absl::Milliseconds(25));
  }

 private:
  static bool IsAbout(double expected, double value) {
    return value > 0.85 * expected && value < 1.15 * expected;
  }

  WorkModel::Token Start(const Endpoint& route) {
    const WorkModel::Token token = work_.Begin(route, now_);
    work_.OnRequest(token, now_);
    return token;
  }

  void Serve(const Endpoint& route, absl::Duration time) {
    const WorkModel::Token token = Start(route);
    now_ += time;
    work_.OnAnswer(token, now_);
    work_.End(token);
  }

  /// 20 ms, and 140 ms for 3 in 100.
  void ServeMixed() {
    for (int i = 0; i < 200; ++i)
      Serve(kShort, absl::Milliseconds(i % 33 == 5 ? 140 : 20));
  }

  uint32_t Pending(uint32_t busy) const {
    return work_.PendingUs(busy, WorkModel::QueueWork(), now_);
  }

  WorkModel work_;
  absl::Time now_ = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkModelTest);

}  // namespace
}  // namespace skylarkshunt
