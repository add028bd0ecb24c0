#include "skylarkshunt/configuration/questionnaire.h"

#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "skylarkshunt/configuration/generate.h"

namespace skylarkshunt {
namespace {

constexpr char kAnswers[] = R"({
  "service": "dispatch", /* entry point */
  "kinds": [
    {"name": "pull_job", "weight": 5, "idempotent": true, "usual_duration_ms": 40},
    {"name": "post_report", "weight": 20, "idempotent": false, "usual_duration_ms": 60}
  ],
  "slots": 4, "connections": 2000, "data_centres": ["zh-a", "zh-b"],
  "deadline_ms": 10000 // optional keys left out
})";

class QuestionnaireTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuestionnaireTest);
  CPPUNIT_TEST(TruncatedAndOversizedFilesAreRejected);
  CPPUNIT_TEST(InvalidAnswersAreRejectedWithTheirKey);
  CPPUNIT_TEST(UidIsKeptAndApplyIdIsFresh);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TruncatedAndOversizedFilesAreRejected() {
    const std::string text(kAnswers);
    CPPUNIT_ASSERT(ParseQuestionnaire(text, "f").has_value());
    for (size_t size = 0; size < text.size(); ++size) {
      Result<Questionnaire> answers =
          ParseQuestionnaire(text.substr(0, size), "f");
      CPPUNIT_ASSERT(!answers.has_value());
      CPPUNIT_ASSERT(answers.error().kind == ErrorKind::kInvalidAnswers);
    }
    CPPUNIT_ASSERT(
        !ParseQuestionnaire(text + std::string(70'000, ' '), "f").has_value());
  }

  void InvalidAnswersAreRejectedWithTheirKey() {
    ExpectRejected("\"dispatch\"", "\"Dispatch\"", "service");
    ExpectRejected("\"slots\": 4", "\"slots\": 4.5", "slots");
    ExpectRejected("\"slots\": 4", "\"slots\": 99999", "slots");
    ExpectRejected("2000", "2000, \"conections\": 1", "conections");
    ExpectRejected("2000", "2000, \"connections\": 1", "connections");
    ExpectRejected("[\"zh-a\", \"zh-b\"]", "[]", "data_centres");
    // Idempotency has no default: a wrong one could run a report twice.
    ExpectRejected("\"idempotent\": false, ", "", "kinds[1].idempotent");
    ExpectRejected("10000", "50", "deadline_ms");
  }

  // Guards against a new uid on every apply, which would break all flows.
  void UidIsKeptAndApplyIdIsFresh() {
    const Questionnaire answers = ParseQuestionnaire(kAnswers, "f").value();
    const ServiceConfig first = GenerateServiceConfig(
        answers, absl::nullopt, {ServiceUid{7}, RequestId{1, 1}});
    const ServiceConfig second =
        GenerateServiceConfig(answers, first, {ServiceUid{8}, RequestId{1, 2}});
    CPPUNIT_ASSERT(first.uid == ServiceUid{7});
    CPPUNIT_ASSERT(second.uid == first.uid);
    CPPUNIT_ASSERT(second.apply_id != first.apply_id);
    CPPUNIT_ASSERT(ParseServiceConfig(WriteServiceConfig(second)).has_value());
  }

 private:
  static void ExpectRejected(absl::string_view from,
                             absl::string_view to,
                             absl::string_view key) {
    const std::string changed = absl::StrReplaceAll(kAnswers, {{from, to}});
    CPPUNIT_ASSERT(changed != kAnswers);
    Result<Questionnaire> answers = ParseQuestionnaire(changed, "f");
    CPPUNIT_ASSERT_MESSAGE(changed, !answers.has_value());
    const std::string message = answers.error().message;
    CPPUNIT_ASSERT_MESSAGE(message, message.find(absl::StrCat("'", key, "'")) !=
                                        std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuestionnaireTest);

}  // namespace
}  // namespace skylarkshunt
