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
  /// Type of the body; sent where there is one.
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  /// Bounds the call from connecting to the last byte of the answer, or to its
  /// first byte where `progress_timeout` is set.
  absl::Duration timeout = absl::Seconds(2);
  /// Longest silence within an answer that has begun, so that a long answer on
  /// a slow link is not given up while it comes; zero for none.
  absl::Duration progress_timeout = absl::ZeroDuration();
  /// Bounds an answer that has begun and that `progress_timeout` lets go on.
  absl::Duration transfer_limit = absl::Seconds(20);
  /// Bounds connecting, within `timeout`.
  absl::Duration connect_timeout = absl::InfiniteDuration();
  size_t max_answer_bytes = 1'048'576;
  /// Gets the socket before it connects, and may keep a duplicate of it to end
  /// the call early; may be empty.
  std::function<void(int socket)> on_socket;
  /// Name of a header whose value the answer holds; empty for none.
  std::string response_header;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
  /// Value of the wanted header, or empty.
  std::string response_header;
};

/// Makes one call on a connection of its own and waits for its end: on a kept
/// connection that the server closes, a write could not be told apart from one
/// that was carried out. A peer that falls silent is noticed by keep-alive
/// probes well before a long `timeout`. Errors: kRefused and kUnavailable when
/// nothing was sent, kOutcomeUnknown when the answer is missing or no HTTP,
/// kSystem without a free descriptor. Thread-safe.
Result<HttpAnswer> Call(const HttpCall& call);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_HTTP_HTTP_CLIENT_H_
