#include <cppunit/extensions/HelperMacros.h>

#include "flows/agent_test_support.h"

namespace skylarkshunt {
namespace {

class AgentAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentAnswersTest);
  CPPUNIT_TEST(EmptyAnswerIsOneChunk);
  CPPUNIT_TEST(LargeAnswerComesInRanges);
  CPPUNIT_TEST(FullStoreDropsTheOldest);
  CPPUNIT_TEST(AnswerIsDroppedAfterDoneOrRetention);
  CPPUNIT_TEST(FetchOfUnknownAnswerIsForwarded);
  CPPUNIT_TEST(RepliesCarrySenderAndLoad);
  CPPUNIT_TEST(AgedBindingIsRenewed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EmptyAnswerIsOneChunk() {
    TestAgent agent(0);
    const Answer answer = OnlyAnswer(Run(agent, 10, ""));
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, answer.chunk_count);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, answer.total_bytes);
  }

  void LargeAnswerComesInRanges() {
    TestAgent agent(0);
    std::string body(40 * kChunkBytes + 1, 'x');
    for (size_t i = 0; i < body.size(); i += kChunkBytes)
      body[i] = static_cast<char>('a' + i / kChunkBytes % 26);
    std::string received;
    uint32_t next = 0;
    AgentActions actions = Run(agent, 10, body);
    while (received.size() < body.size()) {
      const auto replies = Select<SendReply>(actions);
      CPPUNIT_ASSERT(!replies.empty());
      CPPUNIT_ASSERT(replies.size() <= kMaxChunksPerFetch);
      for (const SendReply& reply : replies) {
        const Answer& chunk = reply.reply.answer;
        CPPUNIT_ASSERT_EQUAL(next++, chunk.chunk_index);
        CPPUNIT_ASSERT_EQUAL(uint32_t{41}, chunk.chunk_count);
        CPPUNIT_ASSERT_EQUAL(uint64_t{body.size()}, chunk.total_bytes);
        received += chunk.body;
      }
      actions = FetchFrom(agent, 10, next, 1000);
    }
    CPPUNIT_ASSERT(received == body);
    CPPUNIT_ASSERT(Select<SendReply>(FetchFrom(agent, 10, 41, 16)).empty());
    CPPUNIT_ASSERT(
        Select<SendReply>(FetchFrom(agent, 10, UINT32_MAX, UINT32_MAX))
            .empty());
  }

  void FullStoreDropsTheOldest() {
    AgentLimits limits;
    limits.answer_bytes = 10'000;
    TestAgent agent(0, limits);
    Run(agent, 10, std::string(6'000, 'a'));
    Run(agent, 11, std::string(6'000, 'b'));
    CPPUNIT_ASSERT(agent.core().Stats().retained_answer_bytes <= 10'000);
    Expect(FetchFrom(agent, 10, 0, 1), Outcome::kAnswerGone, Reason::kNone);
    Expect(agent.Send(MakeRequest(10, kPull)), Outcome::kAnswerGone,
           Reason::kNone);
    CPPUNIT_ASSERT(OnlyAnswer(FetchFrom(agent, 11, 0, 1)).body[0] == 'b');
    // Larger than the whole store.
    Run(agent, 12, std::string(20'000, 'c'));
    Expect(FetchFrom(agent, 12, 16, 1), Outcome::kAnswerGone, Reason::kNone);
  }

  void AnswerIsDroppedAfterDoneOrRetention() {
    TestAgent agent(0);
    Run(agent, 10, "a");
    Done done;
    done.request_id = RequestId{0, 10};
    agent.Send(agent.Wrap(done));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, Retained(agent));
    Run(agent, 11, "b");
    agent.Advance(kAnswerRetention - absl::Milliseconds(1));
    CPPUNIT_ASSERT(Retained(agent) > 0);
    agent.Advance(absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, Retained(agent));
    Expect(FetchFrom(agent, 11, 0, 1), Outcome::kAnswerGone, Reason::kNone);
  }

  void FetchOfUnknownAnswerIsForwarded() {
    TestAgent agent(0);
    Fetch fetch;
    fetch.request_id = RequestId{0, 10};
    fetch.chunk_count = 1;
    const Forward forwarded =
        OnlyForward(agent.Send(agent.Wrap(fetch, 2))).forward;
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(forwarded.position));
    Expect(agent.Send(agent.Wrap(fetch, 1)), Outcome::kOutcomeUnknown,
           Reason::kFlowUnknown);
  }

  void RepliesCarrySenderAndLoad() {
    TestAgent agent(0);
    const auto replies =
        Select<SendReply>(agent.Send(agent.Wrap(MakeRequest(10, kReport))));
    const Reply& reply = replies.at(0).reply;
    CPPUNIT_ASSERT(reply.sender_uid == TestCandidate(0).uid);
    CPPUNIT_ASSERT(reply.sender == TestCandidate(0).incarnation);
    CPPUNIT_ASSERT(reply.service == kTestService);
    CPPUNIT_ASSERT(reply.revision == Revision{5});
    CPPUNIT_ASSERT_EQUAL(uint16_t{100}, reply.caller.port);
    CPPUNIT_ASSERT_EQUAL(uint16_t{200}, replies.at(0).entry.port);
    agent.Send(MakeRequest(11, kPull));
    const auto busy = Select<SendReply>(agent.Send(MakeRequest(10, kReport)));
    CPPUNIT_ASSERT_EQUAL(uint16_t{500}, busy.at(0).reply.load);
  }

  // Guards against a binding that expires while its long-lived flow is in use.
  void AgedBindingIsRenewed() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    const Request young = MakeRequest(10, kReport, binding);
    CPPUNIT_ASSERT(
        !OnlyAnswer(agent.End(agent.Start(young), "a")).binding.has_value());
    agent.Advance(absl::Seconds(301));
    const Request old = MakeRequest(11, kReport, binding);
    const Answer answer = OnlyAnswer(agent.End(agent.Start(old), "b"));
    CPPUNIT_ASSERT(answer.binding->issued_ms > binding.issued_ms);
    agent.Advance(absl::Seconds(301));
    agent.Start(MakeRequest(12, kReport, answer.binding));
  }

 private:
  static AgentActions Run(TestAgent& agent,
                          uint64_t id,
                          absl::string_view body) {
    const RunId run = agent.Start(MakeRequest(id, kPull));
    return agent.End(run, body);
  }

  static AgentActions FetchFrom(TestAgent& agent,
                                uint64_t id,
                                uint32_t first,
                                uint32_t count) {
    Fetch fetch;
    fetch.request_id = RequestId{0, id};
    fetch.first_chunk = first;
    fetch.chunk_count = count;
    return agent.Send(agent.Wrap(fetch));
  }

  static uint64_t Retained(TestAgent& agent) {
    return agent.core().Stats().retained_answer_bytes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentAnswersTest);

}  // namespace
}  // namespace skylarkshunt
