#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "skylarkshunt/admission/duration_model.h"
#include "skylarkshunt/admission/retry_budget.h"

namespace skylarkshunt {
namespace {

class LearningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LearningTest);
  CPPUNIT_TEST(LearnedDurationReplacesTheConfiguredOne);
  CPPUNIT_TEST(MedianFollowsTheMixOfRuns);
  CPPUNIT_TEST(RetriesAreATenthOfAcceptedRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a questionnaire's guess that outlives what is seen, and
  // against a change of configuration that forgets what was learned.
  void LearnedDurationReplacesTheConfiguredOne() {
    std::vector<KindConfig> kinds = {{"a", 1, true, absl::Milliseconds(50)}};
    DurationModel model;
    model.Configure(kinds);
    for (int run = 0; run < 100; ++run)
      model.Observe("a", absl::Seconds(2));
    CPPUNIT_ASSERT(model.Expected("a") > absl::Milliseconds(1900));
    kinds.push_back({"b", 1, true, absl::Milliseconds(50)});
    model.Configure(kinds);
    CPPUNIT_ASSERT(model.Expected("a") > absl::Milliseconds(1900));
    CPPUNIT_ASSERT(model.Expected("b") == absl::Milliseconds(50));
  }

  void MedianFollowsTheMixOfRuns() {
    DurationModel model;
    model.Configure(
        std::vector<KindConfig>{{"short", 1, true, absl::Milliseconds(50)},
                                {"long", 1, true, absl::Seconds(1)}});
    CPPUNIT_ASSERT(model.IsStraggler("long"));
    // A service of mostly long requests has no straggler in them.
    for (int run = 0; run < 20; ++run)
      model.Observe("long", absl::Seconds(1));
    CPPUNIT_ASSERT(!model.IsStraggler("long"));
  }

  void RetriesAreATenthOfAcceptedRequests() {
    RetryBudget budget;
    for (int burst = 0; burst < 10; ++burst)
      CPPUNIT_ASSERT(budget.TryTake());
    CPPUNIT_ASSERT(!budget.TryTake());
    for (int accepted = 0; accepted < 9; ++accepted)
      budget.OnAccepted();
    CPPUNIT_ASSERT(!budget.TryTake());
    budget.OnAccepted();
    CPPUNIT_ASSERT(budget.TryTake());
    CPPUNIT_ASSERT(!budget.TryTake());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearningTest);

}  // namespace
}  // namespace skylarkshunt
