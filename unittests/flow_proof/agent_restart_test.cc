#include <cppunit/extensions/HelperMacros.h>

#include "agent_inputs.h"
#include "simulated_site.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kReportInterval = absl::Seconds(1);

class AgentRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentRestartTest);
  CPPUNIT_TEST(FlowSurvivesTheRestartOfItsAgent);
  CPPUNIT_TEST(FlowIsFoundAtAnAgentThatHasJustStarted);
  CPPUNIT_TEST(TargetOfANewAgentIsUnknownUntilItMissesReports);
  CPPUNIT_TEST(TargetThatRefusesConnectionsIsAbsent);
  CPPUNIT_TEST(PacketOfTheTargetProvesThatItIsPresent);
  CPPUNIT_TEST(FlowIsFoundAtAnAgentLastSeenWithoutTarget);
  CPPUNIT_TEST(AgentThatEndedWithoutTargetDelaysNoReset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    site_.ReportTarget(0, MakeReport(1));
    site_.ReportTarget(1, MakeReport(1));
    site_.Pass(absl::Seconds(10));
    Beat(2);
    // The entries have known both agents for a while.
    site_.Pass(absl::Seconds(3));
    Beat(3);
  }

  // Guards against the reset of an open flow whose agent has restarted and has
  // not received a report of its running target yet.
  void FlowSurvivesTheRestartOfItsAgent() {
    const size_t holder = Open(flow_);
    site_.RestartAgent(holder);
    site_.ReportAgents();
    site_.Send(0, flow_.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, site_.resets());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, site_.received(holder));
  }

  // As in FlowSurvivesTheRestartOfItsAgent, but the client's packet arrives at
  // an entry that does not know the flow.
  void FlowIsFoundAtAnAgentThatHasJustStarted() {
    const size_t holder = Open(flow_);
    site_.RestartAgent(holder);
    site_.ReportAgents();
    site_.Send(1, flow_.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, site_.resets());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, site_.received(holder));
  }

  // Guards against a machine without target that delays the proof that no
  // target holds a flow for good.
  void TargetOfANewAgentIsUnknownUntilItMissesReports() {
    AgentForwarder agent(MakeAgentOptions(1), kStart);
    CPPUNIT_ASSERT(!agent.load(kStart).accepts_flows());
    CPPUNIT_ASSERT(agent.load(kStart).state == InstanceState::kEjected);
    CPPUNIT_ASSERT(!agent.is_target_gone(kStart + 3 * kReportInterval));
    const absl::Time later = kStart + 4 * kReportInterval;
    CPPUNIT_ASSERT(agent.load(later).state == InstanceState::kDown);
    CPPUNIT_ASSERT(agent.is_target_gone(later));
    AgentActions actions;
    agent.OnForwarded(Forward(ForwardMode::kSearch), flow_.Request(), kEntry,
                      later, actions);
    CPPUNIT_ASSERT(
        std::get<ReturnedPacket>(actions.to_entries.at(0).message).reason ==
        ReturnReason::kNotHeld);
    CPPUNIT_ASSERT(actions.to_target.empty());
  }

  void TargetThatRefusesConnectionsIsAbsent() {
    AgentForwarder agent(MakeAgentOptions(1), kStart);
    AgentActions actions;
    agent.OnTargetCrashed(kStart, kStart, actions);
    CPPUNIT_ASSERT(agent.load(kStart).state == InstanceState::kDown);
    agent.OnTargetReport(MakeReport(1), kStart, actions);
    CPPUNIT_ASSERT(agent.load(kStart).accepts_flows());
  }

  // A target whose reports are late still sends packets of its flows. Guards
  // against an agent that denies its other flows meanwhile.
  void PacketOfTheTargetProvesThatItIsPresent() {
    AgentForwarder agent(MakeAgentOptions(1), kStart);
    AgentActions actions;
    agent.OnTargetPacket(FlowPackets(2).Answer(false), kPacketBytes,
                         kStart + 2 * kReportInterval, actions);
    const absl::Time later = kStart + 4 * kReportInterval;
    agent.OnForwarded(Forward(ForwardMode::kSearch), flow_.Request(), kEntry,
                      later, actions);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions.to_target.size());
    CPPUNIT_ASSERT(actions.to_entries.empty());
  }

  // A target appears beside an agent, and a flow opens there before the next
  // report of the agent reaches entry 1. Guards against a reset by that entry,
  // which last saw the agent without target.
  void FlowIsFoundAtAnAgentLastSeenWithoutTarget() {
    SimulatedSite site(2, 2);
    site.ReportTarget(0, MakeReport(1));
    site.Pass(absl::Seconds(10));
    site.ReportTarget(0, MakeReport(2));
    site.ReportAgents();
    site.ReportTarget(1, MakeReport(1));
    site.ReportAgent(1, 0);
    TargetReport draining = MakeReport(3);
    draining.draining = true;
    site.ReportTarget(0, draining);
    site.ReportAgent(0, 0);
    site.Send(0, flow_.Opening());
    site.Send(0, flow_.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, site.received(1));
    site.Send(1, flow_.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, site.resets());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, site.received(1));
  }

  // Guards against clients of a lost flow that wait until an agent without
  // target, which has ended, is removed from the entry's directory.
  void AgentThatEndedWithoutTargetDelaysNoReset() {
    SimulatedSite site(1, 2);
    site.Pass(absl::Seconds(10));
    site.ReportTarget(0, MakeReport(1));
    site.ReportAgent(0, 0);
    site.ReportAgent(1, 0);
    site.Pass(absl::Seconds(4));
    site.EndAgent(1);
    site.ReportTarget(0, MakeReport(2));
    site.ReportAgent(0, 0);
    site.Send(0, flow_.Request());
    // The agent gets time to answer, in case that it runs again.
    CPPUNIT_ASSERT_EQUAL(size_t{0}, site.resets());
    site.Pass(absl::Milliseconds(200));
    site.Send(0, flow_.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, site.resets());
  }

 private:
  /// Sends reports of all targets and agents.
  void Beat(uint64_t sequence) {
    site_.ReportTarget(0, MakeReport(sequence));
    site_.ReportTarget(1, MakeReport(sequence));
    site_.ReportAgents();
  }

  /// Opens the flow through entry 0. Returns the agent that holds it.
  size_t Open(const FlowPackets& flow) {
    site_.Send(0, flow.Opening());
    site_.Send(0, flow.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, site_.received(0) + site_.received(1));
    return site_.received(1);
  }

  const FlowPackets flow_;
  SimulatedSite site_{2, 2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentRestartTest);

}  // namespace
}  // namespace skylarkshunt
