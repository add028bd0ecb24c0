#include "skylarkshunt/forwarding/opening_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include "packets.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kAnswerTime = absl::Milliseconds(50);

WaitingOpening Waiting(uint16_t port,
                       absl::Duration objective,
                       absl::Duration client_deadline,
                       uint8_t priority = 2) {
  WaitingOpening opening;
  opening.flow = FlowPackets(port).flow();
  opening.priority = priority;
  opening.objective = kStart + objective;
  opening.client_deadline = kStart + client_deadline;
  // A third of the deadline of the deployments' requests.
  opening.evaluated_from = kStart + client_deadline - absl::Milliseconds(567);
  return opening;
}

uint16_t PopPort(OpeningQueue& queue, absl::Time now) {
  const absl::optional<WaitingOpening> next = queue.Pop(now, kAnswerTime);
  return next.has_value() ? next->flow.client.port : 0;
}

class OpeningQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpeningQueueTest);
  CPPUNIT_TEST(BacklogAfterAnOutageDoesNotDelayNewCallers);
  CPPUNIT_TEST(UrgentCallersComeFirst);
  CPPUNIT_TEST(GivenUpCallersLeave);
  CPPUNIT_TEST(HopelessCallersAreToldEarly);
  CPPUNIT_TEST(LateCallersThatGetSlotsAreKept);
  CPPUNIT_TEST(FullQueueDropsWhatIsServedLast);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Pattern: an outage leaves a backlog of callers that are late in any case,
  // and new callers arrive behind them. Guards against serving all of them
  // late.
  void BacklogAfterAnOutageDoesNotDelayNewCallers() {
    OpeningQueue queue;
    for (uint16_t port = 1; port <= 5; ++port) {
      queue.Push(Waiting(port, absl::Milliseconds(-100),
                         absl::Milliseconds(800 - port)),
                 kStart);
    }
    queue.Push(Waiting(10, absl::Milliseconds(100), absl::Seconds(1)), kStart);
    queue.Push(Waiting(11, absl::Milliseconds(150), absl::Seconds(1)), kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, queue.CountInTime(kStart, kAnswerTime));
    CPPUNIT_ASSERT_EQUAL(uint16_t{11}, PopPort(queue, kStart));
    CPPUNIT_ASSERT_EQUAL(uint16_t{10}, PopPort(queue, kStart));
    // Of the late ones, the one whose client gives up first.
    CPPUNIT_ASSERT_EQUAL(uint16_t{5}, PopPort(queue, kStart));
  }

  void UrgentCallersComeFirst() {
    OpeningQueue queue;
    queue.Push(Waiting(1, absl::Milliseconds(200), absl::Seconds(1), 2),
               kStart);
    queue.Push(Waiting(2, absl::Milliseconds(100), absl::Seconds(1), 1),
               kStart);
    CPPUNIT_ASSERT_EQUAL(uint16_t{2}, PopPort(queue, kStart));
    CPPUNIT_ASSERT_EQUAL(uint16_t{1}, PopPort(queue, kStart));
    CPPUNIT_ASSERT_EQUAL(uint16_t{0}, PopPort(queue, kStart));
  }

  // Guards against a slot for a client that is gone.
  void GivenUpCallersLeave() {
    OpeningQueue queue;
    queue.Push(Waiting(1, absl::Milliseconds(10), absl::Milliseconds(500)),
               kStart);
    queue.Push(Waiting(2, absl::Milliseconds(10), absl::Milliseconds(900)),
               kStart);
    const auto gone = queue.TakeUnservable(
        kStart + absl::Milliseconds(500) - OpeningQueue::kRefusalMargin,
        absl::Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, gone.size());
    CPPUNIT_ASSERT_EQUAL(uint16_t{1}, gone[0].flow.client.port);
    CPPUNIT_ASSERT(!queue.Contains(gone[0].flow));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, queue.size());
  }

  // Pattern: a crest in which new callers take every slot, with late ones
  // behind them. Guards against clients that are kept until they give up,
  // though it is known that they get no slot.
  void HopelessCallersAreToldEarly() {
    OpeningQueue queue;
    for (uint16_t port = 1; port <= 20; ++port)
      queue.Push(Waiting(port, absl::Milliseconds(-1), absl::Milliseconds(800)),
                 kStart);
    absl::Time now = kStart;
    for (uint16_t port = 100; port < 150; ++port) {
      queue.Push(Waiting(port, absl::Milliseconds(1200), absl::Seconds(2)),
                 now);
      now += absl::Milliseconds(8);
      CPPUNIT_ASSERT_EQUAL(port, PopPort(queue, now));
    }
    CPPUNIT_ASSERT(queue
                       .TakeUnservable(kStart + absl::Milliseconds(200),
                                       absl::Milliseconds(8))
                       .empty());
    const auto gone = queue.TakeUnservable(now, absl::Milliseconds(8));
    CPPUNIT_ASSERT(gone.size() >= 19);
    // Each attempt has had its share of the deadline, and the next one has
    // the same.
    CPPUNIT_ASSERT(kStart + absl::Milliseconds(800) - now >=
                   absl::Milliseconds(390));
  }

  // Guards against refusals of callers that a shrinking backlog serves.
  void LateCallersThatGetSlotsAreKept() {
    OpeningQueue queue;
    for (uint16_t port = 1; port <= 70; ++port)
      queue.Push(Waiting(port, absl::Milliseconds(-1), absl::Milliseconds(800)),
                 kStart);
    absl::Time now = kStart;
    size_t gone = 0;
    while (queue.size() > 0) {
      now += absl::Milliseconds(8);
      PopPort(queue, now);
      gone += queue.TakeUnservable(now, absl::Milliseconds(8)).size();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, gone);
  }

  void FullQueueDropsWhatIsServedLast() {
    OpeningQueue queue;
    for (size_t i = 0; i < OpeningQueue::kMaxWaiting; ++i) {
      const auto dropped =
          queue.Push(Waiting(static_cast<uint16_t>(i + 1),
                             absl::Milliseconds(-1), absl::Milliseconds(i)),
                     kStart);
      CPPUNIT_ASSERT(!dropped.has_value());
    }
    const auto dropped =
        queue.Push(Waiting(9999, absl::Seconds(1), absl::Seconds(2)), kStart);
    CPPUNIT_ASSERT(dropped.has_value());
    CPPUNIT_ASSERT_EQUAL(static_cast<uint16_t>(OpeningQueue::kMaxWaiting),
                         dropped->flow.client.port);
    CPPUNIT_ASSERT_EQUAL(uint16_t{9999}, PopPort(queue, kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpeningQueueTest);

}  // namespace
}  // namespace skylarkshunt
