#include <cppunit/extensions/HelperMacros.h>

#include "flows/agent_test_support.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kHorizon = kLedgerHorizon;

class AgentAtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentAtMostOnceTest);
  CPPUNIT_TEST(BoundRequestRunsOnceAndRepeatsGetItsAnswer);
  CPPUNIT_TEST(UnboundReportIsBoundAndNotRun);
  CPPUNIT_TEST(RepeatTakesItsNewEntry);
  CPPUNIT_TEST(LateCopyAfterTheHorizonDoesNotRun);
  CPPUNIT_TEST(RefusedRequestStaysRefused);
  CPPUNIT_TEST(FullLedgerRevokesBindings);
  CPPUNIT_TEST(PauseRefusesQueuedAndRevokes);
  CPPUNIT_TEST(PauseIsSeenByTheFirstEvent);
  CPPUNIT_TEST(PausedRunKeepsItsResult);
  CPPUNIT_TEST(RelaysIncarnationActsLikeAPause);
  CPPUNIT_TEST(ForeignBindingsAreNotCalledNotRun);
  CPPUNIT_TEST(RefusalOfAnUnboundReportIsBoundFirst);
  CPPUNIT_TEST(LostConnectionIsUnknownForGood);
  CPPUNIT_TEST(UnknownKindIsRefusedForGood);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BoundRequestRunsOnceAndRepeatsGetItsAnswer() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    const StartRun start = OnlyStart(agent.Send(report));
    const AgentActions repeat = agent.Send(report);
    CPPUNIT_ASSERT(Select<StartRun>(repeat).empty());
    CPPUNIT_ASSERT(Select<SendReply>(repeat).empty());
    const Answer answer = OnlyAnswer(agent.End(start.run, "filed"));
    ExpectOutcome(answer, Outcome::kOk, Reason::kNone);
    const AgentActions late = agent.Send(report);
    CPPUNIT_ASSERT(Select<StartRun>(late).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("filed"), OnlyAnswer(late).body);
  }

  // Guards against a run in front of the round trip, which a copy through
  // another entry would double.
  void UnboundReportIsBoundAndNotRun() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport);
    for (int copy = 0; copy < 2; ++copy) {
      const AgentActions actions = agent.Send(report);
      CPPUNIT_ASSERT(Select<StartRun>(actions).empty());
      ExpectOutcome(OnlyAnswer(actions), Outcome::kBind, Reason::kNone);
    }
  }

  // Guards against an answer that goes to an entry that has died.
  void RepeatTakesItsNewEntry() {
    TestAgent agent(0);
    const StartRun start = OnlyStart(agent.Send(MakeRequest(10, kPull)));
    Forward repeat = agent.Wrap(MakeRequest(10, kPull));
    repeat.entry.port = 999;
    agent.Send(repeat);
    const auto replies = Select<SendReply>(agent.End(start.run, "job"));
    CPPUNIT_ASSERT_EQUAL(uint16_t{999}, replies.at(0).entry.port);
  }

  void LateCopyAfterTheHorizonDoesNotRun() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    agent.Advance(absl::Seconds(5));
    agent.End(OnlyStart(agent.Send(report)).run, "filed");
    // The id of the dropped answer is forgotten last.
    agent.Advance(kAnswerLife + kHorizon);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, agent.core().Stats().ledger_entries);
    const AgentActions late = agent.Send(report);
    CPPUNIT_ASSERT(Select<StartRun>(late).empty());
    ExpectOutcome(OnlyAnswer(late), Outcome::kOutcomeUnknown,
                  Reason::kExpiredBinding);
  }

  void RefusedRequestStaysRefused() {
    TestAgent agent(0);
    Request report = MakeRequest(10, kReport, agent.Bind(1));
    report.deadline_ms = 1;
    ExpectOutcome(OnlyAnswer(agent.Send(report)), Outcome::kNotRun,
                  Reason::kDeadline);
    report.deadline_ms = 8'000;
    const AgentActions late = agent.Send(report);
    CPPUNIT_ASSERT(Select<StartRun>(late).empty());
    ExpectOutcome(OnlyAnswer(late), Outcome::kNotRun, Reason::kDeadline);
  }

  // Guards against a refusal that the ledger could not remember and that a
  // later copy would make false.
  void FullLedgerRevokesBindings() {
    AgentLimits limits;
    limits.ledger_entries = 1;
    TestAgent agent(0, limits);
    const Binding binding = agent.Bind(1);
    const RunId run =
        OnlyStart(agent.Send(MakeRequest(10, kReport, binding))).run;
    const Request second = MakeRequest(11, kReport, binding);
    ExpectOutcome(OnlyAnswer(agent.Send(second)), Outcome::kNotRun,
                  Reason::kLedgerFull);
    agent.End(run, "filed");
    agent.Advance(kHorizon - absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent.core().Stats().ledger_entries);
    const AgentActions late = agent.Send(second);
    CPPUNIT_ASSERT(Select<StartRun>(late).empty());
    ExpectOutcome(OnlyAnswer(late), Outcome::kNotRun, Reason::kRebind);
    // The same millisecond may bring a new binding, which is valid.
    agent.Advance(absl::Milliseconds(1));
    OnlyStart(agent.Send(MakeRequest(12, kReport, agent.Bind(1))));
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
    const Answer refusal = OnlyAnswer(actions);
    ExpectOutcome(refusal, Outcome::kNotRun, Reason::kLeaseLapsed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{12}, refusal.request_id.low);
    // A request that never reached this agent before, and the refused one.
    for (const uint64_t id : {13, 12}) {
      const AgentActions late = agent.Send(MakeRequest(id, kReport, binding));
      CPPUNIT_ASSERT(Select<StartRun>(late).empty());
      CPPUNIT_ASSERT(OnlyAnswer(late).outcome == Outcome::kNotRun);
    }
  }

  // Guards against an event that acts before the pause is noticed.
  void PauseIsSeenByTheFirstEvent() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    agent.Advance(absl::Seconds(1));
    Forward forward = agent.Wrap(MakeRequest(10, kReport, binding));
    const AgentActions actions =
        agent.core().OnForward(agent.now() + absl::Milliseconds(2001), forward);
    CPPUNIT_ASSERT(Select<StartRun>(actions).empty());
    CPPUNIT_ASSERT(std::holds_alternative<StateChanged>(actions.at(0)));
    ExpectOutcome(OnlyAnswer(actions), Outcome::kNotRun, Reason::kRebind);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent.core().Stats().lease_lapses);
  }

  void PausedRunKeepsItsResult() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    const StartRun start = OnlyStart(agent.Send(report));
    agent.Pause(absl::Seconds(3));
    ExpectOutcome(OnlyAnswer(agent.End(start.run, "filed")), Outcome::kOk,
                  Reason::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("filed"),
                         OnlyAnswer(agent.Send(report)).body);
  }

  void RelaysIncarnationActsLikeAPause() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    agent.core().OnNewIncarnation(agent.now(), Incarnation{500});
    CPPUNIT_ASSERT(agent.core().incarnation() == binding.incarnation);
    agent.core().OnNewIncarnation(agent.now(), Incarnation{5'000});
    CPPUNIT_ASSERT(agent.core().incarnation() == Incarnation{5'000});
    const AgentActions late = agent.Send(MakeRequest(10, kReport, binding));
    CPPUNIT_ASSERT(Select<StartRun>(late).empty());
    // Idempotent requests go on, under a new binding.
    const RunId run =
        OnlyStart(agent.Send(MakeRequest(11, kPull, binding))).run;
    const Answer answer = OnlyAnswer(agent.End(run, "job"));
    CPPUNIT_ASSERT(answer.binding->incarnation == Incarnation{5'000});
  }

  // Guards against "not run" for a request that an earlier process, or another
  // agent, may have run.
  void ForeignBindingsAreNotCalledNotRun() {
    TestAgent agent(0);
    Binding binding = agent.Bind(1);
    binding.incarnation = Incarnation{ToNumber(binding.incarnation) - 1};
    ExpectOutcome(OnlyAnswer(agent.Send(MakeRequest(10, kReport, binding))),
                  Outcome::kOutcomeUnknown, Reason::kWrongInstance);
    binding.target_uid = InstanceUid{99};
    ExpectOutcome(OnlyAnswer(agent.Send(MakeRequest(11, kReport, binding))),
                  Outcome::kOutcomeUnknown, Reason::kWrongInstance);
    OnlyStart(agent.Send(MakeRequest(12, kPull, binding)));
    Forward other = agent.Wrap(MakeRequest(13, kReport, binding));
    other.service = ServiceUid{78};
    ExpectOutcome(OnlyAnswer(agent.Send(other)), Outcome::kOutcomeUnknown,
                  Reason::kWrongInstance);
  }

  // An unbound copy may be refused here while another copy is bound elsewhere,
  // so "not run" may only answer a copy that nobody can run.
  void RefusalOfAnUnboundReportIsBoundFirst() {
    TestAgent agent(0);
    Forward other = agent.Wrap(MakeRequest(10, kReport));
    other.service = ServiceUid{78};
    const Answer bind = OnlyAnswer(agent.Send(other));
    ExpectOutcome(bind, Outcome::kBind, Reason::kWrongInstance);
    std::get<Request>(other.message).binding = bind.binding;
    ExpectOutcome(OnlyAnswer(agent.Send(other)), Outcome::kNotRun,
                  Reason::kWrongInstance);
    other.service = kTestService;
    ExpectOutcome(OnlyAnswer(agent.Send(other)), Outcome::kNotRun,
                  Reason::kRebind);
  }

  void LostConnectionIsUnknownForGood() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    const RunId run = OnlyStart(agent.Send(report)).run;
    const AgentActions end = agent.End(run, RunResult::Kind::kConnectionLost);
    CPPUNIT_ASSERT(Select<StartRun>(end).empty());
    for (const Answer& answer :
         {OnlyAnswer(end), OnlyAnswer(agent.Send(report))})
      ExpectOutcome(answer, Outcome::kOutcomeUnknown, Reason::kConnectionLost);
  }

  // Guards against a refusal that a later configuration with the kind would
  // make false.
  void UnknownKindIsRefusedForGood() {
    TestAgent agent(0);
    const Request filing = MakeRequest(10, "filing", agent.Bind(1));
    ExpectOutcome(OnlyAnswer(agent.Send(filing)), Outcome::kNotRun,
                  Reason::kUnknownKind);
    ServiceConfig config = TestConfig();
    config.kinds.push_back({"filing", 1, false, absl::Milliseconds(10)});
    agent.core().OnConfig(agent.now(), Revision{6}, config);
    CPPUNIT_ASSERT(Select<StartRun>(agent.Send(filing)).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentAtMostOnceTest);

}  // namespace
}  // namespace skylarkshunt
