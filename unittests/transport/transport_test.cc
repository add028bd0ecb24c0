#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "skylarkshunt/control/codec.h"
#include "skylarkshunt/transport/control_transport.h"

namespace skylarkshunt {
namespace {

const Endpoint kAnyPort{0x7f000001, 0};
constexpr absl::Duration kLimit = absl::Seconds(20);
/// Opcode "binary" of a final frame, and the bit of a masked payload.
constexpr char kBinaryFrame = '\x82';
constexpr char kMaskedLength64 = '\xff';
constexpr char kMaskBit = '\x80';

bool WaitFor(const std::function<bool()>& condition) {
  const absl::Time end = absl::Now() + kLimit;
  while (!condition()) {
    if (absl::Now() > end)
      return false;
    absl::SleepFor(absl::Milliseconds(2));
  }
  return true;
}

/// One end of control links, with its counters.
class Node {
 public:
  explicit Node(
      absl::optional<Endpoint> listen = kAnyPort,
      const std::function<void(ControlTransport::Options&)>& change =
          [](ControlTransport::Options&) {}) {
    ControlTransport::Options options;
    options.listen = listen;
    options.counters = &counters_;
    change(options);
    transport_ = ControlTransport::Start(options).value();
  }

  ControlTransport& operator*() { return *transport_; }
  ControlTransport* operator->() { return transport_.get(); }

  absl::optional<TransportEvent> Next() {
    absl::optional<TransportEvent> event;
    WaitFor([&] { return (event = transport_->TryPop()).has_value(); });
    return event;
  }

  /// Returns the subject of the next probe, or 0 for any other event.
  uint64_t NextProbe() {
    const absl::optional<TransportEvent> event = Next();
    const auto* received =
        event.has_value() ? std::get_if<ControlReceived>(&*event) : nullptr;
    const auto* probe =
        received == nullptr ? nullptr : std::get_if<Probe>(&received->message);
    return probe == nullptr ? 0 : ToNumber(probe->subject);
  }

  /// Returns the peer of the next failed link, or an empty one.
  Endpoint NextFailure() {
    const absl::optional<TransportEvent> event = Next();
    const auto* failed =
        event.has_value() ? std::get_if<ControlLinkFailed>(&*event) : nullptr;
    return failed == nullptr ? Endpoint{} : failed->peer;
  }

  bool Counts(const std::string& line) {
    return WaitFor([&] {
      return counters_.ToText().find(line + "\n") != std::string::npos;
    });
  }

 private:
  CounterRegistry counters_;
  std::unique_ptr<ControlTransport> transport_;
};

ControlMessage MakeProbe(uint64_t subject) {
  Probe probe;
  probe.sender = Incarnation{1};
  probe.subject = InstanceUid{subject};
  return probe;
}

/// A WebSocket client that can break the rules.
class RawClient {
 public:
  explicit RawClient(Endpoint server)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(server.address);
    address.sin_port = htons(server.port);
    CPPUNIT_ASSERT(connect(socket_, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0);
    Send(
        "GET / HTTP/1.1\r\nHost: test\r\nUpgrade: websocket\r\n"
        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    CPPUNIT_ASSERT(ReadUntil("\r\n\r\n"));
  }
  ~RawClient() { close(socket_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) const {
    CPPUNIT_ASSERT_EQUAL(
        static_cast<ssize_t>(bytes.size()),
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }

  /// Returns whether the server closes the connection.
  bool Ends() { return !ReadUntil("a text that no frame has"); }

 private:
  bool ReadUntil(const std::string& end) {
    std::string text;
    char buffer[4096];
    while (text.find(end) == std::string::npos) {
      pollfd readable{socket_, POLLIN, 0};
      const int limit_ms = static_cast<int>(absl::ToInt64Milliseconds(kLimit));
      CPPUNIT_ASSERT(poll(&readable, 1, limit_ms) == 1);
      const ssize_t size = recv(socket_, buffer, sizeof(buffer), 0);
      if (size <= 0)
        return false;
      text.append(buffer, static_cast<size_t>(size));
    }
    return true;
  }

  const int socket_;
};

class TransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportTest);
  CPPUNIT_TEST(AnswersReachTheAsker);
  CPPUNIT_TEST(OversizedMessageClosesTheConnection);
  CPPUNIT_TEST(MalformedMessageClosesTheConnection);
  CPPUNIT_TEST(UnreachablePeerIsReported);
  CPPUNIT_TEST(ClosedLinkIsReportedAndOpenedAgain);
  CPPUNIT_TEST(OutboundLimitRefuses);
  CPPUNIT_TEST(OutboundLimitReplacesTheLongestUnused);
  CPPUNIT_TEST(InboundLimitRefuses);
  CPPUNIT_TEST(IdleLinkMakesRoomWithoutAReport);
  CPPUNIT_TEST(TakenPortIsNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer that goes to another connection.
  void AnswersReachTheAsker() {
    Node server;
    Node first(absl::nullopt);
    Node second(absl::nullopt);
    first->Send(server->local(), MakeProbe(1));
    const auto question = std::get<ControlReceived>(*server.Next());
    second->Send(server->local(), MakeProbe(2));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, server.NextProbe());
    server->Reply(question.connection, MakeProbe(3));
    const auto answer = std::get<ControlReceived>(*first.Next());
    CPPUNIT_ASSERT(answer.peer == server->local());
    CPPUNIT_ASSERT(answer.connection == ConnectionId{});
    CPPUNIT_ASSERT(!second->TryPop().has_value());
    const size_t bytes = EncodeControlMessage(MakeProbe(3)).value().size();
    CPPUNIT_ASSERT(first.Counts("skylarkshunt_control_bytes_received_total " +
                                std::to_string(bytes)));
  }

  // Guards against a peer that fills the memory with one message.
  void OversizedMessageClosesTheConnection() {
    Node server;
    RawClient client(server->local());
    const uint64_t length = kMaxControlMessageBytes + 1;
    std::string frame{kBinaryFrame, kMaskedLength64};
    for (int shift = 56; shift >= 0; shift -= 8)
      frame.push_back(static_cast<char>(length >> shift));
    client.Send(frame + std::string(4, '\0'));
    CPPUNIT_ASSERT(client.Ends());
    CPPUNIT_ASSERT(server.Counts("skylarkshunt_control_oversized_total 1"));
    CPPUNIT_ASSERT(!server->TryPop().has_value());
  }

  void MalformedMessageClosesTheConnection() {
    Node server;
    RawClient client(server->local());
    client.Send(std::string{kBinaryFrame, static_cast<char>(kMaskBit | 3)} +
                std::string(4, '\0') + "abc");
    CPPUNIT_ASSERT(client.Ends());
    CPPUNIT_ASSERT(server.Counts("skylarkshunt_control_malformed_total 1"));
    CPPUNIT_ASSERT(!server->TryPop().has_value());
  }

  void UnreachablePeerIsReported() {
    const Endpoint closed = Node()->local();
    Node client(absl::nullopt);
    client->Send(closed, MakeProbe(1));
    CPPUNIT_ASSERT(client.NextFailure() == closed);
  }

  // Guards against a link that stays dead after its peer was replaced.
  void ClosedLinkIsReportedAndOpenedAgain() {
    auto server = std::make_unique<Node>();
    const Endpoint address = (*server)->local();
    Node client(absl::nullopt);
    client->Send(address, MakeProbe(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server->NextProbe());
    server.reset();
    CPPUNIT_ASSERT(client.NextFailure() == address);
    Node replacement(address);
    client->Send(address, MakeProbe(2));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, replacement.NextProbe());
  }

  void OutboundLimitRefuses() {
    Node first;
    Node second;
    Node client(absl::nullopt, [](ControlTransport::Options& options) {
      options.max_outbound = 1;
      options.reuse_age = absl::InfiniteDuration();
    });
    client->Send(first->local(), MakeProbe(1));
    client->Send(second->local(), MakeProbe(2));
    CPPUNIT_ASSERT(client.NextFailure() == second->local());
    CPPUNIT_ASSERT(client.Counts(
        "skylarkshunt_control_links_refused_total{direction=\"outbound\"} 1"));
    client->Send(first->local(), MakeProbe(3));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, first.NextProbe());
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, first.NextProbe());
  }

  // Guards against gossip that stops in a fleet larger than the limit.
  void OutboundLimitReplacesTheLongestUnused() {
    Node first;
    Node second;
    Node client(absl::nullopt, [](ControlTransport::Options& options) {
      options.max_outbound = 1;
      options.reuse_age = absl::ZeroDuration();
    });
    client->Send(first->local(), MakeProbe(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, first.NextProbe());
    client->Send(second->local(), MakeProbe(2));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, second.NextProbe());
    CPPUNIT_ASSERT(!client->TryPop().has_value());
  }

  void InboundLimitRefuses() {
    Node server(kAnyPort, [](ControlTransport::Options& options) {
      options.max_inbound = 1;
    });
    Node first(absl::nullopt);
    first->Send(server->local(), MakeProbe(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server.NextProbe());
    Node second(absl::nullopt);
    second->Send(server->local(), MakeProbe(2));
    CPPUNIT_ASSERT(second.NextFailure() == server->local());
    CPPUNIT_ASSERT(server.Counts(
        "skylarkshunt_control_links_refused_total{direction=\"inbound\"} 1"));
    first->Send(server->local(), MakeProbe(3));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, server.NextProbe());
  }

  // Guards against links that are never given back, and against an idle close
  // that is taken for a failed peer.
  void IdleLinkMakesRoomWithoutAReport() {
    Node server(kAnyPort, [](ControlTransport::Options& options) {
      options.max_inbound = 1;
    });
    Node first(absl::nullopt, [](ControlTransport::Options& options) {
      options.idle_limit = absl::Milliseconds(1);
    });
    first->Send(server->local(), MakeProbe(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server.NextProbe());
    Node second(absl::nullopt);
    CPPUNIT_ASSERT(WaitFor([&] {
      // Refused until the first link is closed.
      second->Send(server->local(), MakeProbe(2));
      return server->TryPop().has_value();
    }));
    CPPUNIT_ASSERT(!first->TryPop().has_value());
  }

  void TakenPortIsNamed() {
    Node server;
    CounterRegistry counters;
    ControlTransport::Options options;
    options.listen = server->local();
    options.counters = &counters;
    const auto second = ControlTransport::Start(options);
    CPPUNIT_ASSERT(!second.has_value());
    CPPUNIT_ASSERT(second.error().kind == ErrorKind::kAddressInUse);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);

}  // namespace
}  // namespace skylarkshunt
