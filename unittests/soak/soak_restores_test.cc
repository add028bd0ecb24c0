#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

#include "standins/packet_fleet/soak.h"

namespace skylarkshunt {
namespace {

SoakOptions MakeOptions(uint32_t seed, uint8_t network) {
  SoakOptions options;
  options.profile = SoakProfile::Find("restores").value();
  options.profile.SetLoad(options.fleet);
  options.fleet.seed = seed;
  options.fleet.network = network;
  options.fleet.entries = 6;
  options.fleet.requests_per_second = 60;
  options.fleet.programs = SKYLARKSHUNT_BINARY_DIR;
  options.fleet.work = std::string(SKYLARKSHUNT_BINARY_DIR) +
                       "/../soak_restores/" + std::to_string(seed);
  options.duration = absl::Seconds(30);
  std::filesystem::remove_all(options.fleet.work);
  std::filesystem::create_directories(options.fleet.work);
  return options;
}

class SoakRestoresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakRestoresTest);
  CPPUNIT_TEST(ChangesAreUsedInTimeBesideRestoresOfTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against entries that ignore a confirmed change or go back to an
  // older one, since the store came back from an older copy.
  void ChangesAreUsedInTimeBesideRestoresOfTheStore() {
    const Result<SoakReport> report = RunSoak(MakeOptions(3, 68));
    CPPUNIT_ASSERT_MESSAGE(report.has_value() ? "" : report.error().ToString(),
                           report.has_value());
    CPPUNIT_ASSERT_MESSAGE(WriteReport(report.value()),
                           report.value().broken.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakRestoresTest);

}  // namespace
}  // namespace skylarkshunt
