#include <cppunit/extensions/HelperMacros.h>

#include "standins/flow_simulation/flow_judge.h"
#include "standins/flow_simulation/flow_simulation.h"

namespace skylarkshunt {
namespace {

const FlowId kFlow{{0x64400001, 1024}, {0xc6120001, 443}};
constexpr Actor kEntry{ActorKind::kEntry, 1};
constexpr size_t kTarget = 2;
constexpr size_t kOtherTarget = 3;

/// An open flow of entry 1 and target 2.
struct OpenFlow {
  OpenFlow() {
    judge.OnOpening(kFlow);
    judge.OnTaken(kFlow, kEntry.index);
    judge.OnOpened(kFlow, kTarget);
  }

  void Reset() { judge.OnReset({kFlow, 0, kEntry, "test", {}}, true); }
  void DeliverAfter(absl::Duration delay, size_t target) {
    events.RunUntil(events.now() + delay);
    judge.OnDelivered(kFlow, target);
  }

  EventQueue events{kSimulationStart};
  FlowJudge judge{events};
};

class FlowJudgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowJudgeTest);
  CPPUNIT_TEST(ResetOfAnOpenFlowBreaksTheRule);
  CPPUNIT_TEST(ResetOfAClosedFlowIsAllowed);
  CPPUNIT_TEST(ResetAfterTheTargetEndedIsAllowed);
  CPPUNIT_TEST(RecentDisruptionExcusesAReset);
  CPPUNIT_TEST(PacketsAtOtherTargetsBreakTheRule);
  CPPUNIT_TEST(CopiesOfOnePacketBreakNoRule);
  CPPUNIT_TEST(BurstsWithoutFaultsBreakNoRule);
  CPPUNIT_TEST(SameSeedGivesTheSameOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResetOfAnOpenFlowBreaksTheRule() {
    OpenFlow flow;
    flow.Reset();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, flow.judge.broken());
  }

  void ResetOfAClosedFlowIsAllowed() {
    OpenFlow flow;
    flow.judge.OnClosed(kFlow);
    flow.Reset();
    CPPUNIT_ASSERT(flow.judge.violations().empty());
  }

  void ResetAfterTheTargetEndedIsAllowed() {
    OpenFlow flow;
    flow.judge.OnTargetEnded(kTarget);
    flow.Reset();
    CPPUNIT_ASSERT(flow.judge.violations().empty());
  }

  // Guards against violations that are lost, or counted as broken, for a
  // disruption that the rule excuses for 4 s.
  void RecentDisruptionExcusesAReset() {
    OpenFlow flow;
    flow.judge.RecordDisruption({ActorKind::kAgent, kTarget}, Disruption::kKill,
                                flow.events.now());
    flow.events.RunUntil(flow.events.now() + absl::Seconds(3));
    flow.Reset();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, flow.judge.violations().size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, flow.judge.broken());
    flow.events.RunUntil(flow.events.now() + absl::Seconds(1));
    flow.Reset();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, flow.judge.broken());
  }

  void PacketsAtOtherTargetsBreakTheRule() {
    OpenFlow flow;
    for (int i = 0; i < 3; ++i)
      flow.DeliverAfter(absl::Milliseconds(200), kOtherTarget);
    flow.events.RunUntil(flow.events.now() + absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, flow.judge.broken());
  }

  // Guards against a search that finds the flow being counted as packets that
  // went astray.
  void CopiesOfOnePacketBreakNoRule() {
    OpenFlow flow;
    for (int i = 0; i < 5; ++i)
      flow.DeliverAfter(absl::Milliseconds(1), kOtherTarget);
    flow.DeliverAfter(absl::Milliseconds(1), kTarget);
    flow.events.RunUntil(flow.events.now() + absl::Seconds(5));
    CPPUNIT_ASSERT(flow.judge.violations().empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, flow.judge.searches());
  }

  // Guards against a model that breaks the rule by itself: without faults each
  // entry gets all packets of its flows.
  void BurstsWithoutFaultsBreakNoRule() {
    SimulationOptions options;
    options.seed = 1;
    options.duration = absl::Seconds(6);
    options.faults = FaultKinds{false, false, false, false, false, false, true};
    FlowSimulation simulation(options);
    simulation.Run();
    const SimulationFigures& figures = simulation.figures();
    CPPUNIT_ASSERT(simulation.judge().violations().empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, figures.unanswered);
    CPPUNIT_ASSERT(figures.served > 0);
    CPPUNIT_ASSERT_EQUAL(figures.requests, figures.served + figures.failed);
  }

  // Guards against a result that depends on anything but the seed, such as the
  // order of a hash table.
  void SameSeedGivesTheSameOutcome() {
    SimulationOptions options;
    options.duration = absl::Seconds(5);
    FlowSimulation first(options);
    first.Run();
    FlowSimulation second(options);
    second.Run();
    CPPUNIT_ASSERT_EQUAL(first.figures().attempts, second.figures().attempts);
    CPPUNIT_ASSERT_EQUAL(first.figures().served, second.figures().served);
    CPPUNIT_ASSERT_EQUAL(first.judge().violations().size(),
                         second.judge().violations().size());
    CPPUNIT_ASSERT(first.figures().refusal_times ==
                   second.figures().refusal_times);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowJudgeTest);

}  // namespace
}  // namespace skylarkshunt
