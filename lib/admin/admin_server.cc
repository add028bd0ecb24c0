#include "skylarkshunt/admin/admin_server.h"

#include <httplib.h>

#include <cerrno>
#include <cstring>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

/// Threads that answer; further requests wait in the server's queue.
constexpr size_t kAdminWorkers = 2;
/// Time for a client to send its request or take its answer, in seconds.
constexpr time_t kAdminTimeoutSeconds = 2;
/// Time that an idle connection keeps a worker, in seconds.
constexpr time_t kAdminKeepAliveSeconds = 1;
/// No request of the end point has a body; bytes.
constexpr size_t kMaxAdminBodyBytes = 1024;

std::string Host(Endpoint endpoint) {
  const std::string text = endpoint.ToString();
  return text.substr(0, text.find(':'));
}

/// Replaces httplib's default of SO_REUSEPORT, with which two processes could
/// share one admin address unnoticed.
void SetSocketOptions(socket_t socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

class HttpAdminServer : public AdminServer {
 public:
  HttpAdminServer(const CounterRegistry& counters, const StatusBoard& board)
      : counters_(counters), board_(board) {
    server_.new_task_queue = [] {
      return new httplib::ThreadPool(kAdminWorkers);
    };
    server_.set_socket_options(SetSocketOptions);
    server_.set_tcp_nodelay(true);
    server_.set_read_timeout(kAdminTimeoutSeconds);
    server_.set_write_timeout(kAdminTimeoutSeconds);
    server_.set_keep_alive_timeout(kAdminKeepAliveSeconds);
    server_.set_payload_max_length(kMaxAdminBodyBytes);
    AddRoutes();
  }

  ~HttpAdminServer() override {
    if (!thread_.joinable())
      return;
    while (!server_.is_running() && !ended_.load())
      std::this_thread::yield();
    server_.stop();
    thread_.join();
  }

  Result<void> Listen(Endpoint listen) {
    const std::string host = Host(listen);
    errno = 0;
    int port = listen.port;
    const bool bound = port == 0 ? (port = server_.bind_to_any_port(host)) > 0
                                 : server_.bind_to_port(host, port);
    if (!bound)
      return BindError(listen, errno);
    local_ = Endpoint{listen.address, static_cast<uint16_t>(port)};
    thread_ = std::thread([this] {
      server_.listen_after_bind();
      ended_.store(true);
    });
    return Success();
  }

  Endpoint local() const override { return local_; }

 private:
  static Error BindError(Endpoint listen, int code) {
    if (code == EADDRINUSE) {
      return MakeError(
          ErrorKind::kAddressInUse,
          absl::StrCat("admin address ", listen.ToString(), " is taken"),
          "stop the process that holds it, or change \"admin\" in the "
          "settings");
    }
    return MakeError(ErrorKind::kSystem,
                     absl::StrCat("admin address ", listen.ToString(),
                                  " cannot be bound: ", std::strerror(code)),
                     "use an address of this instance as \"admin\"");
  }

  void AddRoutes() {
    using httplib::Request;
    using httplib::Response;
    server_.Get("/healthz", [this](const Request&, Response& response) {
      const bool healthy = board_.healthy();
      response.status = healthy ? 200 : 503;
      response.set_content(healthy ? "ok\n" : "draining\n", "text/plain");
    });
    server_.Get("/metrics", [this](const Request&, Response& response) {
      response.set_content(counters_.ToText(), "text/plain; version=0.0.4");
    });
    server_.Get("/status", [this](const Request&, Response& response) {
      const std::shared_ptr<const ProcessStatus> status = board_.Read();
      if (status == nullptr) {
        response.status = 503;
        return;
      }
      response.set_content(WriteStatus(*status), "application/json");
    });
  }

  const CounterRegistry& counters_;
  const StatusBoard& board_;
  httplib::Server server_;
  Endpoint local_;
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

}  // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::Start(
    Endpoint listen,
    const CounterRegistry& counters,
    const StatusBoard& board) {
  auto server = std::make_unique<HttpAdminServer>(counters, board);
  BOOST_OUTCOME_TRY(server->Listen(listen));
  return std::unique_ptr<AdminServer>(std::move(server));
}

}  // namespace skylarkshunt
