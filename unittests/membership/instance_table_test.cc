#include "skylarkshunt/membership/instance_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

InstanceRecord Record(uint64_t uid,
                      uint64_t incarnation,
                      uint64_t sequence,
                      InstanceState state) {
  InstanceRecord record;
  record.uid = InstanceUid{uid};
  record.incarnation = Incarnation{incarnation};
  record.sequence = sequence;
  record.state = state;
  return record;
}

class InstanceTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceTableTest);
  CPPUNIT_TEST(MergePrefersIncarnationThenSequenceThenSeverity);
  CPPUNIT_TEST(MergeDoesNotDependOnOrderOrRepetition);
  CPPUNIT_TEST(DigestIgnoresHowTheTableCameAbout);
  CPPUNIT_TEST(DownRecordsExpireAndDoNotReturn);
  CPPUNIT_TEST(FullTableEvictsOldestDownThenRefuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a report about an earlier life that hits the current one.
  void MergePrefersIncarnationThenSequenceThenSeverity() {
    InstanceTable table(10);
    const auto merge = [&table](uint64_t i, uint64_t s, InstanceState state) {
      return table.Merge(kStart, Record(1, i, s, state));
    };
    CPPUNIT_ASSERT(merge(5, 1, InstanceState::kServing) ==
                   MergeOutcome::kAdded);
    CPPUNIT_ASSERT(merge(5, 1, InstanceState::kDown) == MergeOutcome::kChanged);
    CPPUNIT_ASSERT(merge(5, 1, InstanceState::kServing) ==
                   MergeOutcome::kUnchanged);
    CPPUNIT_ASSERT(merge(4, 9, InstanceState::kDown) ==
                   MergeOutcome::kUnchanged);
    CPPUNIT_ASSERT(merge(5, 2, InstanceState::kServing) ==
                   MergeOutcome::kChanged);
    CPPUNIT_ASSERT(merge(5, 3, InstanceState::kServing) ==
                   MergeOutcome::kRefreshed);
    CPPUNIT_ASSERT(merge(6, 1, InstanceState::kDraining) ==
                   MergeOutcome::kChanged);
    CPPUNIT_ASSERT(table.Find(InstanceUid{1})->sequence == 1);
  }

  // Guards against nodes that saw the same messages and disagree for ever.
  void MergeDoesNotDependOnOrderOrRepetition() {
    std::mt19937_64 random(7);
    std::vector<InstanceRecord> records;
    for (int i = 0; i < 60; ++i) {
      InstanceRecord record = Record(1 + random() % 4, 1 + random() % 3,
                                     random() % 3, InstanceState(random() % 5));
      record.slots = static_cast<uint16_t>(random() % 3);
      record.region = random() % 2 == 0 ? "a" : "b";
      records.push_back(record);
    }
    InstanceTable expected(10);
    for (const InstanceRecord& record : records)
      expected.Merge(kStart, record);
    for (int round = 0; round < 200; ++round) {
      std::shuffle(records.begin(), records.end(), random);
      InstanceTable table(10);
      InstanceTable half(10);
      for (size_t i = 0; i < records.size(); ++i) {
        (i % 2 == 0 ? table : half).Merge(kStart, records[i]);
        if (i % 5 == 0)
          table.Merge(kStart, records[random() % (i + 1)]);
      }
      half.ForEach([&](const InstanceRecord& r) { table.Merge(kStart, r); });
      expected.ForEach([&](const InstanceRecord& r) {
        const InstanceRecord* held = table.Find(r.uid);
        CPPUNIT_ASSERT(held != nullptr && !Supersedes(*held, r) &&
                       !Supersedes(r, *held));
      });
      CPPUNIT_ASSERT(table.hashes() == expected.hashes());
    }
  }

  // Guards against transfers between tables that hold the same.
  void DigestIgnoresHowTheTableCameAbout() {
    InstanceTable a(10);
    InstanceTable b(10);
    a.Merge(kStart, Record(1, 1, 1, InstanceState::kServing));
    a.Merge(kStart, Record(1, 1, 2, InstanceState::kServing));
    b.Merge(kStart, Record(1, 1, 2, InstanceState::kServing));
    CPPUNIT_ASSERT(a.hashes() == b.hashes());
    a.Merge(kStart, Record(1, 1, 2, InstanceState::kDraining));
    CPPUNIT_ASSERT(a.hashes() != b.hashes());
    a.Merge(kStart, Record(1, 1, 2, InstanceState::kDown));
    CPPUNIT_ASSERT(a.hashes() == InstanceTable(1).hashes());
  }

  // Guards against down records that nodes hand to each other for ever.
  void DownRecordsExpireAndDoNotReturn() {
    InstanceTable table(10);
    InstanceTable late(10);
    const InstanceRecord down = Record(1, 1, 1, InstanceState::kDown);
    table.Merge(kStart, Record(1, 1, 1, InstanceState::kServing));
    table.Merge(kStart, down);
    late.Merge(kStart, down);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, HandedOn(table, kStart));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, HandedOn(late, kStart));
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         HandedOn(table, kStart + kDownPropagationPeriod));
    table.Merge(kStart + absl::Seconds(500), down);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, table.DropExpired(kStart + kDownRetention -
                                                      absl::Milliseconds(1)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, table.DropExpired(kStart + kDownRetention));
  }

  // Guards against memory that grows with the number of restarts.
  void FullTableEvictsOldestDownThenRefuses() {
    InstanceTable table(3);
    table.Merge(kStart, Record(1, 1, 1, InstanceState::kServing));
    table.Merge(kStart + absl::Seconds(2),
                Record(2, 1, 1, InstanceState::kDown));
    table.Merge(kStart + absl::Seconds(1),
                Record(3, 1, 1, InstanceState::kDown));
    const auto add = [&table](uint64_t uid) {
      return table.Merge(kStart + absl::Seconds(3),
                         Record(uid, 1, 1, InstanceState::kServing));
    };
    CPPUNIT_ASSERT(add(4) == MergeOutcome::kAdded);
    CPPUNIT_ASSERT(table.Find(InstanceUid{3}) == nullptr);
    CPPUNIT_ASSERT(add(5) == MergeOutcome::kAdded);
    CPPUNIT_ASSERT(add(6) == MergeOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, table.refused());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, table.size());
  }

 private:
  static size_t HandedOn(const InstanceTable& table, absl::Time now) {
    size_t count = 0;
    table.ForEachToPropagate(now, ~BucketMask{0},
                             [&count](const InstanceRecord&) { ++count; });
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceTableTest);

}  // namespace
}  // namespace skylarkshunt
