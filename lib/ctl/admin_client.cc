#include "admin_client.h"

#include "absl/strings/str_cat.h"
#include "skylarkshunt/http/http_client.h"

namespace skylarkshunt {
namespace {

constexpr int kOk = 200;
/// An end point that answers at all does so within milliseconds.
constexpr absl::Duration kTimeout = absl::Seconds(2);
constexpr size_t kMaxAnswerBytes = 33'554'432;

}  // namespace

Result<std::string> GetAdmin(Endpoint admin, absl::string_view path) {
  HttpCall call;
  call.server = admin;
  call.target = std::string(path);
  call.timeout = kTimeout;
  call.max_answer_bytes = kMaxAnswerBytes;
  Result<HttpAnswer> answer = Call(call);
  if (answer.has_value() && answer.value().status == kOk)
    return std::move(answer).value().body;
  const std::string found =
      answer.has_value() ? absl::StrCat("answered ", answer.value().status)
                         : answer.error().message;
  return MakeError(
      ErrorKind::kUnavailable,
      absl::StrCat("admin end point ", admin.ToString(), path, ": ", found),
      "check the address, or ask another instance");
}

}  // namespace skylarkshunt
