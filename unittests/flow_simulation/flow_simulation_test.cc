#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

#include "standins/flow_simulation/flow_simulation.h"

namespace skylarkshunt {
namespace {

constexpr uint32_t kSeeds = 6;
constexpr absl::Duration kDuration = absl::Seconds(10);

class FlowSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowSimulationTest);
  CPPUNIT_TEST(OpenFlowsAreNeitherResetNorMisdirected);
  CPPUNIT_TEST(SameSeedGivesTheSameOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against resets of open flows when the retransmissions of an opening
  // packet pass through different entries, and against packets that never reach
  // the target of their flow.
  void OpenFlowsAreNeitherResetNorMisdirected() {
    std::string first;
    size_t broken = 0;
    size_t served = 0;
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      SimulationOptions options;
      options.seed = seed;
      options.duration = kDuration;
      FlowSimulation simulation(options);
      simulation.Run();
      served += simulation.figures().served;
      for (const Violation& violation : simulation.judge().violations()) {
        if (!violation.excuse.empty())
          continue;
        if (++broken == 1)
          first = "seed " + std::to_string(seed) + ": " +
                  simulation.Describe(violation);
      }
    }
    CPPUNIT_ASSERT(served > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first, size_t{0}, broken);
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

CPPUNIT_TEST_SUITE_REGISTRATION(FlowSimulationTest);

}  // namespace
}  // namespace skylarkshunt
