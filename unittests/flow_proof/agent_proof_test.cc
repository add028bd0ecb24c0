#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "agent_inputs.h"

namespace skylarkshunt {
namespace {

/// Sequence numbers of one flow's ends, which the ends choose at random.
constexpr uint32_t kClientSequence = 100;
constexpr uint32_t kOtherClientSequence = 0x70000000;
constexpr uint32_t kOtherGrant = 0x80000001;

class AgentProofTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentProofTest);
  CPPUNIT_TEST(RestartOfTheTargetKeepsTheFlowsOfItsNewIncarnation);
  CPPUNIT_TEST(RestartKeepsNewFlowsAfterABackwardClockStep);
  CPPUNIT_TEST(RestartKeepsUnansweredOpeningsOfTheNewIncarnation);
  CPPUNIT_TEST(RefusedProbeKeepsFlowsAnsweredAfterItBegan);
  CPPUNIT_TEST(PacketOfALaterFlowWithTheSamePortsIsNotHeld);
  CPPUNIT_TEST(ReturnedPacketOfALaterFlowDoesNotResetIt);
  CPPUNIT_TEST(LaterFlowWithTheSamePortsReplacesTheEarlierOne);
  CPPUNIT_TEST(FlowAfterAnEndedOneWithTheSamePortsIsTracked);
  CPPUNIT_TEST(GrantWithAnotherSequenceStartsANewFlow);
  CPPUNIT_TEST(LongAnswerDoesNotMoveTheFlowOutOfItsSequences);
  CPPUNIT_TEST(TargetOlderThanItsAgentIsNotSeenFromItsStart);
  CPPUNIT_TEST(LateGrantIsAdopted);
  CPPUNIT_TEST(OpeningOfAFlowOpenElsewhereLeavesTheQueue);
  CPPUNIT_TEST(RetransmissionOfALateGrantedFlowLeavesTheQueue);
  CPPUNIT_TEST(PacketOfAnEarlierFlowKeepsTheWaitingOpening);
  CPPUNIT_TEST(AgentThatCouldNotTrackAFlowAsksItsTarget);
  CPPUNIT_TEST(LateLeaveOfAnEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(RestartBeforeTheAgentProvesNothing);
  CPPUNIT_TEST(LeaveBeforeTheFirstReportIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The target crashes and restarts, and a flow opens at the new incarnation
  // before its first report arrives. Guards against a reset of that flow.
  void RestartOfTheTargetKeepsTheFlowsOfItsNewIncarnation() {
    Start();
    const FlowPackets earlier(1);
    OpenUntilRequest(earlier);
    Pass(absl::Seconds(9));
    Report(2);
    Pass(absl::Seconds(1));
    const absl::Time restarted = now_;
    Pass(absl::Milliseconds(100));
    const FlowPackets later(2);
    OpenUntilRequest(later);
    Pass(absl::Milliseconds(100));
    ReportRestart(restarted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    CPPUNIT_ASSERT(actions_.resets[0].flow == earlier.flow());
    ExpectHeld(later);
  }

  // As in RestartOfTheTargetKeepsTheFlowsOfItsNewIncarnation, and the wall
  // clock steps back by 3 s after the restart. The computed start is then later
  // than the real one.
  void RestartKeepsNewFlowsAfterABackwardClockStep() {
    Start();
    Pass(absl::Seconds(10));
    Report(2);
    const absl::Time restarted = now_;
    Pass(absl::Milliseconds(100));
    const FlowPackets later;
    OpenUntilRequest(later);
    Pass(absl::Seconds(3));
    ReportRestart(restarted + absl::Seconds(3));
    CPPUNIT_ASSERT(actions_.resets.empty());
    ExpectHeld(later);
  }

  // Guards against an opening packet that is neither granted nor returned.
  void RestartKeepsUnansweredOpeningsOfTheNewIncarnation() {
    Start();
    Pass(absl::Seconds(10));
    Report(2);
    const absl::Time restarted = now_;
    Pass(absl::Milliseconds(100));
    const FlowPackets later;
    Open(later);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
    ReportRestart(restarted);
    Pass(absl::Milliseconds(85));
    agent_.Tick(now_, actions_);
    CPPUNIT_ASSERT(ReturnedToEntry().reason ==
                   ReturnReason::kTargetUnresponsive);
  }

  // A health check is refused, and the target has restarted and opened a flow
  // before the outcome is handled. Guards against a reset of that flow.
  void RefusedProbeKeepsFlowsAnsweredAfterItBegan() {
    Start();
    const FlowPackets earlier(1);
    OpenUntilRequest(earlier);
    Pass(absl::Seconds(1));
    const absl::Time began = now_;
    Pass(absl::Milliseconds(100));
    const FlowPackets later(2);
    OpenUntilRequest(later);
    Crash(began);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    CPPUNIT_ASSERT(actions_.resets[0].flow == earlier.flow());
    CPPUNIT_ASSERT(agent_.load(now_).accepts_flows());
    ExpectHeld(later);
  }

  // The client of an earlier flow gave up, and its next flow from the same port
  // is open at another target. Guards against a packet of that flow that
  // reaches this target, which answers it for the earlier flow.
  void PacketOfALaterFlowWithTheSamePortsIsNotHeld() {
    Start();
    const FlowPackets flow;
    OpenUntilRequest(flow);
    Answer(flow);
    Pass(absl::Seconds(20));
    agent_.OnForwarded(Forward(ForwardMode::kSearch),
                       flow.Request(kOtherGrant, kOtherClientSequence), kEntry,
                       now_, actions_);
    CPPUNIT_ASSERT(actions_.to_target.empty());
    CPPUNIT_ASSERT(ReturnedToEntry().reason == ReturnReason::kNotHeld);
  }

  // As in PacketOfALaterFlowWithTheSamePortsIsNotHeld, but this target's grant
  // overtakes the packet. Guards against a reset of the later flow.
  void ReturnedPacketOfALaterFlowDoesNotResetIt() {
    agent_.OnTargetReport(MakeReport(40), now_, actions_);
    const FlowPackets flow;
    agent_.OnForwarded(Forward(ForwardMode::kSearch),
                       flow.Request(kOtherGrant, kOtherClientSequence), kEntry,
                       now_, actions_);
    const uint32_t token = actions_.to_target.at(0).return_token;
    agent_.OnTargetPacket(flow.Answer(false), kPacketBytes, now_, actions_);
    actions_.Clear();
    agent_.OnTargetPacket(
        FlowPackets::Returned(flow.Request(kOtherGrant, kOtherClientSequence),
                              token),
        kPacketBytes, now_, actions_);
    CPPUNIT_ASSERT(actions_.resets.empty());
    CPPUNIT_ASSERT(ReturnedToEntry().reason == ReturnReason::kNotHeld);
  }

  // A flow opens at another target after this one granted it as well. Guards
  // against its reset because of the earlier flow, which was open here.
  void LaterFlowWithTheSamePortsReplacesTheEarlierOne() {
    Start();
    const FlowPackets flow;
    OpenUntilRequest(flow);
    Answer(flow);
    Pass(absl::Seconds(20));
    Report(2);
    PacketHeader opening = flow.Opening();
    opening.sequence = kOtherClientSequence;
    agent_.OnForwarded(Forward(ForwardMode::kOpening), opening, kEntry, now_,
                       actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
    CPPUNIT_ASSERT_EQUAL(uint16_t{1}, agent_.load(now_).busy);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, agent_.load(now_).open_flows);
    // The client's packet overtakes this target's grant.
    agent_.OnForwarded(Forward(ForwardMode::kEstablished),
                       flow.Request(kOtherGrant, kOtherClientSequence), kEntry,
                       now_, actions_);
    const uint32_t token = actions_.to_target.at(1).return_token;
    actions_.Clear();
    agent_.OnTargetPacket(
        FlowPackets::Returned(flow.Request(kOtherGrant, kOtherClientSequence),
                              token),
        kPacketBytes, now_, actions_);
    CPPUNIT_ASSERT(actions_.resets.empty());
    CPPUNIT_ASSERT(ReturnedToEntry().reason == ReturnReason::kNotHeld);
  }

  // Guards against an open flow that its agent removes and denies after a few
  // seconds, since an earlier flow with the same ports had ended.
  void FlowAfterAnEndedOneWithTheSamePortsIsTracked() {
    Start();
    const FlowPackets flow;
    OpenUntilRequest(flow);
    Answer(flow);
    PacketHeader end = flow.Request(9502, 300);
    end.payload_bytes = 0;
    end.ending = true;
    agent_.OnForwarded(Forward(ForwardMode::kEstablished), end, kEntry, now_,
                       actions_);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, agent_.load(now_).open_flows);
    Pass(absl::Seconds(1));
    PacketHeader opening = flow.Opening();
    opening.sequence = kOtherClientSequence;
    agent_.OnForwarded(Forward(ForwardMode::kOpening), opening, kEntry, now_,
                       actions_);
    agent_.OnTargetPacket(flow.Grant(kOtherGrant - 1), kPacketBytes, now_,
                          actions_);
    agent_.OnForwarded(Forward(ForwardMode::kEstablished),
                       flow.Request(kOtherGrant, kOtherClientSequence), kEntry,
                       now_, actions_);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, agent_.load(now_).open_flows);
    Pass(absl::Seconds(6));
    agent_.Tick(now_, actions_);
    actions_.Clear();
    agent_.OnForwarded(Forward(ForwardMode::kSearch),
                       flow.Request(kOtherGrant, kOtherClientSequence), kEntry,
                       now_, actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
  }

  // The target of a restarted agent grants a later flow with the ports of one
  // that the agent adopted. Guards against state that counts the later flow as
  // confirmed.
  void GrantWithAnotherSequenceStartsANewFlow() {
    agent_.OnTargetReport(MakeReport(40), now_, actions_);
    const FlowPackets flow;
    agent_.OnTargetPacket(flow.Answer(false), kPacketBytes, now_, actions_);
    agent_.OnTargetPacket(flow.Grant(kOtherGrant - 1), kPacketBytes, now_,
                          actions_);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, agent_.load(now_).open_flows);
    actions_.Clear();
    Crash(now_ + absl::Seconds(1));
    CPPUNIT_ASSERT(actions_.resets.empty());
  }

  // Guards against an agent that denies an open flow because its sequence
  // numbers have moved far from the grant.
  void LongAnswerDoesNotMoveTheFlowOutOfItsSequences() {
    Start();
    const FlowPackets flow;
    OpenUntilRequest(flow);
    uint32_t sequence = 9001;
    for (int i = 0; i < 1'000; ++i) {
      PacketHeader data = flow.Answer(false);
      data.sequence = sequence;
      data.payload_bytes = 1'200;
      sequence += data.payload_bytes;
      agent_.OnTargetPacket(data, kPacketBytes, now_, actions_);
      actions_.Clear();
      // Up to 16 packets are not acknowledged.
      const uint32_t acknowledged =
          std::max(9001U + 16 * 1'200, sequence) - 16 * 1'200;
      agent_.OnForwarded(Forward(ForwardMode::kEstablished),
                         flow.Request(acknowledged, 300), kEntry, now_,
                         actions_);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
    }
    // A packet that was delayed since the grant.
    agent_.OnForwarded(Forward(ForwardMode::kEstablished), flow.Request(),
                       kEntry, now_, actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, actions_.to_target.size());
  }

  // An earlier process of the agent opened flows before the target's first
  // report. Guards against an agent that takes that report as proof that it
  // knows all flows.
  void TargetOlderThanItsAgentIsNotSeenFromItsStart() {
    ReportFirst(now_ - absl::Minutes(10));
    agent_.OnForwarded(Forward(ForwardMode::kSearch), FlowPackets().Request(),
                       kEntry, now_, actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
    CPPUNIT_ASSERT(actions_.to_entries.empty());
  }

  // Guards against an agent that denies a flow whose opening packet its target
  // granted later than the timeout.
  void LateGrantIsAdopted() {
    Start();
    const FlowPackets flow;
    Open(flow);
    Pass(absl::Milliseconds(85));
    agent_.Tick(now_, actions_);
    CPPUNIT_ASSERT(ReturnedToEntry().reason ==
                   ReturnReason::kTargetUnresponsive);
    agent_.OnTargetPacket(flow.Grant(), kPacketBytes, now_, actions_);
    ExpectHeld(flow);
  }

  // Guards against a refusal of a flow that a retransmission of its opening
  // packet has opened at another target.
  void OpeningOfAFlowOpenElsewhereLeavesTheQueue() {
    Start();
    for (uint16_t port = 1; port <= 5; ++port)
      Open(FlowPackets(port));
    uint16_t port = 4;
    for (const ForwardMode mode :
         {ForwardMode::kSearch, ForwardMode::kEstablished}) {
      const uint32_t waiting = agent_.admission().waiting;
      actions_.Clear();
      agent_.OnForwarded(Forward(mode),
                         FlowPackets(port++).Request(kOtherGrant), kEntry, now_,
                         actions_);
      CPPUNIT_ASSERT_EQUAL(waiting - 1, agent_.admission().waiting);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_entries.size());
      CPPUNIT_ASSERT(ReturnedToEntry().reason == ReturnReason::kNotHeld);
      CPPUNIT_ASSERT(ReturnedToEntry().mode == mode);
    }
  }

  // The target grants a flow after its timeout, while a retransmission of the
  // opening packet waits. Guards against a refusal of the flow.
  void RetransmissionOfALateGrantedFlowLeavesTheQueue() {
    Start();
    const FlowPackets flow;
    Open(flow);
    Pass(absl::Milliseconds(85));
    agent_.Tick(now_, actions_);
    Report(2);
    for (uint16_t port = 1; port <= 3; ++port)
      OpenUntilRequest(FlowPackets(port));
    PacketHeader copy = flow.Opening(1);
    copy.sequence = kClientSequence - 1;
    agent_.OnForwarded(Forward(ForwardMode::kOpening), copy, kEntry, now_,
                       actions_);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, agent_.admission().waiting);
    agent_.OnTargetPacket(flow.Grant(), kPacketBytes, now_, actions_);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, agent_.admission().waiting);
    Pass(absl::Milliseconds(1200));
    agent_.Tick(now_, actions_);
    CPPUNIT_ASSERT(actions_.to_entries.empty());
    ExpectHeld(flow);
  }

  // Guards against a waiting client that is dropped because of a late packet
  // of its earlier flow with the same ports.
  void PacketOfAnEarlierFlowKeepsTheWaitingOpening() {
    Start();
    for (uint16_t port = 1; port <= 3; ++port)
      OpenUntilRequest(FlowPackets(port));
    PacketHeader opening = FlowPackets(1).Opening();
    opening.sequence = kOtherClientSequence;
    agent_.OnForwarded(Forward(ForwardMode::kOpening), opening, kEntry, now_,
                       actions_);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, agent_.admission().waiting);
    agent_.OnForwarded(Forward(ForwardMode::kEstablished),
                       FlowPackets(1).Request(), kEntry, now_, actions_);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, agent_.admission().waiting);
  }

  // The target sends packets of more flows than the agent can track. Guards
  // against an agent that denies those flows.
  void AgentThatCouldNotTrackAFlowAsksItsTarget() {
    Start();
    constexpr uint16_t kTrackedFlows = 32'768;
    for (uint16_t port = 1; port <= kTrackedFlows; ++port) {
      agent_.OnTargetPacket(FlowPackets(port).Answer(false), kPacketBytes, now_,
                            actions_);
      actions_.Clear();
    }
    const FlowPackets untracked(kTrackedFlows + 1);
    agent_.OnTargetPacket(untracked.Grant(), kPacketBytes, now_, actions_);
    actions_.Clear();
    agent_.OnForwarded(Forward(ForwardMode::kSearch), untracked.Request(),
                       kEntry, now_, actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
    CPPUNIT_ASSERT(actions_.to_entries.empty());
  }

  // A target that left starts again under its id, and its leave message is
  // handled after the first report. Guards against an agent that denies the
  // flows of a running target and ignores its further reports.
  void LateLeaveOfAnEarlierIncarnationIsIgnored() {
    agent_.OnTargetReport(MakeReport(40, 1000), now_, actions_);
    agent_.OnTargetReport(MakeReport(1, 2000), now_, actions_);
    CPPUNIT_ASSERT(!agent_.OnTargetLeft("i-1", 1000));
    CPPUNIT_ASSERT(agent_.load(now_).accepts_flows());
    CPPUNIT_ASSERT(agent_.OnTargetLeft("i-1", 2000));
    CPPUNIT_ASSERT(agent_.is_target_gone(now_));
  }

  // A delayed report of an earlier incarnation is the first one that an agent
  // receives after its start. Guards against an agent that takes the running
  // incarnation for one that it has seen from its start, and denies its flows.
  void RestartBeforeTheAgentProvesNothing() {
    TargetReport delayed = MakeReport(7, 1000);
    delayed.started = now_ - absl::Minutes(20);
    agent_.OnTargetReport(delayed, now_, actions_);
    Pass(absl::Milliseconds(100));
    TargetReport running = MakeReport(50, 2000);
    running.started = now_ - absl::Minutes(10);
    agent_.OnTargetReport(running, now_, actions_);
    actions_.Clear();
    agent_.OnForwarded(Forward(ForwardMode::kSearch), FlowPackets().Request(),
                       kEntry, now_, actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
  }

  // A leave message of an earlier incarnation reaches an agent that has just
  // started beside a running target. Guards against a target that counts as
  // gone.
  void LeaveBeforeTheFirstReportIsIgnored() {
    agent_.OnTargetHealthy(4);
    agent_.OnTargetLeft("i-0", 500);
    CPPUNIT_ASSERT(!agent_.is_target_gone(now_));
  }

 private:
  /// The first report of a target that started after its agent.
  void Start() { ReportFirst(now_); }

  void ReportFirst(absl::Time started) {
    TargetReport report = MakeReport(1);
    report.started = started;
    agent_.OnTargetReport(report, now_, actions_);
    actions_.Clear();
  }

  void Report(uint64_t sequence) {
    agent_.OnTargetReport(MakeReport(sequence), now_, actions_);
  }

  /// The first report of the target's next incarnation.
  void ReportRestart(absl::Time started) {
    TargetReport report = MakeReport(1, 2000);
    report.started = started;
    actions_.Clear();
    agent_.OnTargetReport(report, now_, actions_);
  }

  /// Handles a refused health check that began at `began`.
  void Crash(absl::Time began) {
    actions_.Clear();
    agent_.OnTargetCrashed(began, now_, actions_);
  }

  void Pass(absl::Duration time) {
    now_ += time;
    actions_.Clear();
  }

  void Open(const FlowPackets& flow) {
    PacketHeader opening = flow.Opening();
    opening.sequence = kClientSequence - 1;
    agent_.OnForwarded(Forward(ForwardMode::kOpening), opening, kEntry, now_,
                       actions_);
  }

  void OpenUntilRequest(const FlowPackets& flow) {
    Open(flow);
    agent_.OnTargetPacket(flow.Grant(), kPacketBytes, now_, actions_);
    agent_.OnForwarded(Forward(ForwardMode::kEstablished),
                       flow.Request(9001, kClientSequence), kEntry, now_,
                       actions_);
    actions_.Clear();
  }

  /// Sends a whole answer, with which the target ends its side of the flow.
  void Answer(const FlowPackets& flow) {
    PacketHeader answer = flow.Answer(true);
    answer.sequence = 9001;
    answer.payload_bytes = 500;
    agent_.OnTargetPacket(answer, kPacketBytes, now_, actions_);
  }

  /// Checks that the agent answers a search for the flow.
  void ExpectHeld(const FlowPackets& flow) {
    actions_.Clear();
    agent_.OnForwarded(Forward(ForwardMode::kSearch),
                       flow.Request(9001, kClientSequence), kEntry, now_,
                       actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_target.size());
    CPPUNIT_ASSERT(
        std::holds_alternative<FlowPlaced>(actions_.to_entries.at(0).message));
  }

  const ReturnedPacket& ReturnedToEntry() const {
    return std::get<ReturnedPacket>(actions_.to_entries.at(0).message);
  }

  absl::Time now_ = kStart;
  AgentForwarder agent_{MakeAgentOptions(77), kStart - absl::Minutes(1)};
  AgentActions actions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentProofTest);

}  // namespace
}  // namespace skylarkshunt
