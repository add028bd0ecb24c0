#ifndef SKYLARKSHUNT_HTTP_HTTP_CLIENT_H_
#define SKYLARKSHUNT_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// One HTTP call.
struct HttpCall {
  Endpoint server;
  std::string method = "GET";
  /// Path and query.
  std::string target;
  std::string body;
  /// Content type of the body; sent only with a body.
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  /// Limits the time from connecting to the last byte of the answer, or to its
  /// first byte if `progress_timeout` is set.
  absl::Duration timeout = absl::Seconds(2);
  /// Longest time without progress within an answer that has begun. A long
  /// answer on a slow link may thus exceed `timeout`. Zero disables it.
  absl::Duration progress_timeout = absl::ZeroDuration();
  /// Least number of bytes that count as progress. An answer that comes in
  /// smaller pieces than this in each `progress_timeout` is given up at
  /// `timeout`.
  size_t progress_bytes = 1;
  /// Limits the time by which `progress_timeout` may extend `timeout`.
  absl::Duration transfer_limit = absl::Seconds(20);
  /// Limits the time for connecting, within `timeout`.
  absl::Duration connect_timeout = absl::InfiniteDuration();
  size_t max_answer_bytes = 1'048'576;
  /// Called with the socket before it connects. It may keep a duplicate of the
  /// socket to end the call early. May be empty.
  std::function<void(int socket)> on_socket;
  /// Name of the response header whose value the answer returns; empty for
  /// none.
  std::string response_header;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
  /// Value of the requested response header, or empty.
  std::string response_header;
};

/// Makes one call on a new connection and blocks until it ends. Connections are
/// not reused: if the server closes a reused connection, the client cannot tell
/// whether the server carried out a write. Keep-alive probes detect an
/// unresponsive peer well before a long `timeout`. Errors: kRefused and
/// kUnavailable if nothing was sent, kOversizedMessage if the answer exceeds
/// `max_answer_bytes`, kOutcomeUnknown if the answer is missing or not HTTP,
/// kSystem if no file descriptor is free. Thread-safe.
Result<HttpAnswer> Call(const HttpCall& call);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_HTTP_HTTP_CLIENT_H_
