#ifndef SKYLARKSHUNT_CONFIGURATION_QUESTIONNAIRE_H_
#define SKYLARKSHUNT_CONFIGURATION_QUESTIONNAIRE_H_

#include <string>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

/// The validated answers of a team about its service.
struct Questionnaire {
  /// Everything but `uid` and `apply_id`, which GenerateServiceConfig() adds.
  ServiceConfig service;
};

/// Reads a questionnaire in JSON with comments. `file` is used only to name
/// the source in messages. Errors: kInvalidAnswers, naming file, key, what was
/// found and the remedy. Thread-safe.
Result<Questionnaire> ParseQuestionnaire(absl::string_view text,
                                         absl::string_view file);

/// Reads the file at `path` and parses it. Errors: as ParseQuestionnaire(), and
/// kNotFound when the file cannot be read. Thread-safe.
Result<Questionnaire> LoadQuestionnaire(const std::string& path);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_QUESTIONNAIRE_H_
