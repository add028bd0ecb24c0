#include <cppunit/extensions/HelperMacros.h>

#include "flows/agent_test_support.h"

namespace skylarkshunt {
namespace {

class AgentDrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentDrainTest);
  CPPUNIT_TEST(DrainKeepsBoundFlowsAndMovesNewOnes);
  CPPUNIT_TEST(DrainLimitRevokesAndMoves);
  CPPUNIT_TEST(DrainCanBeUndone);
  CPPUNIT_TEST(ShutdownWaitsForWorkAndAnswers);
  CPPUNIT_TEST(RemovedServiceDrains);
  CPPUNIT_TEST(NothingIsServedWithoutConfig);
  CPPUNIT_TEST(QueuedRequestIsNotRunPastItsDeadline);
  CPPUNIT_TEST(FailingTargetIsEjectedAndProbed);
  CPPUNIT_TEST(LostRunsAreRetriedWithinTheBudget);
  CPPUNIT_TEST(ShedRequestIsNotAFailure);
  CPPUNIT_TEST(ColdTargetGainsSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DrainKeepsBoundFlowsAndMovesNewOnes() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    ExpectState(agent.core().OnDrainOrder(agent.now(), true),
                InstanceState::kDraining);
    agent.Start(MakeRequest(10, kReport, binding));
    Request opening = MakeRequest(11, kPull);
    opening.flow_id = 2;
    OnlyForward(agent.Send(opening, 2));
    Expect(agent.Send(opening), Outcome::kRefused, Reason::kDraining);
    // A report may be bound elsewhere by another copy.
    Request report = MakeRequest(12, kReport);
    report.flow_id = 3;
    report.binding =
        Expect(agent.Send(report), Outcome::kBind, Reason::kDraining).binding;
    Expect(agent.Send(report), Outcome::kNotRun, Reason::kDraining);
  }

  void DrainLimitRevokesAndMoves() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    agent.core().OnDrainOrder(agent.now(), true);
    agent.Advance(TestConfig().drain_limit - absl::Milliseconds(1));
    const RunId run = agent.Start(MakeRequest(10, kReport, binding));
    agent.Start(MakeRequest(11, kPull, binding));
    agent.Send(MakeRequest(12, kReport, binding), 2);
    agent.Send(MakeRequest(13, kPull, binding), 2);
    const AgentActions limit = agent.Advance(absl::Milliseconds(1));
    const Answer refusal = Expect(limit, Outcome::kNotRun, Reason::kRebind);
    CPPUNIT_ASSERT_EQUAL(uint64_t{12}, refusal.request_id.low);
    const Forward moved = OnlyForward(limit).forward;
    CPPUNIT_ASSERT(std::get<Request>(moved.message).request_id.low == 13);
    Expect(agent.Send(MakeRequest(14, kReport, binding)), Outcome::kNotRun,
           Reason::kRebind);
    OnlyForward(agent.Send(MakeRequest(15, kPull, binding), 2));
    // Running requests finish.
    Expect(agent.End(run, "filed"), Outcome::kOk, Reason::kNone);
  }

  void DrainCanBeUndone() {
    TestAgent agent(0);
    agent.core().OnDrainOrder(agent.now(), true);
    ExpectState(agent.core().OnDrainOrder(agent.now(), false),
                InstanceState::kServing);
    agent.Advance(TestConfig().drain_limit);
    agent.Start(MakeRequest(10, kReport, agent.Bind(1)));
  }

  void ShutdownWaitsForWorkAndAnswers() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    ExpectState(agent.core().BeginShutdown(agent.now()),
                InstanceState::kDraining);
    const RunId run = agent.Start(MakeRequest(10, kReport, binding));
    agent.Send(agent.Wrap(Close{kTestServiceName, 1, binding}));
    CPPUNIT_ASSERT(!Completes(agent.Advance(absl::Seconds(2))));
    CPPUNIT_ASSERT(!Completes(agent.End(run, "filed")));
    CPPUNIT_ASSERT(!Completes(agent.Advance(absl::Milliseconds(2999))));
    Fetch fetch;
    fetch.request_id = RequestId{0, 10};
    fetch.chunk_count = 1;
    CPPUNIT_ASSERT_EQUAL(std::string("filed"),
                         OnlyAnswer(agent.Send(agent.Wrap(fetch))).body);
    CPPUNIT_ASSERT(Completes(agent.Advance(absl::Milliseconds(1))));

    TestAgent done_agent(0);
    const RunId last = done_agent.Start(MakeRequest(10, kPull));
    done_agent.core().BeginShutdown(done_agent.now());
    done_agent.End(last, "job");
    Done done;
    done.request_id = RequestId{0, 10};
    done_agent.Send(done_agent.Wrap(done));
    // The flow is still open and may continue until the drain limit.
    CPPUNIT_ASSERT(!Completes(done_agent.Advance(absl::Seconds(60))));
    CPPUNIT_ASSERT(Completes(done_agent.Send(
        done_agent.Wrap(Close{kTestServiceName, 1, absl::nullopt}))));
  }

  void RemovedServiceDrains() {
    TestAgent agent(0);
    agent.core().OnServiceRemoved(agent.now(), Revision{4});
    CPPUNIT_ASSERT(agent.core().state() == InstanceState::kServing);
    agent.core().OnServiceRemoved(agent.now(), Revision{6});
    CPPUNIT_ASSERT(agent.core().state() == InstanceState::kDraining);
    // A late copy of the older configuration does not restore the service.
    agent.core().OnConfig(agent.now(), Revision{5}, TestConfig());
    CPPUNIT_ASSERT(agent.core().state() == InstanceState::kDraining);
  }

  void NothingIsServedWithoutConfig() {
    CPPUNIT_ASSERT(!AgentCore::Create({}).has_value());
    ServiceConfig other = TestConfig();
    other.uid = ServiceUid{78};
    TestAgent agent(0, {}, {}, other);
    Expect(agent.Send(MakeRequest(10, kPull)), Outcome::kBind,
           Reason::kNoTarget);
  }

  void QueuedRequestIsNotRunPastItsDeadline() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    const RunId run = agent.Start(MakeRequest(10, kReport, binding));
    agent.Send(MakeRequest(11, kReport, binding));
    agent.Send(MakeRequest(12, kReport, binding));
    agent.Advance(absl::Milliseconds(7'500));
    // The deadline passes between the tick and the end of the run.
    RunResult result;
    result.status = 200;
    const AgentActions end = agent.core().OnRunEnded(
        agent.now() + absl::Milliseconds(500), run, result);
    CPPUNIT_ASSERT(Select<StartRun>(end).empty());
    const Answer refusal = Select<SendReply>(end).back().reply.answer;
    CPPUNIT_ASSERT(refusal.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(refusal.reason == Reason::kDeadline);
  }

  void FailingTargetIsEjectedAndProbed() {
    TestAgent agent(0);
    const Binding binding = agent.Bind(1);
    for (uint64_t id = 10; id < 14; ++id)
      Fail(agent, id, binding);
    const RunId fifth = agent.Start(MakeRequest(14, kReport, binding));
    agent.Start(MakeRequest(15, kPull, binding));
    agent.Send(MakeRequest(16, kReport, binding), 2);
    const AgentActions ejected = agent.End(fifth, "", 500);
    ExpectState(ejected, InstanceState::kEjected);
    // Queued requests move to another target.
    CPPUNIT_ASSERT(OnlyForward(ejected).forward.transfer.has_value());
    Expect(agent.Send(MakeRequest(17, kReport, binding)), Outcome::kNotRun,
           Reason::kTargetUnreachable);
    agent.core().OnHealthHint(agent.now(), true);
    CPPUNIT_ASSERT(agent.core().state() == InstanceState::kEjected);
    ExpectState(agent.Advance(absl::Seconds(5)), InstanceState::kServing);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent.core().Stats().effective_slots);
    // Request 15 still runs, so the probe waits for it.
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent.core().Stats().running);
    CPPUNIT_ASSERT(
        Select<StartRun>(agent.Send(MakeRequest(18, kReport, binding)))
            .empty());
  }

  void LostRunsAreRetriedWithinTheBudget() {
    TestAgent agent(0);
    size_t retried = 0;
    for (uint64_t id = 10; id < 14; ++id) {
      RunId run = agent.Start(MakeRequest(id, kPull));
      const AgentActions end = agent.End(run, RunResult::Kind::kConnectionLost);
      retried += Select<StartRun>(end).size();
      for (const StartRun& again : Select<StartRun>(end))
        agent.End(again.run, "job");
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, retried);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, agent.core().Stats().retries);
    // After the budget of 10 retries is spent, the outcome is unknown.
    RunId run = agent.Start(MakeRequest(20, kPull));
    AgentActions end;
    for (int loss = 0; loss < 20; ++loss) {
      end = agent.End(run, RunResult::Kind::kConnectionLost);
      if (Select<StartRun>(end).empty())
        break;
      run = OnlyStart(end).run;
    }
    Expect(end, Outcome::kOutcomeUnknown, Reason::kConnectionLost);
    CPPUNIT_ASSERT(agent.core().Stats().retries <= 10);
  }

  void ShedRequestIsNotAFailure() {
    TestAgent agent(0);
    for (uint64_t id = 10; id < 20; ++id) {
      RunResult shed;
      shed.status = 503;
      shed.shed_unrun = true;
      const RunId run = agent.Start(MakeRequest(id, kPull));
      Expect(agent.core().OnRunEnded(agent.now(), run, shed), Outcome::kRefused,
             Reason::kOverloaded);
    }
    CPPUNIT_ASSERT(agent.core().state() == InstanceState::kServing);
  }

  void ColdTargetGainsSlots() {
    ServiceConfig config = TestConfig();
    config.slots = 3;
    config.warm_up_step = absl::Seconds(10);
    TestAgent agent(0, {}, {}, config);
    for (const uint64_t slots : {1, 2, 3, 3}) {
      CPPUNIT_ASSERT_EQUAL(slots, agent.core().Stats().effective_slots);
      agent.Advance(absl::Seconds(10));
    }
  }

 private:
  static void ExpectState(const AgentActions& actions, InstanceState state) {
    const auto changes = Select<StateChanged>(actions);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, changes.size());
    CPPUNIT_ASSERT(changes.front().state == state);
  }

  static bool Completes(const AgentActions& actions) {
    return !Select<ShutdownComplete>(actions).empty();
  }

  static void Fail(TestAgent& agent, uint64_t id, const Binding& binding) {
    const RunId run = agent.Start(MakeRequest(id, kReport, binding));
    Expect(agent.End(run, "", 500), Outcome::kTargetError, Reason::kNone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentDrainTest);

}  // namespace
}  // namespace skylarkshunt
