#ifndef SKYLARKSHUNT_HTTP_HTTP_SERVER_H_
#define SKYLARKSHUNT_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// A request. The views are valid during the call of the handler.
struct HttpRequest {
  absl::string_view method;
  /// Path and query as sent by the client.
  absl::string_view target;
  absl::string_view body;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// HTTP/1.1 server on one thread. Each request has a time limit. The number of
/// connections is limited, and new connections beyond the limit are closed at
/// once. All methods are thread-safe.
class HttpServer {
 public:
  /// Runs on the server's thread and must not block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  struct Listener {
    Endpoint listen;
    Handler handler;
  };

  struct Options {
    std::vector<Listener> listeners;
    /// Longest body of a request, in bytes; longer ones end the connection.
    size_t max_body_bytes = 16'384;
    /// Time for one request and its response, and for an idle connection.
    absl::Duration timeout = absl::Seconds(5);
    size_t max_connections = 64;
  };

  /// Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<HttpServer>> Start(Options options);
  virtual ~HttpServer() = default;

  /// Returns the bound address of each listener, with the port that the kernel
  /// chose.
  virtual std::vector<Endpoint> local() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_HTTP_HTTP_SERVER_H_
