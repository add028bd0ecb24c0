#include <cppunit/extensions/HelperMacros.h>

#include "flows/agent_test_support.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kHorizon = kLedgerHorizon;

class AgentAtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentAtMostOnceTest);
  CPPUNIT_TEST(BoundRequestRunsOnceAndRetransmissionsGetItsAnswer);
  CPPUNIT_TEST(UnboundReportIsBoundAndNotRun);
  CPPUNIT_TEST(RetransmissionUpdatesTheEntry);
  CPPUNIT_TEST(LateCopyAfterTheHorizonDoesNotRun);
  CPPUNIT_TEST(RefusedRequestStaysRefused);
  CPPUNIT_TEST(FullLedgerRevokesBindings);
  CPPUNIT_TEST(PauseRefusesQueuedAndRevokes);
  CPPUNIT_TEST(FirstEventAfterPauseTakesNewIncarnation);
  CPPUNIT_TEST(PausedRunKeepsItsResult);
  CPPUNIT_TEST(HigherIncarnationFromRelayRevokesBindings);
  CPPUNIT_TEST(ForeignBindingsGiveUnknownOutcome);
  CPPUNIT_TEST(RefusalOfAnUnboundReportIsBoundFirst);
  CPPUNIT_TEST(LostConnectionGivesPermanentUnknownOutcome);
  CPPUNIT_TEST(UnknownKindIsRefusedPermanently);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BoundRequestRunsOnceAndRetransmissionsGetItsAnswer() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    const RunId run = agent.Start(report);
    const AgentActions repeat = agent.Send(report);
    CPPUNIT_ASSERT(OnlyAnswer(repeat).outcome == Outcome::kPending);
    CPPUNIT_ASSERT(Select<StartRun>(repeat).empty());
    Expect(agent.End(run, "filed"), Outcome::kOk, Reason::kNone);
    const Answer again =
        Expect(agent.Send(report), Outcome::kOk, Reason::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("filed"), again.body);
  }

  // Guards against running an unbound report before its binding round trip: a
  // copy through another entry would run a second time.
  void UnboundReportIsBoundAndNotRun() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport);
    for (int copy = 0; copy < 2; ++copy)
      Expect(agent.Send(report), Outcome::kBind, Reason::kNone);
  }

  // Guards against sending the answer to an entry that has exited.
  void RetransmissionUpdatesTheEntry() {
    TestAgent agent(0);
    const RunId run = agent.Start(MakeRequest(10, kPull));
    Forward repeat = agent.Wrap(MakeRequest(10, kPull));
    repeat.entry.port = 999;
    agent.Send(repeat);
    const auto replies = Select<SendReply>(agent.End(run, "job"));
    CPPUNIT_ASSERT_EQUAL(uint16_t{999}, replies.at(0).entry.port);
  }

  void LateCopyAfterTheHorizonDoesNotRun() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    agent.Advance(absl::Seconds(5));
    agent.End(agent.Start(report), "filed");
    // The id of the dropped answer expires last.
    agent.Advance(kAnswerRetention + kHorizon);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, agent.core().Stats().ledger_entries);
    Expect(agent.Send(report), Outcome::kOutcomeUnknown,
           Reason::kExpiredBinding);
  }

  void RefusedRequestStaysRefused() {
    TestAgent agent(0);
    Request report = MakeRequest(10, kReport, agent.Bind(1));
    report.deadline_ms = 1;
    Expect(agent.Send(report), Outcome::kNotRun, Reason::kDeadline);
    report.deadline_ms = 8'000;
    Expect(agent.Send(report), Outcome::kNotRun, Reason::kDeadline);
  }

  // Guards against a refusal that the full ledger cannot record: a later copy
  // of the request could then run.
  void FullLedgerRevokesBindings() {
    AgentLimits limits;
    limits.ledger_entries = 1;
    TestAgent agent(0, limits);
    const Binding binding = agent.Bind(1);
    const RunId run = agent.Start(MakeRequest(10, kReport, binding));
    const Request second = MakeRequest(11, kReport, binding);
    Expect(agent.Send(second), Outcome::kNotRun, Reason::kLedgerFull);
    agent.End(run, "filed");
    agent.Advance(kHorizon - absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent.core().Stats().ledger_entries);
    Expect(agent.Send(second), Outcome::kNotRun, Reason::kRebind);
    // A binding issued in the millisecond of the revocation is valid.
    agent.Advance(absl::Milliseconds(1));
    agent.Start(MakeRequest(12, kReport, agent.Bind(1)));
  }

  void PauseRefusesQueuedAndRevokes() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    agent.Send(MakeRequest(10, kReport, binding));
    agent.Send(MakeRequest(11, kReport, binding));
    CPPUNIT_ASSERT(
        Select<StartRun>(agent.Send(MakeRequest(12, kReport, binding)))
            .empty());
    const AgentActions actions = agent.Pause(absl::Milliseconds(2001));
    const auto* changed = std::get_if<StateChanged>(&actions.at(0));
    CPPUNIT_ASSERT_MESSAGE("the incarnation comes first", changed != nullptr);
    CPPUNIT_ASSERT(changed->incarnation > binding.incarnation);
    const Answer refusal =
        Expect(actions, Outcome::kNotRun, Reason::kLeaseLapsed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{12}, refusal.request_id.low);
    // A request that never reached this agent before, and the refused one.
    Expect(agent.Send(MakeRequest(13, kReport, binding)), Outcome::kNotRun,
           Reason::kRebind);
    Expect(agent.Send(MakeRequest(12, kReport, binding)), Outcome::kNotRun,
           Reason::kLeaseLapsed);
  }

  // Guards against an event that takes effect before the pause is detected.
  void FirstEventAfterPauseTakesNewIncarnation() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    agent.Advance(absl::Seconds(1));
    Forward forward = agent.Wrap(MakeRequest(10, kReport, binding));
    const AgentActions actions =
        agent.core().OnForward(agent.now() + absl::Milliseconds(2001), forward);
    CPPUNIT_ASSERT(std::holds_alternative<StateChanged>(actions.at(0)));
    Expect(actions, Outcome::kNotRun, Reason::kRebind);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent.core().Stats().lease_lapses);
  }

  void PausedRunKeepsItsResult() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    const RunId run = agent.Start(report);
    agent.Pause(absl::Seconds(3));
    Expect(agent.End(run, "filed"), Outcome::kOk, Reason::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("filed"),
                         OnlyAnswer(agent.Send(report)).body);
  }

  void HigherIncarnationFromRelayRevokesBindings() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    agent.core().OnNewIncarnation(agent.now(), Incarnation{500});
    CPPUNIT_ASSERT(agent.core().incarnation() == binding.incarnation);
    agent.core().OnNewIncarnation(agent.now(), Incarnation{5'000});
    CPPUNIT_ASSERT(agent.core().incarnation() == Incarnation{5'000});
    Expect(agent.Send(MakeRequest(10, kReport, binding)), Outcome::kNotRun,
           Reason::kRebind);
    // Idempotent requests still run, and get a new binding.
    const RunId run = agent.Start(MakeRequest(11, kPull, binding));
    const Answer answer = OnlyAnswer(agent.End(run, "job"));
    CPPUNIT_ASSERT(answer.binding->incarnation == Incarnation{5'000});
  }

  // Guards against the outcome "not run" for a request that an earlier process
  // or another agent may have run.
  void ForeignBindingsGiveUnknownOutcome() {
    TestAgent agent(0);
    Binding binding = agent.Bind(1);
    binding.incarnation = Incarnation{ToNumber(binding.incarnation) - 1};
    Expect(agent.Send(MakeRequest(10, kReport, binding)),
           Outcome::kOutcomeUnknown, Reason::kWrongInstance);
    binding.target_uid = InstanceUid{99};
    Expect(agent.Send(MakeRequest(11, kReport, binding)),
           Outcome::kOutcomeUnknown, Reason::kWrongInstance);
    agent.Start(MakeRequest(12, kPull, binding));
    Forward other = agent.Wrap(MakeRequest(13, kReport, binding));
    other.service = ServiceUid{78};
    Expect(agent.Send(other), Outcome::kOutcomeUnknown, Reason::kWrongInstance);
  }

  // Guards against a false "not run": an unbound copy may be refused here while
  // another copy is bound elsewhere. Only a copy with a refusal binding, which
  // no agent runs, gets "not run".
  void RefusalOfAnUnboundReportIsBoundFirst() {
    TestAgent agent(0);
    Forward other = agent.Wrap(MakeRequest(10, kReport));
    other.service = ServiceUid{78};
    std::get<Request>(other.message).binding =
        Expect(agent.Send(other), Outcome::kBind, Reason::kWrongInstance)
            .binding;
    Expect(agent.Send(other), Outcome::kNotRun, Reason::kWrongInstance);
    other.service = kTestService;
    Expect(agent.Send(other), Outcome::kNotRun, Reason::kRebind);
  }

  void LostConnectionGivesPermanentUnknownOutcome() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    const RunId run = agent.Start(report);
    Expect(agent.End(run, RunResult::Kind::kConnectionLost),
           Outcome::kOutcomeUnknown, Reason::kConnectionLost);
    Expect(agent.Send(report), Outcome::kOutcomeUnknown,
           Reason::kConnectionLost);
  }

  // Guards against running a refused request after a later configuration adds
  // its kind.
  void UnknownKindIsRefusedPermanently() {
    TestAgent agent(0);
    const Request filing = MakeRequest(10, "filing", agent.Bind(1));
    Expect(agent.Send(filing), Outcome::kNotRun, Reason::kUnknownKind);
    ServiceConfig config = TestConfig();
    config.kinds.push_back({"filing", 1, false, absl::Milliseconds(10)});
    agent.core().OnConfig(agent.now(), Revision{6}, config);
    Expect(agent.Send(filing), Outcome::kNotRun, Reason::kUnknownKind);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentAtMostOnceTest);

}  // namespace
}  // namespace skylarkshunt
