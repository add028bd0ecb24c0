#include "skylarkshunt/transport/control_transport.h"

#include <boost/asio/io_service.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "links.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/control/codec.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

/// Time between two searches for idle links.
constexpr std::chrono::milliseconds kSweepInterval{500};
/// Time between two looks whether all links have closed at the end.
constexpr std::chrono::milliseconds kCloseInterval{10};
/// Looks before the transport ends with links still open.
constexpr int kMaxCloseRounds = 30;

struct SendCommand {
  Endpoint peer;
  std::vector<uint8_t> payload;
};
struct ReplyCommand {
  ConnectionId connection{};
  std::vector<uint8_t> payload;
};
using Command = std::variant<SendCommand, ReplyCommand>;

class AsioTransport : public ControlTransport, private LinkObserver {
 public:
  explicit AsioTransport(Options options)
      : options_(std::move(options)),
        counters_(*options_.counters),
        sweep_(io_),
        work_(std::make_unique<boost::asio::io_service::work>(io_)),
        commands_(kTransportRingSlots,
                  [this] { io_.post([this] { RunCommands(); }); }),
        events_(kTransportRingSlots, options_.on_event) {}

  ~AsioTransport() override {
    if (!thread_.joinable())
      return;
    io_.post([this] { BeginClose(); });
    thread_.join();
  }

  Result<void> Open() {
    outbound_ = OutboundLinks::Create(io_, options_, counters_, *this);
    if (options_.listen.has_value()) {
      BOOST_OUTCOME_TRY(inbound,
                        InboundLinks::Listen(io_, options_, counters_, *this));
      inbound_ = std::move(inbound);
    }
    ScheduleSweep();
    thread_ = std::thread([this] { io_.run(); });
    return Success();
  }

  void Send(Endpoint peer, const ControlMessage& message) override {
    Result<std::vector<uint8_t>> payload = EncodeControlMessage(message);
    if (!payload.has_value()) {
      counters_.oversized.Increment();
      return;
    }
    Push(SendCommand{peer, std::move(payload).value()});
  }

  void Reply(ConnectionId connection, const ControlMessage& message) override {
    Result<std::vector<uint8_t>> payload = EncodeControlMessage(message);
    if (!payload.has_value()) {
      counters_.oversized.Increment();
      return;
    }
    Push(ReplyCommand{connection, std::move(payload).value()});
  }

  absl::optional<TransportEvent> TryPop() override { return events_.TryPop(); }

  Endpoint local() const override {
    return inbound_ == nullptr ? Endpoint{} : inbound_->local();
  }

 private:
  void Push(Command command) {
    if (!commands_.TryPush(std::move(command)))
      counters_.commands_overflow.Increment();
  }

  void RunCommands() {
    while (absl::optional<Command> command = commands_.TryPop()) {
      if (auto* send = std::get_if<SendCommand>(&*command))
        outbound_->Send(MonotonicNow(), send->peer, send->payload);
      auto* reply = std::get_if<ReplyCommand>(&*command);
      if (reply != nullptr && inbound_ != nullptr)
        inbound_->Send(reply->connection, reply->payload);
    }
  }

  bool OnPayload(ConnectionId connection,
                 Endpoint peer,
                 const std::string& payload) override {
    Result<ControlMessage> message = DecodeControlMessage(absl::MakeConstSpan(
        reinterpret_cast<const uint8_t*>(payload.data()), payload.size()));
    if (!message.has_value()) {
      counters_.malformed.Increment();
      return false;
    }
    PushEvent(ControlReceived{connection, peer, std::move(message).value()});
    return true;
  }

  void OnLinkFailed(Endpoint peer) override {
    PushEvent(ControlLinkFailed{peer});
  }

  void PushEvent(TransportEvent event) {
    if (!events_.TryPush(std::move(event)))
      counters_.events_overflow.Increment();
  }

  void ScheduleSweep() {
    sweep_.expires_from_now(kSweepInterval);
    sweep_.async_wait([this](const boost::system::error_code& error) {
      if (error || closing_)
        return;
      outbound_->CloseIdle(MonotonicNow());
      if (inbound_ != nullptr)
        inbound_->CloseSilent(MonotonicNow());
      ScheduleSweep();
    });
  }

  void BeginClose() {
    closing_ = true;
    RunCommands();
    outbound_->CloseAll();
    if (inbound_ != nullptr)
      inbound_->CloseAll();
    AwaitClosed(0);
  }

  void AwaitClosed(int round) {
    const size_t left =
        outbound_->size() + (inbound_ == nullptr ? 0 : inbound_->size());
    if (left == 0 || round == kMaxCloseRounds) {
      io_.stop();
      return;
    }
    sweep_.expires_from_now(kCloseInterval);
    sweep_.async_wait([this, round](const boost::system::error_code&) {
      AwaitClosed(round + 1);
    });
  }

  const Options options_;
  LinkCounters counters_;
  boost::asio::io_service io_;
  boost::asio::steady_timer sweep_;
  std::unique_ptr<boost::asio::io_service::work> work_;
  BoundedRing<Command> commands_;
  BoundedRing<TransportEvent> events_;
  bool closing_ = false;
  std::unique_ptr<OutboundLinks> outbound_;
  std::unique_ptr<InboundLinks> inbound_;
  std::thread thread_;
};

}  // namespace

LinkCounters::LinkCounters(CounterRegistry& registry)
    : bytes_sent(registry.Find("skylarkshunt_control_bytes_sent_total",
                               "Payload of control messages sent, in bytes.")),
      bytes_received(
          registry.Find("skylarkshunt_control_bytes_received_total",
                        "Payload of control messages received, in bytes.")),
      malformed(registry.Find("skylarkshunt_control_malformed_total",
                              "Control messages that did not decode.")),
      oversized(registry.Find("skylarkshunt_control_oversized_total",
                              "Control messages beyond the size limit.")),
      outbound_refused(registry.Find("skylarkshunt_control_links_refused_total",
                                     "Control links refused at the limit.",
                                     MetricType::kCounter,
                                     "direction=\"outbound\"")),
      inbound_refused(registry.Find("skylarkshunt_control_links_refused_total",
                                    "Control links refused at the limit.",
                                    MetricType::kCounter,
                                    "direction=\"inbound\"")),
      dropped(registry.Find("skylarkshunt_control_dropped_total",
                            "Messages dropped while a link was opening.")),
      commands_overflow(registry.Find("skylarkshunt_ring_overflows_total",
                                      "Pushes that found a ring full.",
                                      MetricType::kCounter,
                                      "ring=\"control_commands\"")),
      events_overflow(registry.Find("skylarkshunt_ring_overflows_total",
                                    "Pushes that found a ring full.",
                                    MetricType::kCounter,
                                    "ring=\"control_events\"")) {}

Result<std::unique_ptr<ControlTransport>> ControlTransport::Start(
    Options options) {
  auto transport = std::make_unique<AsioTransport>(std::move(options));
  BOOST_OUTCOME_TRY(transport->Open());
  return std::unique_ptr<ControlTransport>(std::move(transport));
}

}  // namespace skylarkshunt
