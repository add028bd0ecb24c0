#include "skylarkshunt/configuration/watcher_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace skylarkshunt {
namespace {

class WatcherChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatcherChoiceTest);
  CPPUNIT_TEST(ThreeWatchersAtAnySize);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a number of store calls that grows with the fleet, and
  // against replacing all watchers when one is lost.
  void ThreeWatchersAtAnySize() {
    std::vector<InstanceRecord> entries(200);
    std::vector<const InstanceRecord*> view;
    for (size_t i = 0; i < entries.size(); ++i) {
      entries[i].uid = MakeEntryUid(std::to_string(i));
      view.push_back(&entries[i]);
      CPPUNIT_ASSERT_EQUAL(std::min(i + 1, kWatchersPerRegion),
                           ChooseWatchers("r", view).size());
    }
    const std::vector<InstanceUid> before = ChooseWatchers("r", view);
    CPPUNIT_ASSERT(before != ChooseWatchers("other", view));
    view.erase(std::find_if(view.begin(), view.end(), [&](const auto* entry) {
      return entry->uid == before[0];
    }));
    const std::vector<InstanceUid> after = ChooseWatchers("r", view);
    for (size_t i = 1; i < before.size(); ++i) {
      CPPUNIT_ASSERT(std::find(after.begin(), after.end(), before[i]) !=
                     after.end());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatcherChoiceTest);

}  // namespace
}  // namespace skylarkshunt
