#include "skylarkshunt/forwarding/node_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "packets.h"

namespace skylarkshunt {
namespace {

constexpr uint32_t kSelf = 1;
constexpr absl::Duration kInterval = absl::Milliseconds(100);

class NodeDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeDirectoryTest);
  CPPUNIT_TEST(SeedsAreTriedUntilTheyAnswer);
  CPPUNIT_TEST(OnlyNodesThatSentAMessageArePresentEntries);
  CPPUNIT_TEST(AgentReportsToEntriesOnly);
  CPPUNIT_TEST(ReturningNodeIsDueAtOnce);
  CPPUNIT_TEST(UnresponsiveNodesAreRemovedAndSeedsStay);
  CPPUNIT_TEST(PresentNodesPutEntriesFirst);
  CPPUNIT_TEST(ReportsStaySmallAndListNewNodesFirst);
  CPPUNIT_TEST(EntriesAgreeOnTheirOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that never finds the others because it started before
  // its seeds.
  void SeedsAreTriedUntilTheyAnswer() {
    const std::vector<uint32_t> seeds = {kSelf, 2, 3};
    NodeDirectory nodes(Role::kAgent, kSelf, kInterval, seeds, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Due(nodes, kStart).size());
    CPPUNIT_ASSERT(Due(nodes, kStart + absl::Milliseconds(100)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         Due(nodes, kStart + absl::Milliseconds(200)).size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Due(nodes, kStart + absl::Hours(1)).size());
    CPPUNIT_ASSERT(nodes.CountPresentEntries(kStart) == 0);
  }

  // Guards against messages of addresses that are learned but have not sent
  // anything, and of agents, that are taken for those of entries.
  void OnlyNodesThatSentAMessageArePresentEntries() {
    NodeDirectory nodes(Role::kEntry, kSelf, kInterval, {}, kStart);
    nodes.Learn({4, Role::kEntry}, kStart);
    nodes.RecordMessage({5, Role::kAgent}, kStart);
    nodes.RecordMessage({6, Role::kEntry}, kStart);
    CPPUNIT_ASSERT(!nodes.IsPresentEntry(3, kStart));
    CPPUNIT_ASSERT(!nodes.IsPresentEntry(4, kStart));
    CPPUNIT_ASSERT(!nodes.IsPresentEntry(5, kStart));
    CPPUNIT_ASSERT(nodes.IsPresentEntry(6, kStart));
    CPPUNIT_ASSERT(nodes.PresentEntries(kStart) == std::vector<uint32_t>{6});
    CPPUNIT_ASSERT(!nodes.IsPresentEntry(6, kStart + absl::Hours(1)));
  }

  // Guards against entries that each take another one for the first in the
  // order, so that none watches the store closely.
  void EntriesAgreeOnTheirOrder() {
    std::set<size_t> ranks;
    for (uint32_t self = 1; self <= 20; ++self) {
      NodeDirectory nodes(Role::kEntry, self, kInterval, {}, kStart);
      for (uint32_t other = 1; other <= 20; ++other)
        nodes.RecordMessage({other, Role::kEntry}, kStart);
      nodes.RecordMessage({21, Role::kAgent}, kStart);
      nodes.Learn({22, Role::kEntry}, kStart);
      ranks.insert(nodes.CountPrecedingEntries(kStart));
      CPPUNIT_ASSERT_EQUAL(
          size_t{0}, nodes.CountPrecedingEntries(kStart + absl::Hours(1)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{20}, ranks.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, *ranks.begin());
  }

  void AgentReportsToEntriesOnly() {
    NodeDirectory nodes(Role::kAgent, kSelf, kInterval, {}, kStart);
    nodes.Learn({5, Role::kAgent}, kStart);
    nodes.Learn({6, Role::kEntry}, kStart);
    CPPUNIT_ASSERT(Due(nodes, kStart) == std::vector<uint32_t>{6});
    NodeDirectory entry(Role::kEntry, kSelf, kInterval, {}, kStart);
    entry.Learn({5, Role::kAgent}, kStart);
    CPPUNIT_ASSERT(Due(entry, kStart) == std::vector<uint32_t>{5});
  }

  void ReturningNodeIsDueAtOnce() {
    NodeDirectory nodes(Role::kEntry, kSelf, kInterval, {}, kStart);
    CPPUNIT_ASSERT(nodes.RecordMessage({5, Role::kAgent}, kStart));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Due(nodes, kStart).size());
    const absl::Time soon = kStart + absl::Milliseconds(10);
    CPPUNIT_ASSERT(!nodes.RecordMessage({5, Role::kAgent}, soon));
    CPPUNIT_ASSERT(Due(nodes, soon).empty());
    const absl::Time later = kStart + absl::Seconds(10);
    Due(nodes, later);
    CPPUNIT_ASSERT(nodes.RecordMessage({5, Role::kAgent}, later));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Due(nodes, later).size());
  }

  void UnresponsiveNodesAreRemovedAndSeedsStay() {
    const std::vector<uint32_t> seeds = {2};
    NodeDirectory nodes(Role::kEntry, kSelf, kInterval, seeds, kStart);
    nodes.RecordMessage({5, Role::kAgent}, kStart);
    const absl::Time later = kStart + absl::Minutes(2);
    nodes.RemoveUnresponsive(later);
    CPPUNIT_ASSERT(Due(nodes, later) == std::vector<uint32_t>{2});
  }

  void PresentNodesPutEntriesFirst() {
    NodeDirectory nodes(Role::kEntry, kSelf, kInterval, {}, kStart);
    for (uint32_t address = 10; address < 20; ++address)
      nodes.RecordMessage({address, Role::kAgent}, kStart);
    nodes.RecordMessage({30, Role::kEntry}, kStart);
    nodes.Learn({31, Role::kEntry}, kStart);
    const std::vector<NodeAddress> present = nodes.Present(kStart, 4);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, present.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{30}, present[0].address);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, nodes.CountPresentEntries(kStart));
  }

  // A fleet of hundreds of nodes. Guards against reports whose total size grows
  // with the square of the fleet, against new nodes that are reported late, and
  // against nodes that are never reported.
  void ReportsStaySmallAndListNewNodesFirst() {
    NodeDirectory nodes(Role::kEntry, kSelf, kInterval, {}, kStart);
    for (uint32_t address = 100; address < 400; ++address)
      nodes.RecordMessage({address, Role::kAgent}, kStart);
    const absl::Time later = kStart + absl::Seconds(1);
    nodes.RecordMessage({77, Role::kEntry}, later);
    std::set<uint32_t> named;
    for (int i = 0; i < 30; ++i) {
      const std::vector<NodeAddress> reported = nodes.SelectReported(later, 24);
      CPPUNIT_ASSERT_EQUAL(size_t{24}, reported.size());
      CPPUNIT_ASSERT_EQUAL(uint32_t{77}, reported[0].address);
      for (const NodeAddress& node : reported)
        named.insert(node.address);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{301}, named.size());
    // A report lists all nodes of a small fleet.
    CPPUNIT_ASSERT_EQUAL(size_t{301}, nodes.SelectReported(later, 400).size());
  }

 private:
  static std::vector<uint32_t> Due(NodeDirectory& nodes, absl::Time now) {
    std::vector<uint32_t> due;
    nodes.TakeDue(now, due);
    return due;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeDirectoryTest);

}  // namespace
}  // namespace skylarkshunt
