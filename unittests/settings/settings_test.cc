#include "skylarkshunt/settings/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace skylarkshunt {
namespace {

constexpr char kEntry[] = R"({
  // An entry.
  "role": "entry", "region": "ch-nord", "data_centre": "zh-a",
  "data": "127.0.0.1:7000", "control": "127.0.0.1:7001",
  "admin": "127.0.0.1:7002", "platform": "127.0.0.1:9000",
  "seeds": ["127.0.0.2:7001"], "log_level": "warning",
  "platform_timeout_ms": 500, "established_log_rate": 0,
  "baseline": {"placement": "random", "no_retry_budget": true}
})";

constexpr char kAgent[] = R"({
  "role": "agent", "region": "ch-nord", "data_centre": "zh-a",
  "data": "127.0.0.1:7000", "admin": "127.0.0.1:7002",
  "platform": "127.0.0.1:9000", "service": "dispatch",
  "target": "127.0.0.1:8080"
})";

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsEveryKey);
  CPPUNIT_TEST(TruncatedAndOversizedFilesAreRejected);
  CPPUNIT_TEST(BadFieldsAreRejectedByName);
  CPPUNIT_TEST(UnreadableFileIsNotFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEveryKey() {
    const Settings entry = ParseSettings(kEntry, "entry.json").value();
    CPPUNIT_ASSERT(entry.role == Role::kEntry);
    CPPUNIT_ASSERT_EQUAL(std::string("zh-a"), entry.data_centre);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7001"),
                         entry.control.ToString());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::string("warning"), entry.log_level);
    CPPUNIT_ASSERT(entry.platform_timeout == absl::Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, entry.established_log_rate);
    CPPUNIT_ASSERT(entry.placement_policy == PlacementPolicy::kRandom);
    CPPUNIT_ASSERT(entry.agent_policy.no_retry_budget);
    const Settings agent = ParseSettings(kAgent, "agent.json").value();
    CPPUNIT_ASSERT(agent.role == Role::kAgent);
    CPPUNIT_ASSERT_EQUAL(std::string("dispatch"), agent.service);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1000}, agent.established_log_rate);
  }

  // Guards against starting a process with half of its settings.
  void TruncatedAndOversizedFilesAreRejected() {
    const std::string text(kAgent);
    for (size_t size = 0; size < text.size(); ++size) {
      Result<Settings> settings = ParseSettings(text.substr(0, size), "f");
      CPPUNIT_ASSERT(!settings.has_value());
      CPPUNIT_ASSERT(settings.error().kind == ErrorKind::kInvalidSettings);
    }
    CPPUNIT_ASSERT(
        !ParseSettings(text + std::string(70'000, ' '), "f").has_value());
  }

  void BadFieldsAreRejectedByName() {
    ExpectRejected("\"entry\"", "\"router\"", "role");
    ExpectRejected("\"zh-a\"", "7", "data_centre");
    ExpectRejected("127.0.0.1:7000", "localhost:7000", "data");
    ExpectRejected("127.0.0.1:7002", "127.0.0.1:70002", "admin");
    ExpectRejected("127.0.0.2:7001", "::1", "seeds");
    ExpectRejected("127.0.0.1:9000", "127.0.0.1:0", "platform");
    // The region becomes part of an object key.
    ExpectRejected("\"ch-nord\"", "\"ch/nord\"", "region");
    ExpectRejected("500", "0", "platform_timeout_ms");
    ExpectRejected("\"log_level\"", "\"loglevel\"", "loglevel");
    ExpectRejected("\"region\"", "\"region\": \"a\", \"region\"", "region");
    ExpectRejected("\"random\"", "\"any\"", "baseline.placement");
    ExpectRejected("\"no_retry_budget\"", "\"no_retries\"",
                   "baseline.no_retries");
    ExpectRejected("\"control\": \"127.0.0.1:7001\",", "", "control");
    // An agent's key in an entry's settings shows a mixed-up file.
    ExpectRejected("\"region\"", "\"service\": \"dispatch\", \"region\"",
                   "service");
  }

  void UnreadableFileIsNotFound() {
    Result<Settings> settings = LoadSettings("/nonexistent/settings.json");
    CPPUNIT_ASSERT(settings.error().kind == ErrorKind::kNotFound);
  }

 private:
  static void ExpectRejected(absl::string_view from,
                             absl::string_view to,
                             absl::string_view key) {
    const std::string changed = absl::StrReplaceAll(kEntry, {{from, to}});
    CPPUNIT_ASSERT(changed != kEntry);
    Result<Settings> settings = ParseSettings(changed, "entry.json");
    CPPUNIT_ASSERT_MESSAGE(changed, !settings.has_value());
    const std::string message = settings.error().message;
    CPPUNIT_ASSERT_MESSAGE(message, message.find(absl::StrCat("'", key, "'")) !=
                                        std::string::npos);
    CPPUNIT_ASSERT(message.find("entry.json") == 0);
    CPPUNIT_ASSERT(!settings.error().remedy.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace skylarkshunt
