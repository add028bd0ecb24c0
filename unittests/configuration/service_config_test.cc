#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {
namespace {

ServiceConfig MakeConfig() {
  ServiceConfig config;
  config.uid = ServiceUid{0xfedcba9876543210};
  config.name = "dispatch";
  config.apply_id = "apply-1";
  config.kinds = {{"pull_job", 5, true, absl::Milliseconds(40)},
                  {"post_report", 20, false, absl::Milliseconds(60)}};
  config.slots = 4;
  config.data_centres = {"zh-a", "zh-b"};
  config.warm_up_step = absl::Milliseconds(250);
  return config;
}

class ServiceConfigTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceConfigTest);
  CPPUNIT_TEST(RoundTripKeepsEveryField);
  CPPUNIT_TEST(TruncatedAndOversizedBodiesAreRejected);
  CPPUNIT_TEST(InvalidFieldsAreRejectedWithTheirKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTripKeepsEveryField() {
    const std::string body = WriteServiceConfig(MakeConfig());
    Result<ServiceConfig> parsed = ParseServiceConfig(body);
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(body, WriteServiceConfig(parsed.value()));
    const ServiceConfig& config = parsed.value();
    CPPUNIT_ASSERT_EQUAL(uint64_t{0xfedcba9876543210}, ToNumber(config.uid));
    CPPUNIT_ASSERT(!config.FindKind("post_report")->idempotent);
    CPPUNIT_ASSERT(config.FindKind("absent") == nullptr);
    CPPUNIT_ASSERT(config.warm_up_step == absl::Milliseconds(250));
  }

  // Guards against applying an incomplete object.
  void TruncatedAndOversizedBodiesAreRejected() {
    const std::string body = WriteServiceConfig(MakeConfig());
    for (size_t size = 0; size < body.size(); ++size) {
      Result<ServiceConfig> parsed = ParseServiceConfig(body.substr(0, size));
      CPPUNIT_ASSERT(!parsed.has_value());
      CPPUNIT_ASSERT(parsed.error().kind == ErrorKind::kMalformedMessage);
    }
    CPPUNIT_ASSERT(
        !ParseServiceConfig(body + std::string(70'000, ' ')).has_value());
  }

  void InvalidFieldsAreRejectedWithTheirKey() {
    ExpectRejected("\"slots\":4", "\"slots\":0", "slots");
    ExpectRejected("\"slots\":4", "\"slots\":\"4\"", "slots");
    ExpectRejected("\"slots\":4", "\"slots\":4,\"slot\":4", "slot");
    ExpectRejected("\"slots\":4", "\"slots\":4,\"slots\":5", "slots");
    ExpectRejected("fedcba9876543210", "0000000000000000", "uid");
    ExpectRejected("\"dispatch\"", "\"../dispatch\"", "name");
    ExpectRejected("\"post_report\"", "\"pull_job\"", "kinds");
    ExpectRejected("\"weight\":5,", "", "kinds[0].weight");
    ExpectRejected("\"zh-b\"", "\"zh-a\"", "data_centres");
    // With a deadline above 300 s the ledger entry could expire first.
    ExpectRejected("\"deadline_ms\":10000", "\"deadline_ms\":300001",
                   "deadline_ms");
  }

 private:
  static void ExpectRejected(absl::string_view from,
                             absl::string_view to,
                             absl::string_view key) {
    const std::string body = WriteServiceConfig(MakeConfig());
    const std::string changed = absl::StrReplaceAll(body, {{from, to}});
    CPPUNIT_ASSERT(changed != body);
    Result<ServiceConfig> parsed = ParseServiceConfig(changed);
    CPPUNIT_ASSERT_MESSAGE(changed, !parsed.has_value());
    CPPUNIT_ASSERT_MESSAGE(parsed.error().message,
                           parsed.error().message.find(absl::StrCat(
                               "'", key, "'")) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceConfigTest);

}  // namespace
}  // namespace skylarkshunt
