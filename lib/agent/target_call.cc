#include "target_call.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;

std::string Host(Endpoint endpoint) {
  const std::string text = endpoint.ToString();
  return text.substr(0, text.find(':'));
}

/// Rounds up, so that a time-out never comes before the deadline it stands for.
std::chrono::milliseconds ToMs(absl::Duration duration) {
  const absl::Duration step = absl::Milliseconds(1);
  return absl::ToChronoMilliseconds(std::max(absl::Ceil(duration, step), step));
}

/// Each call has a connection of its own: on a kept one, a target that closes
/// while idle could not be told from a target that read the request.
void Prepare(httplib::Client& client, absl::Duration limit) {
  client.set_keep_alive(false);
  client.set_follow_location(false);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(ToMs(std::min(limit, kTargetConnectTimeout)));
  client.set_read_timeout(ToMs(limit));
  client.set_write_timeout(ToMs(limit));
}

RunResult Ended(RunResult::Kind kind) {
  RunResult result;
  result.kind = kind;
  return result;
}

/// httplib reports these errors only before the first byte of the request is
/// written; all others may come after it.
bool IsUnsent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

httplib::Request ToHttp(const StartRun& run, absl::Duration left) {
  httplib::Request request;
  request.method = "POST";
  request.path = "/request";
  request.body = run.body;
  request.set_header("Content-Type", "application/octet-stream");
  request.set_header("X-Request-Id", ToHex(run.request_id));
  request.set_header("X-Deadline-Ms",
                     absl::StrCat(absl::ToInt64Milliseconds(left)));
  request.set_header("X-Kind", run.kind);
  return request;
}

RunResult Answered(const httplib::Response& response, std::string body) {
  RunResult result;
  result.status = static_cast<uint16_t>(response.status);
  result.body = std::move(body);
  result.shed_unrun = response.status == kServiceUnavailable &&
                      response.get_header_value("X-Not-Run") == "1";
  return result;
}

}  // namespace

RunResult CallTarget(Endpoint target,
                     const StartRun& run,
                     const std::function<void(int socket)>& on_socket) {
  const absl::Duration left = run.deadline - MonotonicNow();
  if (left <= absl::ZeroDuration())
    return Ended(RunResult::Kind::kNotSent);
  httplib::Client client(Host(target), target.port);
  Prepare(client, left);
  client.set_socket_options(
      [&on_socket](socket_t socket) { on_socket(socket); });
  std::string body;
  bool too_long = false;
  httplib::Request request = ToHttp(run, left);
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    too_long = body.size() + size > kMaxTargetAnswerBytes;
    if (!too_long)
      body.append(data, size);
    return !too_long && MonotonicNow() < run.deadline;
  };
  const httplib::Result answer = client.send(request);
  if (answer)
    return Answered(answer.value(), std::move(body));
  if (IsUnsent(answer.error()))
    return Ended(RunResult::Kind::kNotSent);
  if (too_long) {
    RunResult result;
    result.status = kBadGateway;
    return result;
  }
  return Ended(MonotonicNow() >= run.deadline
                   ? RunResult::Kind::kTimedOut
                   : RunResult::Kind::kConnectionLost);
}

bool TargetSaysHealthy(Endpoint target) {
  httplib::Client client(Host(target), target.port);
  Prepare(client, kHealthTimeout);
  const httplib::Result answer = client.Get("/health");
  return answer && answer->status == 200;
}

}  // namespace skylarkshunt
