#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

#include "standins/packet_fleet/soak.h"

namespace skylarkshunt {
namespace {

SoakOptions MakeOptions(uint32_t seed, uint8_t network) {
  SoakOptions options;
  options.profile = SoakProfile::Find("usual").value();
  options.profile.SetLoad(options.fleet);
  options.fleet.seed = seed;
  options.fleet.network = network;
  options.fleet.entries = 2;
  options.fleet.targets = 2;
  options.fleet.requests_per_second = 60;
  options.fleet.programs = SKYLARKSHUNT_BINARY_DIR;
  options.fleet.work =
      std::string(SKYLARKSHUNT_BINARY_DIR) + "/../soak/" + std::to_string(seed);
  options.duration = absl::Seconds(6);
  std::filesystem::remove_all(options.fleet.work);
  std::filesystem::create_directories(options.fleet.work);
  return options;
}

class SoakTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakTest);
  CPPUNIT_TEST(PlannedWorkCutsNothing);
  CPPUNIT_TEST(PromisesHoldUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against flows that are lost when nodes are stopped and started in
  // turn, and against nodes that do not end in time.
  void PlannedWorkCutsNothing() {
    SoakOptions options = MakeOptions(1, 61);
    options.planned_only = true;
    Check(options);
  }

  // Guards against wrong or doubled requests, unjustified resets and a service
  // that does not come back after kills, pauses, crashes and store outages.
  void PromisesHoldUnderFaults() { Check(MakeOptions(2, 62)); }

 private:
  static void Check(const SoakOptions& options) {
    const Result<SoakReport> report = RunSoak(options);
    CPPUNIT_ASSERT_MESSAGE(report.has_value() ? "" : report.error().ToString(),
                           report.has_value());
    CPPUNIT_ASSERT_MESSAGE(WriteReport(report.value()),
                           report.value().broken.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

}  // namespace
}  // namespace skylarkshunt
