#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

#include "placement_fixtures.h"
#include "skylarkshunt/placement/service_table.h"

namespace skylarkshunt {
namespace {

constexpr ServiceUid kService{7};
constexpr uint64_t kFlows = 20000;

bool Has(const CandidateList& list, InstanceUid uid) {
  return std::any_of(list.begin(), list.end(),
                     [uid](const Candidate& c) { return c.uid == uid; });
}

class ServiceTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceTableTest);
  CPPUNIT_TEST(EveryEntryComputesTheSameCandidates);
  CPPUNIT_TEST(CandidatesAreDistinctAndComplete);
  CPPUNIT_TEST(ChangeKeepsOldFirstCandidateInTheList);
  CPPUNIT_TEST(RemovalMovesFewFlows);
  CPPUNIT_TEST(FirstCandidatesSpreadEvenly);
  CPPUNIT_TEST(EmptyTableHasNoCandidates);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against entries that learn of the targets in different orders and
  // then send packets of one flow to different targets.
  void EveryEntryComputesTheSameCandidates() {
    std::vector<Candidate> targets = CandidatesOf(AgentRecords(kService, 20));
    auto first = ServiceTable::Build(targets, nullptr);
    std::shuffle(targets.begin(), targets.end(), std::mt19937(1));
    auto second = ServiceTable::Build(targets, nullptr);
    for (uint64_t flow = 0; flow < 1000; ++flow) {
      CPPUNIT_ASSERT(first->Candidates(FlowKey{flow}) ==
                     second->Candidates(FlowKey{flow}));
    }
  }

  void CandidatesAreDistinctAndComplete() {
    for (int count : {1, 2, 3, 4, 7, 300}) {
      auto table = ServiceTable::Build(
          CandidatesOf(AgentRecords(kService, count)), nullptr);
      const size_t expected =
          std::min<size_t>(static_cast<size_t>(count), kMaxCurrentCandidates);
      for (uint64_t flow = 0; flow < 1000; ++flow) {
        const CandidateList list = table->Candidates(FlowKey{flow});
        CPPUNIT_ASSERT_EQUAL(expected, list.size());
        for (size_t i = 0; i < list.size(); ++i) {
          for (size_t j = 0; j < i; ++j)
            CPPUNIT_ASSERT(list[i].uid != list[j].uid);
        }
      }
    }
  }

  // Guards against an established flow that an entry with the new membership
  // cannot find: its agent must still be in the list.
  void ChangeKeepsOldFirstCandidateInTheList() {
    auto records = AgentRecords(kService, 7);
    auto before = ServiceTable::Build(CandidatesOf(records), nullptr);
    records.push_back(AgentRecord(kService, 50));
    records.push_back(AgentRecord(kService, 51));
    auto after = ServiceTable::Build(CandidatesOf(records), before);
    for (uint64_t flow = 0; flow < kFlows; ++flow) {
      const InstanceUid old_first = before->First(FlowKey{flow})->uid;
      CPPUNIT_ASSERT(Has(after->Candidates(FlowKey{flow}), old_first));
    }
  }

  // A removal moves the flows of the removed target and few others.
  void RemovalMovesFewFlows() {
    auto records = AgentRecords(kService, 20);
    auto before = ServiceTable::Build(CandidatesOf(records), nullptr);
    const InstanceUid removed = records.back().uid;
    records.pop_back();
    auto after = ServiceTable::Build(CandidatesOf(records), nullptr);
    uint64_t moved = 0;
    for (uint64_t flow = 0; flow < kFlows; ++flow) {
      const InstanceUid old_first = before->First(FlowKey{flow})->uid;
      if (old_first != removed &&
          old_first != after->First(FlowKey{flow})->uid) {
        ++moved;
      }
    }
    CPPUNIT_ASSERT(moved < kFlows / 10);
  }

  // The objective for imbalance is 1.10; hashing alone may use up most of it.
  void FirstCandidatesSpreadEvenly() {
    auto table =
        ServiceTable::Build(CandidatesOf(AgentRecords(kService, 7)), nullptr);
    std::map<InstanceUid, uint64_t> count;
    for (uint64_t flow = 0; flow < kFlows; ++flow)
      ++count[table->First(FlowKey{flow})->uid];
    uint64_t most = 0;
    for (const auto& [uid, flows] : count)
      most = std::max(most, flows);
    CPPUNIT_ASSERT_EQUAL(size_t{7}, count.size());
    CPPUNIT_ASSERT(static_cast<double>(most) * 7 / kFlows < 1.10);
  }

  void EmptyTableHasNoCandidates() {
    auto table = ServiceTable::Build({}, nullptr);
    CPPUNIT_ASSERT(table->Candidates(FlowKey{1}).empty());
    CPPUNIT_ASSERT(table->First(FlowKey{1}) == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceTableTest);

}  // namespace
}  // namespace skylarkshunt
