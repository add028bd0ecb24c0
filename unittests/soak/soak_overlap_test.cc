#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

#include "standins/packet_fleet/soak.h"

namespace skylarkshunt {
namespace {

SoakOptions MakeOptions(uint32_t seed, uint8_t network) {
  SoakOptions options;
  options.profile = SoakProfile::Find("overlap").value();
  options.profile.SetLoad(options.fleet);
  options.fleet.seed = seed;
  options.fleet.network = network;
  options.fleet.requests_per_second = 60;
  options.fleet.programs = SKYLARKSHUNT_BINARY_DIR;
  options.fleet.work = std::string(SKYLARKSHUNT_BINARY_DIR) +
                       "/../soak_overlap/" + std::to_string(seed);
  options.duration = absl::Seconds(12);
  std::filesystem::remove_all(options.fleet.work);
  std::filesystem::create_directories(options.fleet.work);
  return options;
}

class SoakOverlapTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakOverlapTest);
  CPPUNIT_TEST(OpenFlowsSurviveOverlappingWork);
  CPPUNIT_TEST(OpenFlowsSurviveOverlappingFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against open flows that are reset, or whose packets reach other
  // targets, while rolls, reloads, drains, replaced targets and changes of
  // routes overlap in bursts.
  void OpenFlowsSurviveOverlappingWork() {
    SoakOptions options = MakeOptions(4, 63);
    options.planned_only = true;
    Check(options);
  }

  // Guards against open flows that are lost at sound targets beside kills of
  // many nodes, pauses in bursts and targets that crash for a moment.
  void OpenFlowsSurviveOverlappingFaults() { Check(MakeOptions(3, 64)); }

 private:
  static void Check(const SoakOptions& options) {
    const Result<SoakReport> report = RunSoak(options);
    CPPUNIT_ASSERT_MESSAGE(report.has_value() ? "" : report.error().ToString(),
                           report.has_value());
    CPPUNIT_ASSERT_MESSAGE(WriteReport(report.value()),
                           report.value().broken.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakOverlapTest);

}  // namespace
}  // namespace skylarkshunt
