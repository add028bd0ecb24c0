#include <fstream>

#include "absl/strings/str_cat.h"
#include "context.h"
#include "output.h"
#include "skylarkshunt/configuration/questionnaire.h"
#include "skylarkshunt/serial/json_object.h"
#include "skylarkshunt/settings/settings.h"

namespace skylarkshunt {
namespace {

// Both kinds of file are limited to this size.
constexpr size_t kMaxFileBytes = 65'536;

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || !file.is_open()) {
    return MakeError(ErrorKind::kNotFound,
                     absl::StrCat("cannot read '", path, "'"),
                     "check the path and the permissions of the file");
  }
  text.resize(static_cast<size_t>(file.gcount()));
  return text;
}

}  // namespace

Result<ExitCode> ConfigCheck(const Context& context) {
  const std::string& path = context.arguments.operands[0];
  BOOST_OUTCOME_TRY(text, ReadFile(path));
  BOOST_OUTCOME_TRY(value,
                    ParseJsonObject(text, path, ErrorKind::kInvalidAnswers));
  std::string kind;
  if (value.contains("role")) {
    BOOST_OUTCOME_TRYV(ParseSettings(text, path));
    kind = "settings";
  } else if (value.contains("kinds")) {
    BOOST_OUTCOME_TRYV(ParseQuestionnaire(text, path));
    kind = "questionnaire";
  } else {
    return MakeError(
        ErrorKind::kInvalidAnswers,
        absl::StrCat(path, ": neither settings nor a questionnaire"),
        "settings have the key 'role', a questionnaire has 'kinds'");
  }
  PrintFields(context.environment.out, context.arguments.output,
              {{"file", path}, {"kind", kind}, {"result", "valid"}});
  return ExitCode::kOk;
}

}  // namespace skylarkshunt
