#include <cppunit/extensions/HelperMacros.h>

#include "flows/agent_test_support.h"

namespace skylarkshunt {
namespace {

class AgentTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentTransferTest);
  CPPUNIT_TEST(OverloadedAgentTransfersAndNeverRunsRequest);
  CPPUNIT_TEST(RetransmissionsFetchesAndDonesGoToTheReceiver);
  CPPUNIT_TEST(LateCopyOfATransferDoesNotRun);
  CPPUNIT_TEST(TransferToAnotherIncarnationIsUnknown);
  CPPUNIT_TEST(RequestIsTransferredOnce);
  CPPUNIT_TEST(FullReceiverLedgerGivesNoFalseRefusal);
  CPPUNIT_TEST(RequestMovesAfterRefusedConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OverloadedAgentTransfersAndNeverRunsRequest() {
    TestAgent sender(0);
    const SendForward moved = MakeTransfer(sender);
    const Transfer& transfer = moved.forward.transfer.value();
    CPPUNIT_ASSERT(transfer.from == TestCandidate(0).uid);
    CPPUNIT_ASSERT(transfer.to == TestCandidate(1).uid);
    CPPUNIT_ASSERT(transfer.to_incarnation == TestCandidate(1).incarnation);
    CPPUNIT_ASSERT(moved.agent == TestCandidate(1).data);
    CPPUNIT_ASSERT(moved.forward.final_hop);
    // A retransmission does not run even when slots are free again.
    sender.End(run_, "done");
    const AgentActions repeat = sender.Send(report_, 2);
    CPPUNIT_ASSERT(Select<StartRun>(repeat).empty());
    CPPUNIT_ASSERT(Select<SendReply>(repeat).empty());
    CPPUNIT_ASSERT(OnlyForward(repeat).forward.transfer.has_value());
  }

  void RetransmissionsFetchesAndDonesGoToTheReceiver() {
    TestAgent sender(0);
    TestAgent receiver(1);
    const SendForward moved = MakeTransfer(sender);
    const RunId run = OnlyStart(receiver.Send(moved.forward)).run;
    const Answer answer = OnlyAnswer(receiver.End(run, "filed"));
    // The flow continues at the receiver.
    CPPUNIT_ASSERT(answer.binding->target_uid == TestCandidate(1).uid);
    const AgentActions again =
        receiver.Send(OnlyForward(sender.Send(report_, 2)).forward);
    CPPUNIT_ASSERT_EQUAL(std::string("filed"), OnlyAnswer(again).body);
    Fetch fetch;
    fetch.request_id = report_.request_id;
    fetch.binding = report_.binding;
    fetch.chunk_count = 1;
    CPPUNIT_ASSERT_EQUAL(
        std::string("filed"),
        OnlyAnswer(receiver.Send(
                       OnlyForward(sender.Send(sender.Wrap(fetch, 2))).forward))
            .body);
    Done done;
    done.request_id = report_.request_id;
    receiver.Send(OnlyForward(sender.Send(sender.Wrap(done, 2))).forward);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         receiver.core().Stats().retained_answer_bytes);
  }

  // Guards against a second run when a copy of the transfer arrives after the
  // receiver's ledger entry has expired, for instance because the sender was
  // paused before sending it. The receiver's clock may differ from the
  // sender's.
  void LateCopyOfATransferDoesNotRun() {
    for (const int seconds_ahead : {-30, 0, 30, 59}) {
      TestAgent sender(0);
      TestAgent receiver(1);
      sender.Advance(absl::Seconds(100 + seconds_ahead));
      receiver.Advance(absl::Seconds(100));
      const SendForward moved = MakeTransfer(sender);
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
    TestAgent sender(0);
    TestAgent receiver(1);
    const SendForward moved = MakeTransfer(sender);
    receiver.Pause(absl::Seconds(3));
    Expect(receiver.Send(moved.forward), Outcome::kOutcomeUnknown,
           Reason::kWrongInstance);
  }

  // Guards against two agents that transfer a request to each other, each
  // assuming that the other may run it.
  void RequestIsTransferredOnce() {
    TestAgent sender(0);
    TestAgent receiver(1);
    Forward moved = MakeTransfer(sender).forward;
    Occupy(receiver);
    moved.final_hop = false;
    const AgentActions actions = receiver.Send(moved);
    CPPUNIT_ASSERT(Select<SendForward>(actions).empty());
    Expect(actions, Outcome::kNotRun, Reason::kDeadline);
    Expect(receiver.Send(moved), Outcome::kNotRun, Reason::kDeadline);
  }

  void FullReceiverLedgerGivesNoFalseRefusal() {
    AgentLimits limits;
    limits.ledger_entries = 1;
    TestAgent sender(0);
    TestAgent receiver(1, limits);
    receiver.Send(MakeRequest(900, kReport, receiver.Bind(9)));
    sender.Advance(absl::Seconds(10));
    // By the sender's clock the binding was issued after the receiver's
    // revocation, so a later copy could still run.
    const Forward moved = MakeTransfer(sender).forward;
    Expect(receiver.Send(moved), Outcome::kOutcomeUnknown, Reason::kLedgerFull);
    receiver.Advance(absl::Seconds(20));
    Expect(receiver.Send(moved), Outcome::kNotRun, Reason::kLedgerFull);
    receiver.Advance(absl::Seconds(580));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, receiver.core().Stats().ledger_entries);
    Expect(receiver.Send(moved), Outcome::kNotRun, Reason::kRebind);
  }

  void RequestMovesAfterRefusedConnection() {
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
  // Fills both slots with an archive and a report that outlast short deadlines.
  void Occupy(TestAgent& agent) {
    run_ = agent.Start(MakeRequest(800, kArchive));
    agent.Start(MakeRequest(801, kReport, agent.Bind(8)));
  }

  SendForward MakeTransfer(TestAgent& sender) {
    const Binding binding = sender.Bind(1);
    Occupy(sender);
    report_ = MakeRequest(10, kReport, binding);
    report_.deadline_ms = 200;
    return OnlyForward(sender.Send(report_, 2));
  }

  Request report_;
  RunId run_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentTransferTest);

}  // namespace
}  // namespace skylarkshunt
