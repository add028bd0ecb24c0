#include "skylarkshunt/base/error.h"

#include "absl/strings/str_cat.h"

namespace skylarkshunt {

absl::string_view ErrorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kMalformedMessage:
      return "malformed_message";
    case ErrorKind::kOversizedMessage:
      return "oversized_message";
    case ErrorKind::kInvalidSettings:
      return "invalid_settings";
    case ErrorKind::kInvalidAnswers:
      return "invalid_answers";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kRefused:
      return "refused";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kRateLimited:
      return "rate_limited";
    case ErrorKind::kAddressInUse:
      return "address_in_use";
    case ErrorKind::kSystem:
      return "system";
  }
  return "system";
}

std::string Error::ToString() const {
  return absl::StrCat(ErrorKindName(kind), ": ", message, "; ", remedy);
}

Error MakeError(ErrorKind kind,
                absl::string_view message,
                absl::string_view remedy) {
  return Error{kind, std::string(message), std::string(remedy)};
}

}  // namespace skylarkshunt
