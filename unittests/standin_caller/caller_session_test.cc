#include "standins/caller/caller_session.h"

#include <cppunit/extensions/HelperMacros.h>

#include "standins/work/work_order.h"

namespace skylarkshunt {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

CallPlan Filing() {
  CallPlan plan;
  plan.kind = "filing";
  plan.answer_bytes = 100;
  return plan;
}

CallPlan Retrieval(uint64_t bytes) {
  CallPlan plan = Filing();
  plan.kind = "retrieval";
  plan.idempotent = true;
  plan.answer_bytes = bytes;
  return plan;
}

Binding BindingTo(uint64_t uid) {
  return Binding{InstanceUid{uid}, Incarnation{5}, 10};
}

Answer Refusal(const RequestId& id, Outcome outcome, Reason reason) {
  Answer answer;
  answer.request_id = id;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.retry_after_ms = 70;
  return answer;
}

Answer BindAnswer(const RequestId& id, uint64_t uid) {
  Answer answer = Refusal(id, Outcome::kBind, Reason::kNone);
  answer.binding = BindingTo(uid);
  return answer;
}

Answer Chunk(const RequestId& id, uint64_t total, uint32_t index) {
  Answer answer;
  answer.request_id = id;
  answer.total_bytes = total;
  answer.chunk_index = index;
  answer.chunk_count =
      static_cast<uint32_t>((total + kChunkBytes - 1) / kChunkBytes);
  answer.body = MakeAnswer(id, total).substr(index * kChunkBytes, kChunkBytes);
  return answer;
}

class CallerSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerSessionTest);
  CPPUNIT_TEST(FirstBindingIsKept);
  CPPUNIT_TEST(NothingRepeatsAfterNotRun);
  CPPUNIT_TEST(NothingRepeatsAfterOutcomeUnknown);
  CPPUNIT_TEST(RepeatsBackOffUntilTheDeadline);
  CPPUNIT_TEST(LateAnswerOfAnotherRequestIsNotTaken);
  CPPUNIT_TEST(AnswerOfAnotherRequestIsWrong);
  CPPUNIT_TEST(LargeAnswerIsFetchedInRanges);
  CPPUNIT_TEST(LostAgentBreaksTheFlowAndOpensItAnew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    session_ = CallerSession({"registre", 77, 3});
    output_ = {};
  }

  // Guards against a filing that runs twice because two agents each gave a
  // binding.
  void FirstBindingIsKept() {
    const RequestId id = session_.Start(kStart, Filing(), &output_);
    CPPUNIT_ASSERT(LastRequest().opening);
    CPPUNIT_ASSERT(!LastRequest().binding);
    session_.OnAnswer(kStart, BindAnswer(id, 1), &output_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, output_.messages.size());
    CPPUNIT_ASSERT(LastRequest().request_id == id);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, LastRequest().attempt);
    CPPUNIT_ASSERT(*LastRequest().binding == BindingTo(1));
    session_.OnAnswer(kStart, BindAnswer(id, 2), &output_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, output_.messages.size());
    session_.OnTime(kStart + kFirstTimeout, &output_);
    CPPUNIT_ASSERT(*LastRequest().binding == BindingTo(1));
    session_.Start(kStart + kFirstTimeout, Filing(), &output_);
    CPPUNIT_ASSERT(*LastRequest().binding == BindingTo(1));
    CPPUNIT_ASSERT(!LastRequest().opening);
  }

  // Guards against a repeat of a refused request, which would make the
  // refusal untrue.
  void NothingRepeatsAfterNotRun() {
    const RequestId id = session_.Start(kStart, Filing(), &output_);
    session_.OnAnswer(
        kStart, Refusal(id, Outcome::kNotRun, Reason::kOverloaded), &output_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, output_.finished.size());
    CPPUNIT_ASSERT(output_.finished[0].end == CallEnd::kNotRun);
    CPPUNIT_ASSERT(output_.finished[0].reason == Reason::kOverloaded);
    CPPUNIT_ASSERT_EQUAL(uint32_t{70}, output_.finished[0].retry_after_ms);
    session_.OnAnswer(kStart, BindAnswer(id, 1), &output_);
    ExpectSilence(id);
    CPPUNIT_ASSERT(!session_.broken());
  }

  void NothingRepeatsAfterOutcomeUnknown() {
    const RequestId id = session_.Start(kStart, Filing(), &output_);
    session_.OnAnswer(kStart, BindAnswer(id, 1), &output_);
    session_.OnAnswer(
        kStart, Refusal(id, Outcome::kOutcomeUnknown, Reason::kWrongInstance),
        &output_);
    CPPUNIT_ASSERT(output_.finished[0].end == CallEnd::kOutcomeUnknown);
    CPPUNIT_ASSERT(!output_.finished[0].missing);
    ExpectSilence(id);
  }

  void RepeatsBackOffUntilTheDeadline() {
    CallPlan plan = Retrieval(10);
    plan.deadline = absl::Seconds(3);
    session_.Start(kStart, plan, &output_);
    const RequestId filing = session_.Start(kStart, Filing(), &output_);
    std::vector<int64_t> sent_ms;
    while (output_.finished.empty()) {
      const absl::Time now = session_.NextWake();
      const size_t before = output_.messages.size();
      session_.OnTime(now, &output_);
      for (size_t i = before; i < output_.messages.size(); ++i) {
        if (std::get<Request>(output_.messages[i]).request_id != filing)
          sent_ms.push_back(absl::ToInt64Milliseconds(now - kStart));
      }
    }
    const std::vector<int64_t> expected = {150, 450, 1050, 2050};
    CPPUNIT_ASSERT(expected == sent_ms);
    CPPUNIT_ASSERT(output_.finished[0].end == CallEnd::kTimedOut);
    CPPUNIT_ASSERT(output_.finished[0].missing);
    session_.OnTime(kStart + Filing().deadline, &output_);
    CPPUNIT_ASSERT(output_.finished[1].end == CallEnd::kOutcomeUnknown);
  }

  // Guards against taking the late answer of an earlier request for the one
  // that is pending.
  void LateAnswerOfAnotherRequestIsNotTaken() {
    const RequestId first = session_.Start(kStart, Retrieval(50), &output_);
    session_.OnAnswer(kStart, Chunk(first, 50, 0), &output_);
    const RequestId second = session_.Start(kStart, Retrieval(50), &output_);
    session_.OnAnswer(kStart, Chunk(first, 50, 0), &output_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, output_.finished.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, session_.pending());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, session_.ignored_answers());
    session_.OnAnswer(kStart, Chunk(second, 50, 0), &output_);
    CPPUNIT_ASSERT(output_.finished[1].id == second);
    CPPUNIT_ASSERT(output_.finished[1].end == CallEnd::kOk);
  }

  // Guards against a check that would pass bytes of another request.
  void AnswerOfAnotherRequestIsWrong() {
    const RequestId id = session_.Start(kStart, Retrieval(50), &output_);
    Answer swapped = Chunk(RequestId{1, 1}, 50, 0);
    swapped.request_id = id;
    session_.OnAnswer(kStart, swapped, &output_);
    CPPUNIT_ASSERT(output_.finished[0].end == CallEnd::kWrongAnswer);
  }

  void LargeAnswerIsFetchedInRanges() {
    constexpr uint64_t kTotal = 40'000;
    const RequestId id = session_.Start(kStart, Retrieval(kTotal), &output_);
    // The last two chunks of the first burst are lost.
    for (uint32_t i = 0; i + 2 < kMaxChunksPerFetch; ++i)
      session_.OnAnswer(kStart, Chunk(id, kTotal, i), &output_);
    session_.OnTime(kStart + kFirstTimeout, &output_);
    size_t served = 1;
    while (output_.finished.empty()) {
      CPPUNIT_ASSERT_EQUAL(served + 1, output_.messages.size());
      const auto fetch = std::get<Fetch>(output_.messages[served]);
      CPPUNIT_ASSERT(fetch.chunk_count <= kMaxChunksPerFetch);
      for (uint32_t i = fetch.chunk_count; i > 0; --i) {
        session_.OnAnswer(kStart, Chunk(id, kTotal, fetch.first_chunk + i - 1),
                          &output_);
      }
      ++served;
    }
    CPPUNIT_ASSERT(output_.finished[0].end == CallEnd::kOk);
    CPPUNIT_ASSERT(std::holds_alternative<Done>(output_.messages.back()));
  }

  void LostAgentBreaksTheFlowAndOpensItAnew() {
    const RequestId first = session_.Start(kStart, Retrieval(50), &output_);
    Answer answer = Chunk(first, 50, 0);
    answer.binding = BindingTo(1);
    session_.OnAnswer(kStart, answer, &output_);
    const RequestId second = session_.Start(kStart, Filing(), &output_);
    CPPUNIT_ASSERT(!session_.broken());
    session_.OnAnswer(
        kStart,
        Refusal(second, Outcome::kOutcomeUnknown, Reason::kWrongInstance),
        &output_);
    CPPUNIT_ASSERT(session_.broken());
    session_.Start(kStart, Filing(), &output_);
    CPPUNIT_ASSERT(LastRequest().opening);
    CPPUNIT_ASSERT(!LastRequest().binding);
  }

 private:
  const Request& LastRequest() const {
    return std::get<Request>(output_.messages.back());
  }

  // Runs the session past the deadline of every request.
  void ExpectSilence(const RequestId& id) {
    const size_t before = output_.messages.size();
    session_.OnTime(kStart + absl::Minutes(10), &output_);
    CPPUNIT_ASSERT_EQUAL(before, output_.messages.size());
    const RequestId next = session_.Start(kStart, Filing(), &output_);
    CPPUNIT_ASSERT(next != id);
  }

  CallerSession session_{{"registre", 77, 3}};
  CallerOutput output_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerSessionTest);

}  // namespace
}  // namespace skylarkshunt
