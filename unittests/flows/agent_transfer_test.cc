#include <cppunit/extensions/HelperMacros.h>

#include "flows/agent_test_support.h"

namespace skylarkshunt {
namespace {

class AgentTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentTransferTest);
  CPPUNIT_TEST(OverloadedAgentTransfersAndNeverRuns);
  CPPUNIT_TEST(RepeatsFetchesAndDonesGoToTheReceiver);
  CPPUNIT_TEST(LateCopyOfATransferDoesNotRun);
  CPPUNIT_TEST(TransferToAnotherIncarnationIsUnknown);
  CPPUNIT_TEST(RequestIsTransferredOnce);
  CPPUNIT_TEST(FullLedgerOfTheReceiverStaysTruthful);
  CPPUNIT_TEST(RefusedConnectionMovesTheRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OverloadedAgentTransfersAndNeverRuns() {
    TestAgent giver(0);
    const SendForward moved = MakeTransfer(giver);
    const Transfer& transfer = moved.forward.transfer.value();
    CPPUNIT_ASSERT(transfer.from == TestCandidate(0).uid);
    CPPUNIT_ASSERT(transfer.to == TestCandidate(1).uid);
    CPPUNIT_ASSERT(transfer.to_incarnation == TestCandidate(1).incarnation);
    CPPUNIT_ASSERT(moved.agent == TestCandidate(1).data);
    CPPUNIT_ASSERT(moved.forward.final_hop);
    // With slots free again, a repeat is still not run.
    giver.End(run_, "done");
    const AgentActions repeat = giver.Send(report_, 2);
    CPPUNIT_ASSERT(Select<StartRun>(repeat).empty());
    CPPUNIT_ASSERT(Select<SendReply>(repeat).empty());
    CPPUNIT_ASSERT(OnlyForward(repeat).forward.transfer.has_value());
  }

  void RepeatsFetchesAndDonesGoToTheReceiver() {
    TestAgent giver(0);
    TestAgent receiver(1);
    const SendForward moved = MakeTransfer(giver);
    const RunId run = OnlyStart(receiver.Send(moved.forward)).run;
    const Answer answer = OnlyAnswer(receiver.End(run, "filed"));
    // The flow goes on at the receiver.
    CPPUNIT_ASSERT(answer.binding->target_uid == TestCandidate(1).uid);
    const AgentActions again =
        receiver.Send(OnlyForward(giver.Send(report_, 2)).forward);
    CPPUNIT_ASSERT_EQUAL(std::string("filed"), OnlyAnswer(again).body);
    Fetch fetch;
    fetch.request_id = report_.request_id;
    fetch.binding = report_.binding;
    fetch.chunk_count = 1;
    CPPUNIT_ASSERT_EQUAL(
        std::string("filed"),
        OnlyAnswer(receiver.Send(
                       OnlyForward(giver.Send(giver.Wrap(fetch, 2))).forward))
            .body);
    Done done;
    done.request_id = report_.request_id;
    receiver.Send(OnlyForward(giver.Send(giver.Wrap(done, 2))).forward);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         receiver.core().Stats().retained_answer_bytes);
  }

  // Guards against a giver that is paused with the message in hand, until the
  // receiver's ledger has forgotten the first copy. The receiver's clock may
  // differ from the giver's.
  void LateCopyOfATransferDoesNotRun() {
    for (const int seconds_ahead : {-30, 0, 30, 59}) {
      TestAgent giver(0);
      TestAgent receiver(1);
      giver.Advance(absl::Seconds(100 + seconds_ahead));
      receiver.Advance(absl::Seconds(100));
      const SendForward moved = MakeTransfer(giver);
      // Without an answer, only the ledger remembers the run.
      receiver.End(OnlyStart(receiver.Send(moved.forward)).run,
                   RunResult::Kind::kConnectionLost);
      for (int seconds = 0; seconds < 1500; seconds += 10) {
        receiver.Advance(absl::Seconds(10));
        const AgentActions late = receiver.Send(moved.forward);
        CPPUNIT_ASSERT(Select<StartRun>(late).empty());
        CPPUNIT_ASSERT(OnlyAnswer(late).outcome == Outcome::kOutcomeUnknown);
      }
    }
  }

  void TransferToAnotherIncarnationIsUnknown() {
    TestAgent giver(0);
    TestAgent receiver(1);
    const SendForward moved = MakeTransfer(giver);
    receiver.Pause(absl::Seconds(3));
    Expect(receiver.Send(moved.forward), Outcome::kOutcomeUnknown,
           Reason::kWrongInstance);
  }

  // Guards against two agents that each believe the other may run it.
  void RequestIsTransferredOnce() {
    TestAgent giver(0);
    TestAgent receiver(1);
    Forward moved = MakeTransfer(giver).forward;
    Occupy(receiver);
    moved.final_hop = false;
    const AgentActions actions = receiver.Send(moved);
    CPPUNIT_ASSERT(Select<SendForward>(actions).empty());
    Expect(actions, Outcome::kNotRun, Reason::kDeadline);
    Expect(receiver.Send(moved), Outcome::kNotRun, Reason::kDeadline);
  }

  void FullLedgerOfTheReceiverStaysTruthful() {
    AgentLimits limits;
    limits.ledger_entries = 1;
    TestAgent giver(0);
    TestAgent receiver(1, limits);
    receiver.Send(MakeRequest(900, kReport, receiver.Bind(9)));
    giver.Advance(absl::Seconds(10));
    // Issued after the receiver's revocation by the giver's clock: a later copy
    // could still run.
    const Forward moved = MakeTransfer(giver).forward;
    Expect(receiver.Send(moved), Outcome::kOutcomeUnknown, Reason::kLedgerFull);
    receiver.Advance(absl::Seconds(20));
    Expect(receiver.Send(moved), Outcome::kNotRun, Reason::kLedgerFull);
    receiver.Advance(absl::Seconds(580));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, receiver.core().Stats().ledger_entries);
    Expect(receiver.Send(moved), Outcome::kNotRun, Reason::kRebind);
  }

  void RefusedConnectionMovesTheRequest() {
    TestAgent agent(0);
    const Request report = MakeRequest(10, kReport, agent.Bind(1));
    const RunId run = agent.Start(report, 2);
    const AgentActions moved = agent.End(run, RunResult::Kind::kNotSent);
    CPPUNIT_ASSERT(OnlyForward(moved).forward.transfer.has_value());
    const RunId alone = agent.Start(MakeRequest(11, kReport, report.binding));
    Expect(agent.End(alone, RunResult::Kind::kNotSent), Outcome::kNotRun,
           Reason::kTargetUnreachable);
  }

 private:
  // Fills both slots with archives and reports that outlast short deadlines.
  void Occupy(TestAgent& agent) {
    run_ = agent.Start(MakeRequest(800, kArchive));
    agent.Start(MakeRequest(801, kReport, agent.Bind(8)));
  }

  SendForward MakeTransfer(TestAgent& giver) {
    const Binding binding = giver.Bind(1);
    Occupy(giver);
    report_ = MakeRequest(10, kReport, binding);
    report_.deadline_ms = 200;
    return OnlyForward(giver.Send(report_, 2));
  }

  Request report_;
  RunId run_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentTransferTest);

}  // namespace
}  // namespace skylarkshunt
