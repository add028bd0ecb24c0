#include "absl/time/clock.h"
#include "failure_fixture.h"

namespace skylarkshunt {
namespace {

class AgentFailureTest : public FailureFixture {
  CPPUNIT_TEST_SUITE(AgentFailureTest);
  CPPUNIT_TEST(TerminatedAgentCutsNoRequest);
  CPPUNIT_TEST(PausedAndKilledAgentsRunNothingTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  // P7: guards against a shutdown that cuts requests, and against one that does
  // not end although its callers have closed their flows.
  void TerminatedAgentCutsNoRequest() {
    StartDeployment(42);
    LoadRun load = StartLoad("load", Options(0.3, 4, 8, 31));
    ChildProcess& agent = deployment().process(Role::kAgent, 0);
    agent.Stop();
    const LoadSummary summary = FinishLoad(&load);
    CPPUNIT_ASSERT_EQUAL(0, agent.WaitForExit(kGenerousLimit).value_or(-1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.missing);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.unknown);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.broken_flows);
  }

  // P4, P5: guards against an agent that runs queued work after its lease, or
  // says "not run" of what ran, and against one that takes the bindings of the
  // process before it.
  void PausedAndKilledAgentsRunNothingTwice() {
    StartDeployment(43);
    LoadRun load = StartLoad("load", Options(0.7, 0, 14, 32));
    ChildProcess& paused = deployment().process(Role::kAgent, 0);
    CPPUNIT_ASSERT(WaitUntil([&] { return Running(0) > 0; }));
    paused.Pause();
    // The length of the pause is the failure itself.
    absl::SleepFor(absl::Seconds(5));
    paused.Resume();
    CPPUNIT_ASSERT(WaitUntil([&] { return LeaseLapses(0) > 0; }));
    const uint64_t before = Incarnation(1);
    CPPUNIT_ASSERT(WaitUntil([&] { return Running(1) > 0; }));
    deployment().process(Role::kAgent, 1).Kill();
    CPPUNIT_ASSERT(deployment().Restart(Role::kAgent, 1));
    CPPUNIT_ASSERT(WaitUntil([&] { return Incarnation(1) > before; }));
    CPPUNIT_ASSERT(WaitUntil([&] { return Completed(1) > 0; }));
    FinishLoad(&load);
  }

 private:
  uint64_t Stat(size_t agent, const char* name) const {
    const nlohmann::json status = Status(Role::kAgent, agent);
    return status.empty() ? 0 : status["stats"][name].get<uint64_t>();
  }
  uint64_t Running(size_t agent) const { return Stat(agent, "running"); }
  uint64_t LeaseLapses(size_t agent) const {
    return Stat(agent, "lease_lapses");
  }
  uint64_t Incarnation(size_t agent) const {
    const nlohmann::json status = Status(Role::kAgent, agent);
    return status.empty()
               ? 0
               : std::stoull(status["self"]["incarnation"].get<std::string>());
  }

  static LoadRun::Options Options(double utilisation,
                                  uint32_t requests_per_flow,
                                  int seconds,
                                  uint64_t seed) {
    LoadRun::Options options;
    options.utilisation = utilisation;
    options.flows = 60;
    options.requests_per_flow = requests_per_flow;
    options.duration = absl::Seconds(seconds);
    options.seed = seed;
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentFailureTest);

}  // namespace
}  // namespace skylarkshunt
