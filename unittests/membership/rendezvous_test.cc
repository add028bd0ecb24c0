#include "skylarkshunt/membership/rendezvous.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>

namespace skylarkshunt {
namespace {

class RendezvousTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RendezvousTest);
  CPPUNIT_TEST(RelaysAreSpreadOverDataCentres);
  CPPUNIT_TEST(LossOfOneEntryMovesOnlyItsAgents);
  CPPUNIT_TEST(OrderDoesNotDependOnTheInput);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against all relays of an agent failing with one data centre.
  void RelaysAreSpreadOverDataCentres() {
    const std::vector<InstanceRecord> entries = Entries(30);
    for (uint64_t key = 1; key <= 100; ++key) {
      std::set<std::string> data_centres;
      for (const InstanceRecord* entry : RankEntries(key, View(entries), 3))
        data_centres.insert(entry->data_centre);
      CPPUNIT_ASSERT_EQUAL(size_t{3}, data_centres.size());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{30}, RankEntries(1, View(entries), 100).size());
    CPPUNIT_ASSERT(RankEntries(1, {}, 3).empty());
  }

  // Guards against the failure of one entry moving the links of all agents.
  void LossOfOneEntryMovesOnlyItsAgents() {
    std::vector<InstanceRecord> entries = Entries(30);
    std::vector<InstanceRecord> fewer(entries.begin() + 1, entries.end());
    for (uint64_t key = 1; key <= 200; ++key) {
      std::set<InstanceUid> before = Uids(RankEntries(key, View(entries), 3));
      const std::set<InstanceUid> after =
          Uids(RankEntries(key, View(fewer), 3));
      const bool used = before.erase(entries[0].uid) > 0;
      for (InstanceUid uid : before)
        CPPUNIT_ASSERT(after.count(uid) == 1);
      CPPUNIT_ASSERT(used || before == after);
    }
  }

  // Guards against nodes that rank the same entries differently.
  void OrderDoesNotDependOnTheInput() {
    const std::vector<InstanceRecord> entries = Entries(30);
    std::vector<const InstanceRecord*> reversed = View(entries);
    std::reverse(reversed.begin(), reversed.end());
    for (uint64_t key = 1; key <= 100; ++key) {
      CPPUNIT_ASSERT(RankEntries(key, View(entries), 8) ==
                     RankEntries(key, reversed, 8));
    }
  }

 private:
  static std::vector<InstanceRecord> Entries(size_t count) {
    std::vector<InstanceRecord> entries(count);
    for (size_t i = 0; i < count; ++i) {
      entries[i].uid = MakeEntryUid(std::to_string(i));
      entries[i].data_centre = "dc" + std::to_string(i % 3);
    }
    return entries;
  }

  static std::vector<const InstanceRecord*> View(
      const std::vector<InstanceRecord>& entries) {
    std::vector<const InstanceRecord*> view;
    view.reserve(entries.size());
    for (const InstanceRecord& entry : entries)
      view.push_back(&entry);
    return view;
  }

  static std::set<InstanceUid> Uids(
      const std::vector<const InstanceRecord*>& entries) {
    std::set<InstanceUid> uids;
    for (const InstanceRecord* entry : entries)
      uids.insert(entry->uid);
    return uids;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);

}  // namespace
}  // namespace skylarkshunt
