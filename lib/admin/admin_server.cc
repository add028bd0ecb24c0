#include "skylarkshunt/admin/admin_server.h"

#include <utility>

#include "skylarkshunt/http/http_server.h"

namespace skylarkshunt {
namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Time for a client to send its request and take its answer.
constexpr absl::Duration kAdminTimeout = absl::Seconds(2);
/// No request of the end point has a body; bytes.
constexpr size_t kMaxAdminBodyBytes = 1024;

HttpResponse Answer(int status, std::string type, std::string body) {
  return {status, std::move(type), std::move(body)};
}

HttpResponse AnswerAdmin(const HttpRequest& request,
                         const CounterRegistry& counters,
                         const StatusBoard& board) {
  if (request.method == "GET" && request.target == "/healthz") {
    const bool healthy = board.healthy();
    return Answer(healthy ? 200 : kUnavailable, "text/plain",
                  healthy ? "ok\n" : "draining\n");
  }
  if (request.method == "GET" && request.target == "/metrics")
    return Answer(200, "text/plain; version=0.0.4", counters.ToText());
  if (request.method == "GET" && request.target == "/status") {
    const std::shared_ptr<const ProcessStatus> status = board.Read();
    if (status == nullptr)
      return Answer(kUnavailable, "text/plain", "");
    return Answer(200, "application/json", WriteStatus(*status));
  }
  return Answer(kNotFound, "text/plain", "");
}

class HttpAdminServer : public AdminServer {
 public:
  explicit HttpAdminServer(std::unique_ptr<HttpServer> server)
      : server_(std::move(server)) {}

  Endpoint local() const override { return server_->local().front(); }

 private:
  const std::unique_ptr<HttpServer> server_;
};

}  // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::Start(
    Endpoint listen,
    const CounterRegistry& counters,
    const StatusBoard& board) {
  HttpServer::Options options;
  options.listeners.push_back(
      {listen, [&counters, &board](const HttpRequest& request) {
         return AnswerAdmin(request, counters, board);
       }});
  options.max_body_bytes = kMaxAdminBodyBytes;
  options.timeout = kAdminTimeout;
  BOOST_OUTCOME_TRY(server, HttpServer::Start(std::move(options)));
  return std::unique_ptr<AdminServer>(
      std::make_unique<HttpAdminServer>(std::move(server)));
}

}  // namespace skylarkshunt
