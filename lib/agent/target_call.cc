#include "target_call.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/http/http_client.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;

RunResult Ended(RunResult::Kind kind) {
  RunResult result;
  result.kind = kind;
  return result;
}

HttpCall MakeCall(Endpoint target, absl::Duration limit) {
  HttpCall call;
  call.server = target;
  // Rounded up: a timeout must not occur before the deadline.
  const absl::Duration step = absl::Milliseconds(1);
  call.timeout = std::max(absl::Ceil(limit, step), step);
  call.connect_timeout = kTargetConnectTimeout;
  call.max_answer_bytes = kMaxTargetAnswerBytes;
  return call;
}

RunResult Answered(HttpAnswer answer) {
  RunResult result;
  result.status = static_cast<uint16_t>(answer.status);
  result.body = std::move(answer.body);
  result.shed_unrun =
      answer.status == kServiceUnavailable && answer.response_header == "1";
  return result;
}

}  // namespace

RunResult CallTarget(Endpoint target,
                     const StartRun& run,
                     const std::function<void(int socket)>& on_socket) {
  const absl::Duration left = run.deadline - MonotonicNow();
  if (left <= absl::ZeroDuration())
    return Ended(RunResult::Kind::kNotSent);
  HttpCall call = MakeCall(target, left);
  call.method = "POST";
  call.target = "/request";
  call.body = run.body;
  call.content_type = "application/octet-stream";
  call.headers = {
      {"X-Request-Id", ToHex(run.request_id)},
      {"X-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(left))},
      {"X-Kind", run.kind}};
  call.response_header = "X-Not-Run";
  call.on_socket = on_socket;
  Result<HttpAnswer> answer = Call(call);
  if (answer.has_value())
    return Answered(std::move(answer).value());
  switch (answer.error().kind) {
    case ErrorKind::kOutcomeUnknown:
      return Ended(MonotonicNow() >= run.deadline
                       ? RunResult::Kind::kTimedOut
                       : RunResult::Kind::kConnectionLost);
    case ErrorKind::kOversizedMessage: {
      RunResult result;
      result.status = kBadGateway;
      return result;
    }
    default:
      return Ended(RunResult::Kind::kNotSent);
  }
}

bool IsTargetHealthy(Endpoint target) {
  HttpCall call = MakeCall(target, kHealthTimeout);
  call.target = "/health";
  const Result<HttpAnswer> answer = Call(call);
  return answer.has_value() && answer.value().status == kOk;
}

}  // namespace skylarkshunt
