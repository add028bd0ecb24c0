#ifndef SKYLARKSHUNT_HTTP_HTTP_CLIENT_H_
#define SKYLARKSHUNT_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <string>

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
  /// Sent as application/json where it is not empty.
  std::string body;
  /// Bounds the whole call, from connecting to the last byte of the answer.
  absl::Duration timeout = absl::Seconds(2);
  size_t max_answer_bytes = 1024 * 1024;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
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
