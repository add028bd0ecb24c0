#include "skylarkshunt/configuration/questionnaire.h"

#include <fstream>

#include "absl/strings/str_cat.h"
#include "service_fields.h"

namespace skylarkshunt {
namespace {

constexpr ErrorKind kKind = ErrorKind::kInvalidAnswers;

/// Rejects kinds that usually run longer than the deadline: their requests
/// would always be refused.
void CheckDurations(JsonObjectReader& reader, const ServiceConfig& service) {
  for (const KindConfig& kind : service.kinds) {
    if (kind.usual_duration <= service.deadline)
      continue;
    reader.Fail(
        "deadline_ms",
        absl::StrCat("is shorter than the usual duration of '", kind.name, "'"),
        "raise the deadline or correct the duration");
  }
}

}  // namespace

Result<Questionnaire> ParseQuestionnaire(absl::string_view text,
                                         absl::string_view file) {
  if (text.size() > kMaxServiceBytes) {
    return MakeError(kKind, absl::StrCat(file, ": ", text.size(), " bytes"),
                     absl::StrCat("keep the questionnaire at or below ",
                                  kMaxServiceBytes, " bytes"));
  }
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, file, kKind));
  JsonObjectReader reader(value, file, "", kKind);
  Questionnaire questionnaire;
  ServiceConfig& service = questionnaire.service;
  service.name = reader.Name("service");
  BOOST_OUTCOME_TRYV(ReadServiceFields(reader, file, kKind, service));
  CheckDurations(reader, service);
  BOOST_OUTCOME_TRYV(reader.Finish());
  return questionnaire;
}

Result<Questionnaire> LoadQuestionnaire(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  // One byte more than the limit detects a file that is too long without
  // reading all of it.
  std::string text(kMaxServiceBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || !file.is_open()) {
    return MakeError(ErrorKind::kNotFound,
                     absl::StrCat("cannot read questionnaire '", path, "'"),
                     "check the path and the permissions of the file");
  }
  text.resize(static_cast<size_t>(file.gcount()));
  return ParseQuestionnaire(text, path);
}

}  // namespace skylarkshunt
