#include "absl/time/clock.h"
#include "failure_fixture.h"

namespace skylarkshunt {
namespace {

// P6: "after a few seconds".
constexpr absl::Duration kDrainLimit = absl::Seconds(5);

class DrainFailureTest : public FailureFixture {
  CPPUNIT_TEST_SUITE(DrainFailureTest);
  CPPUNIT_TEST(DrainedTargetKeepsFlowsAndTakesNoNewOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // P1, P6: guards against a drain that breaks open flows, against new flows at
  // a leaving target, and against an order that cannot be taken back.
  void DrainedTargetKeepsFlowsAndTakesNoNewOnes() {
    StartDeployment(41);
    const std::string uid = Uid(0);
    LoadRun held = StartLoad("held", Options(60, 0, 12, 21));
    CPPUNIT_ASSERT_EQUAL(0, Ctl({"target", "drain", uid}));
    const absl::Time ordered = absl::Now();
    CPPUNIT_ASSERT(WaitUntil([&] { return AllEntriesShow(uid, "draining"); }));
    absl::SleepFor(ordered + kDrainLimit - absl::Now());
    const size_t flows = CountLog(Role::kAgent, 0, kFlowAccepted);
    CPPUNIT_ASSERT(flows > 0);
    const uint64_t completed = Completed(0);
    LoadRun opened = StartLoad("opened", Options(60, 2, 3, 22));
    const LoadSummary held_summary = FinishLoad(&held);
    const LoadSummary opened_summary = FinishLoad(&opened);
    CPPUNIT_ASSERT_EQUAL(flows, CountLog(Role::kAgent, 0, kFlowAccepted));
    // The open flows went on at the drained target.
    CPPUNIT_ASSERT(Completed(0) > completed);
    for (const LoadSummary& summary : {held_summary, opened_summary}) {
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.broken_flows);
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.missing);
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.unknown);
    }
    Undrain(uid);
  }

 private:
  static constexpr char kFlowAccepted[] = "SKS3001 flow_accepted";

  void Undrain(const std::string& uid) {
    const size_t flows = CountLog(Role::kAgent, 0, kFlowAccepted);
    CPPUNIT_ASSERT_EQUAL(0, Ctl({"target", "undrain", uid}));
    CPPUNIT_ASSERT(WaitUntil([&] { return AllEntriesShow(uid, "serving"); },
                             kInForceLimit));
    LoadRun load = StartLoad("undrained", Options(60, 2, 2, 23));
    const LoadSummary summary = FinishLoad(&load);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.missing);
    CPPUNIT_ASSERT(CountLog(Role::kAgent, 0, kFlowAccepted) > flows);
  }

  static LoadRun::Options Options(uint32_t flows,
                                  uint32_t requests_per_flow,
                                  int seconds,
                                  uint64_t seed) {
    LoadRun::Options options;
    options.utilisation = 0.2;
    options.flows = flows;
    options.requests_per_flow = requests_per_flow;
    options.duration = absl::Seconds(seconds);
    options.seed = seed;
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainFailureTest);

}  // namespace
}  // namespace skylarkshunt
