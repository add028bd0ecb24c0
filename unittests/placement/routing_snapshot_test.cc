#include <cppunit/extensions/HelperMacros.h>

#include "placement_fixtures.h"
#include "skylarkshunt/placement/routing_snapshot.h"

namespace skylarkshunt {
namespace {

constexpr ServiceUid kService{7};
constexpr ServiceUid kOther{8};

std::shared_ptr<const RoutingSnapshot> BuildOne(
    const std::vector<InstanceRecord>& records,
    const std::shared_ptr<const RoutingSnapshot>& previous = nullptr) {
  const ConfigRecord config = ServiceRecord("s", kService, 1);
  return RoutingSnapshot::Build("r1", records, {config}, previous);
}

size_t Eligible(const std::vector<InstanceRecord>& records) {
  return BuildOne(records)->FindService("s")->table->targets().size();
}

class RoutingSnapshotTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingSnapshotTest);
  CPPUNIT_TEST(OnlyTargetsOfTheServiceAreEligible);
  CPPUNIT_TEST(DrainingAndDownTakeNoNewFlows);
  CPPUNIT_TEST(EjectedTargetsAreEligibleBelowHalfServing);
  CPPUNIT_TEST(OtherRegionIsUsedOnlyWithoutServingLocalTargets);
  CPPUNIT_TEST(UnchangedServicesAreShared);
  CPPUNIT_TEST(MalformedRecordKeepsPreviousService);
  CPPUNIT_TEST(RecreatedServiceForgetsOldTargets);
  CPPUNIT_TEST(DeletedServiceIsNotFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards promise P2 at the entry, also when an address changes its service.
  void OnlyTargetsOfTheServiceAreEligible() {
    auto records = AgentRecords(kService, 2);
    InstanceRecord reused = AgentRecord(kOther, 0);
    records.push_back(reused);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Eligible(records));
    CPPUNIT_ASSERT(reused.uid != records[0].uid);
  }

  void DrainingAndDownTakeNoNewFlows() {
    auto records = AgentRecords(kService, 5);
    records[0].state = InstanceState::kDraining;
    records[1].state = InstanceState::kLeaving;
    records[2].state = InstanceState::kDown;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Eligible(records));
    auto snapshot = BuildOne(records);
    CPPUNIT_ASSERT(snapshot->FindTarget(records[0].uid) != nullptr);
    CPPUNIT_ASSERT(snapshot->FindTarget(records[2].uid)->state ==
                   InstanceState::kDown);
  }

  void EjectedTargetsAreEligibleBelowHalfServing() {
    auto records = AgentRecords(kService, 4);
    records[0].state = InstanceState::kEjected;
    records[1].state = InstanceState::kEjected;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Eligible(records));
    records[2].state = InstanceState::kEjected;
    CPPUNIT_ASSERT_EQUAL(size_t{4}, Eligible(records));
    records[3].state = InstanceState::kEjected;
    CPPUNIT_ASSERT_EQUAL(size_t{4}, Eligible(records));
  }

  void OtherRegionIsUsedOnlyWithoutServingLocalTargets() {
    auto records = AgentRecords(kService, 3);
    records[0].region = "r2";
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Eligible(records));
    records[1].state = InstanceState::kDown;
    records[2].state = InstanceState::kDraining;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Eligible(records));
    // All local targets ejected: a serving one elsewhere is preferred.
    records[1].state = InstanceState::kEjected;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Eligible(records));
  }

  // Guards against a rebuild of thousands of tables for one change.
  void UnchangedServicesAreShared() {
    auto records = AgentRecords(kService, 3);
    auto first = BuildOne(records);
    auto second = BuildOne(records, first);
    CPPUNIT_ASSERT(first->FindService("s") == second->FindService("s"));
    records[0].incarnation = Incarnation{2};
    auto third = BuildOne(records, second);
    CPPUNIT_ASSERT(third->FindService("s") != second->FindService("s"));
  }

  void MalformedRecordKeepsPreviousService() {
    auto records = AgentRecords(kService, 3);
    auto first = BuildOne(records);
    const ConfigRecord damaged{"services/s", Revision{2}, false, "{"};
    auto second = RoutingSnapshot::Build("r1", records, {damaged}, first);
    CPPUNIT_ASSERT(second->FindService("s") != nullptr);
    CPPUNIT_ASSERT(second->FindService("s")->revision == Revision{1});
  }

  void RecreatedServiceForgetsOldTargets() {
    auto records = AgentRecords(kService, 3);
    auto first = BuildOne(records);
    const ConfigRecord recreated = ServiceRecord("s", kOther, 2);
    records.push_back(AgentRecord(kOther, 9));
    auto second = RoutingSnapshot::Build("r1", records, {recreated}, first);
    const CandidateList list =
        second->FindService("s")->table->Candidates(FlowKey{1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, list.size());
    CPPUNIT_ASSERT(list[0].uid == records[3].uid);
  }

  void DeletedServiceIsNotFound() {
    auto first = BuildOne(AgentRecords(kService, 1));
    const ConfigRecord deleted{"services/s", Revision{2}, true, ""};
    auto second = RoutingSnapshot::Build("r1", {}, {deleted}, first);
    CPPUNIT_ASSERT(second->FindService("s") == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingSnapshotTest);

}  // namespace
}  // namespace skylarkshunt
