#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

#include "standins/packet_fleet/soak.h"

namespace skylarkshunt {
namespace {

SoakOptions MakeOptions(const char* profile, uint32_t seed, uint8_t network) {
  SoakOptions options;
  options.profile = SoakProfile::Find(profile).value();
  options.profile.SetLoad(options.fleet);
  options.fleet.seed = seed;
  options.fleet.network = network;
  options.fleet.entries = 6;
  options.fleet.requests_per_second = 60;
  options.fleet.programs = SKYLARKSHUNT_BINARY_DIR;
  options.fleet.work = std::string(SKYLARKSHUNT_BINARY_DIR) + "/../soak_" +
                       profile + "/" + std::to_string(seed);
  options.duration = absl::Seconds(14);
  std::filesystem::remove_all(options.fleet.work);
  std::filesystem::create_directories(options.fleet.work);
  return options;
}

class SoakChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakChangesTest);
  CPPUNIT_TEST(ChangesAreUsedInTimeBesideFaultsOfTheStore);
  CPPUNIT_TEST(ChangesAreUsedInTimeBesideRestoresOfTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against entries that skip a confirmed change which was made while
  // the store's watches reported nothing, until the next change (issue 35).
  void ChangesAreUsedInTimeBesideFaultsOfTheStore() {
    Check(MakeOptions("changes", 21, 65));
  }

  // Guards against entries that ignore a confirmed change or go back to an
  // older one, since the store came back from an older copy.
  void ChangesAreUsedInTimeBesideRestoresOfTheStore() {
    SoakOptions options = MakeOptions("restores", 3, 68);
    options.duration = absl::Seconds(30);
    Check(options);
  }

 private:
  static void Check(const SoakOptions& options) {
    const Result<SoakReport> report = RunSoak(options);
    CPPUNIT_ASSERT_MESSAGE(report.has_value() ? "" : report.error().ToString(),
                           report.has_value());
    CPPUNIT_ASSERT_MESSAGE(WriteReport(report.value()),
                           report.value().broken.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakChangesTest);

}  // namespace
}  // namespace skylarkshunt
