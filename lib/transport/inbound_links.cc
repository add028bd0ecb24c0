#include <map>
#include <utility>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "links.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

using boost::asio::ip::tcp;
using websocketpp::connection_hdl;
namespace status = websocketpp::close::status;

/// Time-outs in milliseconds.
struct ServerConfig : websocketpp::config::asio {
  static constexpr int64_t timeout_open_handshake = 2000;
  static constexpr int64_t timeout_close_handshake = 1000;
};

using Server = websocketpp::server<ServerConfig>;

class WebsocketInboundLinks : public InboundLinks {
 public:
  WebsocketInboundLinks(boost::asio::io_service& io,
                        const ControlTransport::Options& options,
                        LinkCounters& counters,
                        LinkObserver& observer)
      : options_(options), counters_(counters), observer_(observer) {
    server_.clear_access_channels(websocketpp::log::alevel::all);
    server_.clear_error_channels(websocketpp::log::elevel::all);
    server_.init_asio(&io);
    server_.set_reuse_addr(true);
    server_.set_max_message_size(kMaxControlMessageBytes);
    server_.set_validate_handler(
        [this](const connection_hdl& hdl) { return Admit(hdl); });
    server_.set_fail_handler([this](const connection_hdl& hdl) { OnEnd(hdl); });
    server_.set_close_handler(
        [this](const connection_hdl& hdl) { OnEnd(hdl); });
    server_.set_message_handler(
        [this](const connection_hdl& hdl, const Server::message_ptr& message) {
          OnMessage(hdl, message);
        });
  }

  Result<void> Listen(Endpoint local) {
    websocketpp::lib::error_code error;
    server_.listen(
        tcp::endpoint(boost::asio::ip::address_v4(local.address), local.port),
        error);
    if (error)
      return ListenError(local);
    server_.start_accept(error);
    if (error)
      return ListenError(local);
    boost::system::error_code address_error;
    const tcp::endpoint bound = server_.get_local_endpoint(address_error);
    if (address_error)
      return ListenError(local);
    local_ = Endpoint{bound.address().to_v4().to_uint(), bound.port()};
    return Success();
  }

  void Send(ConnectionId connection,
            const std::vector<uint8_t>& payload) override {
    const auto it = by_id_.find(connection);
    if (it == by_id_.end())
      return;
    const connection_hdl hdl = it->second;
    websocketpp::lib::error_code error;
    const Server::connection_ptr open = server_.get_con_from_hdl(hdl, error);
    if (error)
      return;
    if (open->get_buffered_amount() > kMaxUnsentBytes) {
      Close(hdl, status::policy_violation);
      return;
    }
    error = open->send(payload.data(), payload.size(),
                       websocketpp::frame::opcode::binary);
    if (!error)
      counters_.bytes_sent.Add(payload.size());
  }

  void CloseSilent(absl::Time now) override {
    std::vector<connection_hdl> silent;
    for (const auto& [hdl, link] : links_) {
      if (now - link.last_heard >= kInboundSilenceLimit)
        silent.push_back(hdl);
    }
    for (const connection_hdl& hdl : silent)
      Close(hdl, status::going_away);
  }

  void CloseAll() override {
    websocketpp::lib::error_code ignored;
    server_.stop_listening(ignored);
    std::vector<connection_hdl> all;
    for (const auto& [hdl, link] : links_)
      all.push_back(hdl);
    for (const connection_hdl& hdl : all)
      Close(hdl, status::going_away);
  }

  size_t size() const override { return links_.size(); }
  Endpoint local() const override { return local_; }

 private:
  struct Link {
    ConnectionId id{};
    absl::Time last_heard;
  };
  using LinkMap =
      std::map<connection_hdl, Link, std::owner_less<connection_hdl>>;

  /// websocketpp replaces the system's error code by one of its own, so that
  /// the cause is found by binding the address once more.
  static Error ListenError(Endpoint local) {
    boost::asio::io_service io;
    tcp::acceptor probe(io, tcp::v4());
    boost::system::error_code error;
    probe.set_option(tcp::acceptor::reuse_address(true), error);
    probe.bind(
        tcp::endpoint(boost::asio::ip::address_v4(local.address), local.port),
        error);
    if (!error)
      probe.listen(1, error);
    if (error == boost::asio::error::address_in_use) {
      return MakeError(
          ErrorKind::kAddressInUse,
          absl::StrCat("control address ", local.ToString(), " is taken"),
          "stop the process that holds it, or change \"control\" in the "
          "settings");
    }
    return MakeError(ErrorKind::kSystem,
                     absl::StrCat("control address ", local.ToString(),
                                  " cannot be bound: ", error.message()),
                     "use an address of this instance as \"control\"");
  }

  /// Counts a connection from its request on, so that slow handshakes cannot
  /// exceed the limit.
  bool Admit(const connection_hdl& hdl) {
    if (links_.size() >= options_.max_inbound) {
      counters_.inbound_refused.Increment();
      websocketpp::lib::error_code error;
      const Server::connection_ptr refused =
          server_.get_con_from_hdl(hdl, error);
      if (!error)
        refused->set_status(
            websocketpp::http::status_code::service_unavailable);
      return false;
    }
    const ConnectionId id{++last_id_};
    links_[hdl] = Link{id, MonotonicNow()};
    by_id_[id] = hdl;
    return true;
  }

  void Close(const connection_hdl& hdl, status::value code) {
    websocketpp::lib::error_code error;
    server_.close(hdl, code, "", error);
    if (error)
      OnEnd(hdl);
  }

  void OnEnd(const connection_hdl& hdl) {
    const auto it = links_.find(hdl);
    if (it == links_.end())
      return;
    websocketpp::lib::error_code error;
    const Server::connection_ptr ended = server_.get_con_from_hdl(hdl, error);
    if (!error && ended->get_local_close_code() == status::message_too_big)
      counters_.oversized.Increment();
    by_id_.erase(it->second.id);
    links_.erase(it);
  }

  void OnMessage(const connection_hdl& hdl,
                 const Server::message_ptr& message) {
    const auto it = links_.find(hdl);
    if (it == links_.end())
      return;
    it->second.last_heard = MonotonicNow();
    counters_.bytes_received.Add(message->get_payload().size());
    if (observer_.OnPayload(it->second.id, Endpoint{}, message->get_payload()))
      return;
    Close(hdl, status::unsupported_data);
  }

  const ControlTransport::Options& options_;
  LinkCounters& counters_;
  LinkObserver& observer_;
  Server server_;
  Endpoint local_;
  uint64_t last_id_ = 0;
  LinkMap links_;
  absl::flat_hash_map<ConnectionId, connection_hdl> by_id_;
};

}  // namespace

Result<std::unique_ptr<InboundLinks>> InboundLinks::Listen(
    boost::asio::io_service& io,
    const ControlTransport::Options& options,
    LinkCounters& counters,
    LinkObserver& observer) {
  auto links =
      std::make_unique<WebsocketInboundLinks>(io, options, counters, observer);
  BOOST_OUTCOME_TRY(links->Listen(*options.listen));
  return std::unique_ptr<InboundLinks>(std::move(links));
}

}  // namespace skylarkshunt
