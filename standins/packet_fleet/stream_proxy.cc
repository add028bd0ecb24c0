#include "standins/packet_fleet/stream_proxy.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <set>
#include <thread>
#include <utility>

#include "absl/time/clock.h"

namespace skylarkshunt {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kChunkBytes = 16'384;

tcp::endpoint ToAsio(Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

/// Closes with a reset: what is unsent is dropped.
void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

/// One connection, kept alive by its pending operations.
class Passage : public std::enable_shared_from_this<Passage> {
 public:
  Passage(tcp::socket client, const std::atomic<StreamFault>& fault)
      : client_(std::move(client)),
        server_(client_.get_executor()),
        fault_(fault) {}

  void Open(const tcp::endpoint& server) {
    server_.async_connect(
        server, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->Close();
            return;
          }
          self->Pump(self->client_, self->server_, self->to_server_, false);
          self->Pump(self->server_, self->client_, self->to_client_, true);
        });
  }

  void Close() {
    Reset(client_);
    Reset(server_);
  }

 private:
  struct Direction {
    explicit Direction(const tcp::socket::executor_type& executor)
        : timer(executor) {}
    std::array<char, kChunkBytes> bytes{};
    asio::steady_timer timer;
  };

  void Pump(tcp::socket& from,
            tcp::socket& to,
            Direction& direction,
            bool answers) {
    from.async_read_some(
        asio::buffer(direction.bytes),
        [this, self = shared_from_this(), &from, &to, &direction, answers](
            const error_code& error, size_t size) {
          if (error) {
            Close();
            return;
          }
          const StreamFault fault = fault_.load();
          if (fault == StreamFault::kSilent ||
              (fault == StreamFault::kOneWay && answers)) {
            Pump(from, to, direction, answers);
            return;
          }
          direction.timer.expires_after(
              fault == StreamFault::kDelay
                  ? absl::ToChronoMilliseconds(StreamProxy::kDelay)
                  : std::chrono::milliseconds(0));
          direction.timer.async_wait([this, self, &from, &to, &direction,
                                      answers, size](const error_code&) {
            Forward(from, to, direction, answers, size);
          });
        });
  }

  void Forward(tcp::socket& from,
               tcp::socket& to,
               Direction& direction,
               bool answers,
               size_t size) {
    asio::async_write(to, asio::buffer(direction.bytes, size),
                      [this, self = shared_from_this(), &from, &to, &direction,
                       answers](const error_code& error, size_t) {
                        if (error)
                          Close();
                        else
                          Pump(from, to, direction, answers);
                      });
  }

  tcp::socket client_;
  tcp::socket server_;
  const std::atomic<StreamFault>& fault_;
  Direction to_server_{client_.get_executor()};
  Direction to_client_{client_.get_executor()};
};

class AsioStreamProxy : public StreamProxy {
 public:
  explicit AsioStreamProxy(Endpoint server)
      : server_(ToAsio(server)), acceptor_(context_) {}
  AsioStreamProxy(const AsioStreamProxy&) = delete;
  AsioStreamProxy& operator=(const AsioStreamProxy&) = delete;
  ~AsioStreamProxy() override {
    context_.stop();
    if (thread_.joinable())
      thread_.join();
  }

  Result<void> Open(Endpoint listen) {
    error_code error;
    acceptor_.open(tcp::v4(), error);
    if (!error)
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
      acceptor_.bind(ToAsio(listen), error);
    if (!error)
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return MakeError(
          ErrorKind::kAddressInUse,
          "cannot listen on " + listen.ToString() + ": " + error.message(),
          "choose another network for the fleet");
    }
    local_ = {listen.address, acceptor_.local_endpoint().port()};
    Accept();
    thread_ = std::thread([this] { context_.run(); });
    return Success();
  }

  Endpoint local() const override { return local_; }

  void SetFault(StreamFault fault) override {
    fault_.store(fault);
    if (fault != StreamFault::kReset)
      return;
    asio::post(context_, [this] {
      for (const std::weak_ptr<Passage>& passage : passages_) {
        if (const std::shared_ptr<Passage> open = passage.lock())
          open->Close();
      }
      passages_.clear();
    });
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket client) {
      if (error)
        return;
      if (fault_.load() == StreamFault::kReset) {
        Reset(client);
      } else {
        auto passage = std::make_shared<Passage>(std::move(client), fault_);
        passages_.insert(passage);
        passage->Open(server_);
      }
      Accept();
    });
  }

  const tcp::endpoint server_;
  Endpoint local_;
  std::atomic<StreamFault> fault_{StreamFault::kNone};
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::set<std::weak_ptr<Passage>, std::owner_less<std::weak_ptr<Passage>>>
      passages_;
  std::thread thread_;
};

}  // namespace

const char* StreamFaultName(StreamFault fault) {
  switch (fault) {
    case StreamFault::kNone:
      return "none";
    case StreamFault::kDelay:
      return "delay";
    case StreamFault::kReset:
      return "reset";
    case StreamFault::kSilent:
      return "silent";
    case StreamFault::kOneWay:
      return "one_way";
  }
  return "unknown";
}

Result<std::unique_ptr<StreamProxy>> StreamProxy::Start(Endpoint listen,
                                                        Endpoint server) {
  auto proxy = std::make_unique<AsioStreamProxy>(server);
  BOOST_OUTCOME_TRYV(proxy->Open(listen));
  return std::unique_ptr<StreamProxy>(std::move(proxy));
}

}  // namespace skylarkshunt
