#include "skylarkshunt/http/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Idle time of a connection after which the kernel probes the peer, and the
/// time between probes. A connection to an unresponsive peer ends after 3 s,
/// the tightest bound on the propagation of a configuration change.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUserTimeoutMs = 3000;

void SetLivenessOptions(int fd) {
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// One call in progress. Each step starts the next one when it has succeeded.
class CallInProgress {
 public:
  explicit CallInProgress(const HttpCall& call)
      : call_(call),
        stream_(context_),
        deadline_(std::chrono::steady_clock::now() +
                  absl::ToChronoMicroseconds(call.timeout)) {
    request_.method_string(call.method);
    request_.target(call.target);
    request_.version(11);
    request_.set(http::field::host, call.server.ToString());
    request_.set(http::field::connection, "close");
    for (const auto& [name, value] : call.headers)
      request_.set(name, value);
    if (!call.body.empty() || call.method == "POST") {
      request_.set(http::field::content_type, call.content_type);
      request_.body() = call.body;
    }
    request_.prepare_payload();
    parser_.body_limit(call.max_answer_bytes);
    server_ = {asio::ip::address_v4(call.server.address), call.server.port};
  }

  Result<HttpAnswer> Run() {
    stream_.socket().open(asio::ip::tcp::v4());
    if (call_.on_socket)
      call_.on_socket(stream_.socket().native_handle());
    stream_.expires_at(ConnectDeadline());
    stream_.async_connect(server_, [this](beast::error_code error) {
      error_ = error;
      if (error)
        return;
      SetLivenessOptions(stream_.socket().native_handle());
      Send();
    });
    context_.run();
    if (!error_)
      return MakeAnswer();
    const std::string message = absl::StrCat(
        "call of ", std::string(request_.target()), ": ", error_.message());
    if (!connected_ && error_ == asio::error::connection_refused) {
      return MakeError(ErrorKind::kRefused, message,
                       "check the port and whether the server runs");
    }
    if (!connected_) {
      return MakeError(ErrorKind::kUnavailable, message,
                       "check the address and whether the server is up");
    }
    if (error_ == http::error::body_limit) {
      return MakeError(ErrorKind::kOversizedMessage, message,
                       "ask for less, or raise the limit");
    }
    return MakeError(ErrorKind::kOutcomeUnknown, message,
                     "read the state back before any other change");
  }

 private:
  std::chrono::steady_clock::time_point ConnectDeadline() const {
    if (call_.connect_timeout >= call_.timeout)
      return deadline_;
    return std::chrono::steady_clock::now() +
           absl::ToChronoMicroseconds(call_.connect_timeout);
  }

  HttpAnswer MakeAnswer() {
    auto& response = parser_.get();
    HttpAnswer answer;
    answer.status = static_cast<int>(response.result_int());
    if (!call_.response_header.empty())
      answer.response_header = std::string(response[call_.response_header]);
    answer.body = std::move(response.body());
    return answer;
  }

  void Send() {
    connected_ = true;
    stream_.expires_at(deadline_);
    http::async_write(stream_, request_,
                      [this](beast::error_code error, size_t) {
                        error_ = error;
                        if (!error)
                          Receive();
                      });
  }

  void Receive() {
    http::async_read_some(stream_, buffer_, parser_,
                          [this](beast::error_code error, size_t bytes) {
                            error_ = error;
                            if (error || parser_.is_done())
                              return;
                            ExtendForProgress(bytes);
                            Receive();
                          });
  }

  void ExtendForProgress(size_t bytes) {
    progress_ += bytes;
    if (call_.progress_timeout == absl::ZeroDuration() ||
        progress_ < call_.progress_bytes) {
      return;
    }
    progress_ = 0;
    const auto limit =
        deadline_ + absl::ToChronoMicroseconds(call_.transfer_limit);
    const auto progress_deadline =
        std::chrono::steady_clock::now() +
        absl::ToChronoMicroseconds(call_.progress_timeout);
    stream_.expires_at(std::min(limit, std::max(deadline_, progress_deadline)));
  }

  const HttpCall& call_;
  asio::io_context context_{1};
  beast::tcp_stream stream_;
  const std::chrono::steady_clock::time_point deadline_;
  asio::ip::tcp::endpoint server_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  beast::flat_buffer buffer_;
  beast::error_code error_;
  bool connected_ = false;
  /// Bytes received since the deadline was last extended.
  size_t progress_ = 0;
};

}  // namespace

Result<HttpAnswer> Call(const HttpCall& call) {
  try {
    CallInProgress progress(call);
    return progress.Run();
  } catch (const std::exception& error) {
    // Asio throws if it cannot open a descriptor.
    return MakeError(ErrorKind::kSystem, error.what(),
                     "raise the limit of open files");
  }
}

}  // namespace skylarkshunt
