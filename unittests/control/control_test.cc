#include <cppunit/extensions/HelperMacros.h>

#include "fleet.h"

namespace skylarkshunt {
namespace {

class ControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(ConfigurationReachesAgents);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an agent that never learns its service and so never serves.
  void ConfigurationReachesAgents() {
    Fleet fleet({3, 2});
    const Revision revision = fleet.Put(ServiceKey(0), ServiceBody(0, 77, "a"));
    for (size_t i = 0; i < 5; ++i)
      fleet.Start(i);
    const absl::Duration took = fleet.RunUntil(
        [&] {
          return fleet.nodes()[3].applied[ServiceKey(0)] == revision &&
                 fleet.AllSee(fleet.nodes()[3].agent->self().uid,
                              InstanceState::kServing);
        },
        absl::Seconds(10));
    CPPUNIT_ASSERT(took < absl::Seconds(10));
    CPPUNIT_ASSERT(fleet.nodes()[3].agent->self().service == ServiceUid{77});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

}  // namespace
}  // namespace skylarkshunt
