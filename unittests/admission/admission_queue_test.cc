#include "skylarkshunt/admission/admission_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkshunt {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr size_t kSmallestQueue = 16;

class AdmissionQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionQueueTest);
  CPPUNIT_TEST(ShortRequestsPassStragglers);
  CPPUNIT_TEST(AgeingEndsTheWaitOfStragglers);
  CPPUNIT_TEST(StragglersLeaveSlotsFree);
  CPPUNIT_TEST(StragglersHoldAQuarterWhileShortRequestsWait);
  CPPUNIT_TEST(OneSlotStillRunsStragglers);
  CPPUNIT_TEST(RefusesWhatWouldMissItsDeadline);
  CPPUNIT_TEST(OutdatedDurationIsLearnedAgain);
  CPPUNIT_TEST(ShedsLeastWorthWhenFull);
  CPPUNIT_TEST(ExpiredRequestsLeaveTheQueue);
  CPPUNIT_TEST(BaselineIsFirstComeFirstServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const KindConfig kinds[] = {{"pull", 10, true, absl::Milliseconds(100)},
                                {"low", 1, true, absl::Milliseconds(100)},
                                {"archive", 10, true, absl::Seconds(4)}};
    model_.Configure(kinds);
  }

  // Guards against head-of-line blocking behind a straggler.
  void ShortRequestsPassStragglers() {
    AdmissionQueue queue(model_, false);
    Fill(queue, "pull");
    Offer(queue, 2, "archive", kStart);
    Offer(queue, 3, "pull", kStart + absl::Seconds(1));
    queue.OnRunEnded(Id(1));
    ExpectNext(queue, 3);
    queue.OnRunEnded(Id(3));
    ExpectNext(queue, 2);
  }

  void AgeingEndsTheWaitOfStragglers() {
    AdmissionQueue queue(model_, false);
    Fill(queue, "pull");
    Offer(queue, 2, "archive", kStart);
    Offer(queue, 3, "pull", kStart + absl::Seconds(10));
    queue.OnRunEnded(Id(1));
    ExpectNext(queue, 2);
  }

  void StragglersLeaveSlotsFree() {
    for (const auto& [slots, limit] :
         {std::pair<size_t, size_t>{2, 1}, {3, 1}, {4, 2}, {7, 3}}) {
      AdmissionQueue queue(model_, false);
      queue.SetSlots(slots);
      for (uint64_t id = 1; id <= slots; ++id)
        Offer(queue, id, "archive", kStart);
      size_t started = 0;
      while (queue.Next(kStart).has_value())
        ++started;
      CPPUNIT_ASSERT_EQUAL(limit, started);
      CPPUNIT_ASSERT(queue.HasFreeSlot("pull"));
      CPPUNIT_ASSERT(!queue.HasFreeSlot("archive"));
    }
  }

  // Guards against stragglers that age past short requests and then hold half
  // of the slots through the crest of a swing.
  void StragglersHoldAQuarterWhileShortRequestsWait() {
    AdmissionQueue queue(model_, false);
    queue.SetSlots(4);
    for (uint64_t id = 1; id <= 4; ++id) {
      Offer(queue, id, "pull", kStart);
      ExpectNext(queue, id);
    }
    Offer(queue, 5, "archive", kStart);
    Offer(queue, 6, "archive", kStart);
    Offer(queue, 7, "pull", kStart + absl::Seconds(20));
    queue.OnRunEnded(Id(1));
    ExpectNext(queue, 5);
    queue.OnRunEnded(Id(2));
    ExpectNext(queue, 7);
    // No short request waits any more.
    queue.OnRunEnded(Id(3));
    ExpectNext(queue, 6);
  }

  void OneSlotStillRunsStragglers() {
    AdmissionQueue queue(model_, false);
    Offer(queue, 1, "archive", kStart);
    ExpectNext(queue, 1);
  }

  void RefusesWhatWouldMissItsDeadline() {
    AdmissionQueue queue(model_, false);
    Fill(queue, "archive");
    WaitingRequest request = Make(2, "pull", kStart);
    request.deadline = kStart + absl::Seconds(4);
    CPPUNIT_ASSERT(queue.Offer(kStart, request).verdict ==
                   AdmissionQueue::Verdict::kMissesDeadline);
    request.deadline = kStart + absl::Milliseconds(4100);
    CPPUNIT_ASSERT(queue.Offer(kStart, request).verdict ==
                   AdmissionQueue::Verdict::kQueued);
  }

  // Guards against a kind that was slow once, is refused ever after and so is
  // never seen to be fast again.
  void OutdatedDurationIsLearnedAgain() {
    AdmissionQueue queue(model_, false);
    for (int run = 0; run < 100; ++run)
      model_.Observe("pull", absl::Seconds(100));
    size_t started = 0;
    for (uint64_t id = 1; id <= 2'000; ++id) {
      queue.Offer(kStart, Make(id, "pull", kStart));
      if (!queue.Next(kStart).has_value())
        continue;
      ++started;
      queue.OnRunEnded(Id(id));
      model_.Observe("pull", absl::Milliseconds(100));
    }
    CPPUNIT_ASSERT(model_.Expected("pull") < absl::Seconds(1));
    CPPUNIT_ASSERT(started > 1'000);
  }

  void ShedsLeastWorthWhenFull() {
    AdmissionQueue queue(model_, false);
    Fill(queue, "pull");
    for (uint64_t id = 2; id < 2 + kSmallestQueue; ++id)
      Offer(queue, id, id == 5 ? "low" : "pull", kStart);
    CPPUNIT_ASSERT_EQUAL(kSmallestQueue, queue.queued());
    CPPUNIT_ASSERT(queue.Offer(kStart, Make(50, "low", kStart)).verdict ==
                   AdmissionQueue::Verdict::kFull);
    const auto admission = queue.Offer(kStart, Make(51, "pull", kStart));
    CPPUNIT_ASSERT(admission.displaced == Id(5));
    CPPUNIT_ASSERT(queue.Offer(kStart, Make(52, "pull", kStart)).verdict ==
                   AdmissionQueue::Verdict::kFull);
    CPPUNIT_ASSERT_EQUAL(kSmallestQueue, queue.queued());
  }

  void ExpiredRequestsLeaveTheQueue() {
    AdmissionQueue queue(model_, false);
    Fill(queue, "pull");
    Offer(queue, 2, "pull", kStart);
    const absl::Time deadline = kStart + absl::Minutes(1);
    CPPUNIT_ASSERT(queue.TakeExpired(deadline - absl::Nanoseconds(1)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, queue.TakeExpired(deadline).size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, queue.queued());
  }

  void BaselineIsFirstComeFirstServed() {
    AdmissionQueue queue(model_, true);
    Fill(queue, "pull");
    Offer(queue, 2, "archive", kStart);
    Offer(queue, 3, "pull", kStart + absl::Milliseconds(1));
    queue.OnRunEnded(Id(1));
    ExpectNext(queue, 2);
  }

 private:
  static RequestId Id(uint64_t id) { return RequestId{0, id}; }

  static WaitingRequest Make(uint64_t id,
                             const std::string& kind,
                             absl::Time arrived) {
    return {Id(id), kind, kind == "low" ? 1u : 10u, arrived,
            arrived + absl::Minutes(1)};
  }

  static void Offer(AdmissionQueue& queue,
                    uint64_t id,
                    const std::string& kind,
                    absl::Time arrived) {
    CPPUNIT_ASSERT(queue.Offer(arrived, Make(id, kind, arrived)).verdict ==
                   AdmissionQueue::Verdict::kQueued);
  }

  // Occupies the only slot with request 1.
  static void Fill(AdmissionQueue& queue, const std::string& kind) {
    Offer(queue, 1, kind, kStart);
    ExpectNext(queue, 1);
  }

  static void ExpectNext(AdmissionQueue& queue, uint64_t id) {
    CPPUNIT_ASSERT(queue.Next(kStart) == Id(id));
  }

  DurationModel model_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

}  // namespace
}  // namespace skylarkshunt
