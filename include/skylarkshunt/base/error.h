#ifndef SKYLARKSHUNT_BASE_ERROR_H_
#define SKYLARKSHUNT_BASE_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>

#include "absl/strings/string_view.h"

namespace skylarkshunt {

/// What went wrong, for code that must tell kinds apart.
enum class ErrorKind {
  kInvalidArgument,   ///< The operator or caller must change the input.
  kMalformedMessage,  ///< Bytes that do not decode to a message.
  kOversizedMessage,  ///< More bytes than a message may have.
  kInvalidSettings,   ///< A settings file failed its check.
  kInvalidAnswers,    ///< A questionnaire failed its check.
  kNotFound,          ///< The named object does not exist.
  kConflict,          ///< Another writer changed the object first.
  kUnavailable,       ///< The other side is down, slow or refused.
  kRefused,           ///< Nobody listens at the address.
  kOutcomeUnknown,    ///< The write may or may not have taken effect.
  kRateLimited,       ///< The other side counts too many calls.
  kAddressInUse,      ///< A socket address is taken.
  kSystem,            ///< A system call failed.
};

/// Returns the stable text name of `kind`, such as "not_found". Thread-safe.
absl::string_view ErrorKindName(ErrorKind kind);

/// A typed error. The message says what was found, the remedy what to do next.
struct Error {
  ErrorKind kind = ErrorKind::kSystem;
  std::string message;
  std::string remedy;

  /// Returns "kind: message; remedy". Thread-safe on a const object.
  std::string ToString() const;
};

/// A value or an Error. Access to the wrong side ends the process.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Returns an Error of `kind` for use in `return MakeError(...)`. Thread-safe.
Error MakeError(ErrorKind kind,
                absl::string_view message,
                absl::string_view remedy);

/// Success without a value, for `return Success();` in Result<void>.
inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_ERROR_H_
