#include <cppunit/extensions/HelperMacros.h>

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
    agent_.OnTargetCrashed(began, actions_);
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
