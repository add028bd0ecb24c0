#include <deque>
#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "absl/container/flat_hash_map.h"
#include "links.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

using websocketpp::connection_hdl;
namespace status = websocketpp::close::status;

/// Time-outs in milliseconds, below the 2.5 s after which a silent peer is
/// suspected.
struct ClientConfig : websocketpp::config::asio_client {
  // websocketpp prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transport_config : websocketpp::config::asio_client::transport_config {
    static constexpr int64_t timeout_connect = 2000;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;
  static constexpr int64_t timeout_open_handshake = 2000;
  static constexpr int64_t timeout_close_handshake = 1000;
};

using Client = websocketpp::client<ClientConfig>;

class WebsocketOutboundLinks : public OutboundLinks {
 public:
  WebsocketOutboundLinks(boost::asio::io_service& io,
                         const ControlTransport::Options& options,
                         LinkCounters& counters,
                         LinkObserver& observer)
      : options_(options), counters_(counters), observer_(observer) {
    client_.clear_access_channels(websocketpp::log::alevel::all);
    client_.clear_error_channels(websocketpp::log::elevel::all);
    client_.init_asio(&io);
    client_.set_max_message_size(kMaxControlMessageBytes);
    client_.set_open_handler(
        [this](const connection_hdl& hdl) { OnOpen(hdl); });
    client_.set_fail_handler([this](const connection_hdl& hdl) { OnEnd(hdl); });
    client_.set_close_handler(
        [this](const connection_hdl& hdl) { OnEnd(hdl); });
    client_.set_message_handler(
        [this](const connection_hdl& hdl, const Client::message_ptr& message) {
          OnMessage(hdl, message);
        });
  }

  void Send(absl::Time now,
            Endpoint peer,
            const std::vector<uint8_t>& payload) override {
    auto it = links_.find(peer);
    if (it == links_.end()) {
      if (!MakeRoom(now) || !Open(peer)) {
        observer_.OnLinkFailed(peer);
        return;
      }
      it = links_.find(peer);
    }
    Link& link = it->second;
    link.last_used = now;
    if (!link.open) {
      Keep(link, payload);
      return;
    }
    if (!Write(link, payload))
      Fail(peer);
  }

  void CloseIdle(absl::Time now) override {
    std::vector<Endpoint> idle;
    for (const auto& [peer, link] : links_) {
      if (now - link.last_used >= options_.idle_limit)
        idle.push_back(peer);
    }
    for (const Endpoint& peer : idle)
      Drop(peer);
  }

  void CloseAll() override {
    while (!links_.empty())
      Drop(links_.begin()->first);
  }

  size_t size() const override { return peers_.size(); }

 private:
  struct Link {
    Client::connection_ptr connection;
    bool open = false;
    absl::Time last_used;
    std::deque<std::vector<uint8_t>> pending;
  };
  using PeerMap =
      std::map<connection_hdl, Endpoint, std::owner_less<connection_hdl>>;

  bool MakeRoom(absl::Time now) {
    if (links_.size() < options_.max_outbound)
      return true;
    auto oldest = links_.begin();
    for (auto it = links_.begin(); it != links_.end(); ++it) {
      if (it->second.last_used < oldest->second.last_used)
        oldest = it;
    }
    const bool replaceable =
        oldest != links_.end() &&
        now - oldest->second.last_used >= options_.reuse_age;
    if (!replaceable) {
      counters_.outbound_refused.Increment();
      return false;
    }
    Drop(oldest->first);
    return true;
  }

  bool Open(Endpoint peer) {
    websocketpp::lib::error_code error;
    Client::connection_ptr connection =
        client_.get_connection("ws://" + peer.ToString(), error);
    if (error)
      return false;
    links_[peer] = Link{connection, false, {}, {}};
    peers_[connection->get_handle()] = peer;
    client_.connect(connection);
    return true;
  }

  void Keep(Link& link, const std::vector<uint8_t>& payload) {
    if (link.pending.size() >= kMaxPendingPerLink) {
      counters_.dropped.Increment();
      return;
    }
    link.pending.push_back(payload);
  }

  bool Write(Link& link, const std::vector<uint8_t>& payload) {
    if (link.connection->get_buffered_amount() > kMaxUnsentBytes)
      return false;
    const websocketpp::lib::error_code error = link.connection->send(
        payload.data(), payload.size(), websocketpp::frame::opcode::binary);
    if (error)
      return false;
    counters_.bytes_sent.Add(payload.size());
    return true;
  }

  /// Closes the link without a report: nothing was lost that was accepted.
  void Drop(Endpoint peer) {
    const auto it = links_.find(peer);
    if (it == links_.end())
      return;
    const Client::connection_ptr connection = it->second.connection;
    links_.erase(it);
    websocketpp::lib::error_code ignored;
    connection->close(status::going_away, "", ignored);
  }

  void Fail(Endpoint peer) {
    Drop(peer);
    observer_.OnLinkFailed(peer);
  }

  /// Returns the link of `hdl`, or null when it was dropped or replaced.
  Link* Find(const connection_hdl& hdl) {
    const auto peer = peers_.find(hdl);
    if (peer == peers_.end())
      return nullptr;
    const auto it = links_.find(peer->second);
    const bool current = it != links_.end() &&
                         it->second.connection == client_.get_con_from_hdl(hdl);
    return current ? &it->second : nullptr;
  }

  void OnOpen(const connection_hdl& hdl) {
    Link* link = Find(hdl);
    if (link == nullptr) {
      websocketpp::lib::error_code ignored;
      client_.close(hdl, status::going_away, "", ignored);
      return;
    }
    link->open = true;
    std::deque<std::vector<uint8_t>> pending;
    pending.swap(link->pending);
    for (const std::vector<uint8_t>& payload : pending) {
      if (!Write(*link, payload)) {
        Fail(peers_[hdl]);
        return;
      }
    }
  }

  void OnEnd(const connection_hdl& hdl) {
    const auto peer = peers_.find(hdl);
    if (peer == peers_.end())
      return;
    const Endpoint endpoint = peer->second;
    const bool current = Find(hdl) != nullptr;
    peers_.erase(peer);
    if (!current)
      return;
    links_.erase(endpoint);
    observer_.OnLinkFailed(endpoint);
  }

  void OnMessage(const connection_hdl& hdl,
                 const Client::message_ptr& message) {
    Link* link = Find(hdl);
    if (link == nullptr)
      return;
    counters_.bytes_received.Add(message->get_payload().size());
    const Endpoint peer = peers_[hdl];
    if (observer_.OnPayload(ConnectionId{}, peer, message->get_payload()))
      return;
    Fail(peer);
  }

  const ControlTransport::Options& options_;
  LinkCounters& counters_;
  LinkObserver& observer_;
  Client client_;
  /// Links in use. A dropped link leaves this map at once and peers_ when its
  /// connection has ended.
  absl::flat_hash_map<Endpoint, Link> links_;
  PeerMap peers_;
};

}  // namespace

std::unique_ptr<OutboundLinks> OutboundLinks::Create(
    boost::asio::io_service& io,
    const ControlTransport::Options& options,
    LinkCounters& counters,
    LinkObserver& observer) {
  return std::make_unique<WebsocketOutboundLinks>(io, options, counters,
                                                  observer);
}

}  // namespace skylarkshunt
