#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "flows/generator_world.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kFirstSeed = 1;
constexpr uint64_t kSeeds = 100;

// SKYLARKSHUNT_GENERATOR_SEEDS sets the number of histories, for longer runs;
// SKYLARKSHUNT_GENERATOR_FIRST_SEED the first seed, to repeat one.
uint64_t FromEnvironment(const char* name, uint64_t usual) {
  const char* text = std::getenv(name);
  uint64_t number = 0;
  if (text == nullptr || !absl::SimpleAtoi(text, &number))
    return usual;
  return number;
}

class AgentGeneratorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentGeneratorTest);
  CPPUNIT_TEST(InvariantsHoldInGeneratedHistories);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a combination of faults in which a report runs twice, a
  // request runs although it was refused as not run, or an answer reaches
  // another request.
  void InvariantsHoldInGeneratedHistories() {
    const uint64_t first =
        FromEnvironment("SKYLARKSHUNT_GENERATOR_FIRST_SEED", kFirstSeed);
    const uint64_t seeds =
        FromEnvironment("SKYLARKSHUNT_GENERATOR_SEEDS", kSeeds);
    SimulationCounts total;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
      AgentSimulation world(seed);
      const std::string failure = world.Run();
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", seed, ": ", failure),
                             failure.empty());
      Add(total, world.counts());
    }
    if (seeds < kSeeds)
      return;
    // The histories test the invariants only if each kind of event occurs
    // often.
    for (const uint64_t count :
         {total.answered, total.refused, total.unknown, total.transferred,
          total.pauses, total.restarts, total.late_copies,
          total.full_ledgers}) {
      CPPUNIT_ASSERT(count > seeds / 2);
    }
  }

 private:
  static void Add(SimulationCounts& total, const SimulationCounts& counts) {
    total.answered += counts.answered;
    total.refused += counts.refused;
    total.unknown += counts.unknown;
    total.transferred += counts.transferred;
    total.pauses += counts.pauses;
    total.restarts += counts.restarts;
    total.late_copies += counts.late_copies;
    total.full_ledgers += counts.full_ledgers;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentGeneratorTest);

}  // namespace
}  // namespace skylarkshunt
