#include "skylarkshunt/http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

absl::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

struct Limits {
  size_t max_body_bytes = 0;
  std::chrono::microseconds timeout{};
  size_t max_connections = 0;
  /// Number of open connections; used by the server's thread only.
  size_t connections = 0;
};

/// One client connection. Its pending operations keep it alive.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket,
             const HttpServer::Handler& handler,
             Limits& limits)
      : stream_(std::move(socket)), handler_(handler), limits_(limits) {
    ++limits_.connections;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { --limits_.connections; }

  void Read() {
    parser_.emplace();
    parser_->body_limit(limits_.max_body_bytes);
    stream_.expires_after(limits_.timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (!error)
            self->Answer();
        });
  }

 private:
  void Answer() {
    const auto& request = parser_->get();
    HttpRequest seen;
    seen.method = View(request.method_string());
    seen.target = View(request.target());
    seen.body = request.body();
    HttpResponse answer = handler_(seen);
    response_ = {};
    response_.result(static_cast<unsigned>(answer.status));
    response_.version(11);
    response_.keep_alive(request.keep_alive());
    if (!answer.body.empty())
      response_.set(http::field::content_type, answer.content_type);
    response_.body() = std::move(answer.body);
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (!error)
            self->Continue();
        });
  }

  void Continue() {
    if (response_.keep_alive()) {
      Read();
      return;
    }
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  beast::tcp_stream stream_;
  const HttpServer::Handler& handler_;
  Limits& limits_;
  beast::flat_buffer buffer_;
  boost::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

class Acceptor {
 public:
  Acceptor(asio::io_context& context,
           const HttpServer::Handler& handler,
           Limits& limits)
      : acceptor_(context), handler_(handler), limits_(limits) {}

  Result<void> Open(Endpoint listen) {
    beast::error_code error;
    const tcp::endpoint address{asio::ip::address_v4(listen.address),
                                listen.port};
    acceptor_.open(address.protocol(), error);
    if (!error)
      acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
      acceptor_.bind(address, error);
    if (!error)
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error) {
      Accept();
      return Success();
    }
    const bool taken = error == asio::error::address_in_use;
    return MakeError(
        taken ? ErrorKind::kAddressInUse : ErrorKind::kSystem,
        absl::StrCat("cannot listen on ", listen.ToString(), ": ",
                     error.message()),
        "use a free address of this instance, or stop the process that uses "
        "it");
  }

  Endpoint local() const {
    const tcp::endpoint address = acceptor_.local_endpoint();
    return {address.address().to_v4().to_uint(), address.port()};
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
      if (error == asio::error::operation_aborted)
        return;
      if (!error && limits_.connections < limits_.max_connections) {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Connection>(std::move(socket), handler_, limits_)
            ->Read();
      }
      Accept();
    });
  }

  tcp::acceptor acceptor_;
  const HttpServer::Handler& handler_;
  Limits& limits_;
};

class AsioHttpServer : public HttpServer {
 public:
  ~AsioHttpServer() override {
    context_.stop();
    if (thread_.joinable())
      thread_.join();
  }

  Result<void> Open(Options options) {
    limits_.max_body_bytes = options.max_body_bytes;
    limits_.timeout = absl::ToChronoMicroseconds(options.timeout);
    limits_.max_connections = options.max_connections;
    for (Listener& listener : options.listeners) {
      handlers_.push_back(std::move(listener.handler));
      auto acceptor =
          std::make_unique<Acceptor>(context_, handlers_.back(), limits_);
      BOOST_OUTCOME_TRYV(acceptor->Open(listener.listen));
      local_.push_back(acceptor->local());
      acceptors_.push_back(std::move(acceptor));
    }
    thread_ = std::thread([this] { context_.run(); });
    return Success();
  }

  std::vector<Endpoint> local() const override { return local_; }

 private:
  Limits limits_;
  // Connections refer to the handlers and end with the context.
  std::deque<Handler> handlers_;
  asio::io_context context_{1};
  std::vector<std::unique_ptr<Acceptor>> acceptors_;
  std::vector<Endpoint> local_;
  std::thread thread_;
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Start(Options options) {
  try {
    auto server = std::make_unique<AsioHttpServer>();
    BOOST_OUTCOME_TRYV(server->Open(std::move(options)));
    return std::unique_ptr<HttpServer>(std::move(server));
  } catch (const std::exception& error) {
    // Asio throws if it cannot open a descriptor or start a thread.
    return MakeError(ErrorKind::kSystem, error.what(),
                     "raise the limit of open files and threads");
  }
}

}  // namespace skylarkshunt
