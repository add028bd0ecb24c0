#include "skylarkshunt/configuration/config_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace skylarkshunt {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

ConfigRecord Service(const std::string& name, uint64_t revision) {
  return {"services/" + name, Revision{revision}, false, "{}"};
}

ConfigRecord Tombstone(const std::string& name, uint64_t revision) {
  return {"services/" + name, Revision{revision}, true, ""};
}

class ConfigStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStoreTest);
  CPPUNIT_TEST(HighestRevisionWinsInAnyOrder);
  CPPUNIT_TEST(ListMakesTombstonesForOlderKeysOnly);
  CPPUNIT_TEST(TombstonesExpireAndDoNotReturn);
  CPPUNIT_TEST(FullStoreEvictsOldestTombstoneThenRefuses);
  CPPUNIT_TEST(RefusesOversizedAndForeignRecords);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a record that reverts to an older revision when records
  // arrive out of order.
  void HighestRevisionWinsInAnyOrder() {
    std::vector<ConfigRecord> records;
    for (uint64_t revision = 1; revision <= 12; ++revision) {
      records.push_back(revision % 5 == 0 ? Tombstone("a", revision)
                                          : Service("a", revision));
    }
    std::mt19937_64 random(3);
    for (int round = 0; round < 50; ++round) {
      std::shuffle(records.begin(), records.end(), random);
      ConfigStore store(10);
      Revision before{};
      for (const ConfigRecord& record : records) {
        const ApplyOutcome outcome = store.Apply(kStart, record);
        CPPUNIT_ASSERT(outcome == (record.revision > before
                                       ? ApplyOutcome::kApplied
                                       : ApplyOutcome::kStale));
        before = std::max(before, record.revision);
        CPPUNIT_ASSERT(store.Find("services/a")->revision == before);
      }
      CPPUNIT_ASSERT(store.Apply(kStart, Service("a", 12)) ==
                     ApplyOutcome::kEqual);
    }
  }

  // Guards against the removal of an object that is newer than the list.
  void ListMakesTombstonesForOlderKeysOnly() {
    ConfigStore store(10);
    store.Apply(kStart, Service("gone", 3));
    store.Apply(kStart, Service("kept", 4));
    store.Apply(kStart, Service("newer", 9));
    store.Apply(kStart, Tombstone("dead", 2));
    const std::vector<ConfigRecord> listed = {Service("kept", 4)};
    const std::vector<ConfigRecord> tombstones =
        store.MissingFrom(Revision{7}, listed);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, tombstones.size());
    CPPUNIT_ASSERT_EQUAL(std::string("services/gone"), tombstones[0].key);
    CPPUNIT_ASSERT(tombstones[0].deleted);
    CPPUNIT_ASSERT(tombstones[0].revision == Revision{7});
  }

  // Guards against tombstones that nodes propagate to each other forever.
  void TombstonesExpireAndDoNotReturn() {
    ConfigStore store(10);
    ConfigStore late(10);
    store.Apply(kStart, Service("a", 1));
    store.Apply(kStart, Tombstone("a", 2));
    late.Apply(kStart, Tombstone("a", 2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CountPropagated(store, kStart));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountPropagated(late, kStart));
    CPPUNIT_ASSERT_EQUAL(
        size_t{0},
        CountPropagated(store, kStart + kTombstonePropagationPeriod));
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         store.DropExpired(kStart + absl::Hours(23)));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         store.DropExpired(kStart + absl::Hours(24)));
    CPPUNIT_ASSERT(store.highest() == Revision{2});
  }

  // Guards against memory that grows with every service ever created.
  void FullStoreEvictsOldestTombstoneThenRefuses() {
    ConfigStore store(2);
    store.Apply(kStart, Tombstone("a", 1));
    store.Apply(kStart, Service("b", 2));
    CPPUNIT_ASSERT(store.Apply(kStart, Service("c", 3)) ==
                   ApplyOutcome::kApplied);
    CPPUNIT_ASSERT(store.Find("services/a") == nullptr);
    CPPUNIT_ASSERT(store.Apply(kStart, Service("d", 4)) ==
                   ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(store.Apply(kStart, Service("b", 5)) ==
                   ApplyOutcome::kApplied);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, store.refused());
  }

  // Guards against a record that no message can carry and that blocks the
  // exchange of all others.
  void RefusesOversizedAndForeignRecords() {
    ConfigStore store(10);
    ConfigRecord large = Service("a", 1);
    large.body.assign(kMaxConfigBodyBytes + 1, 'x');
    CPPUNIT_ASSERT(store.Apply(kStart, large) == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT(store.Apply(kStart, {"directory/r", Revision{1}, false,
                                        "{}"}) == ApplyOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, store.size());
  }

 private:
  static size_t CountPropagated(const ConfigStore& store, absl::Time now) {
    size_t count = 0;
    store.ForEachToPropagate(now, ~BucketMask{0},
                             [&count](const ConfigRecord&) { ++count; });
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStoreTest);

}  // namespace
}  // namespace skylarkshunt
