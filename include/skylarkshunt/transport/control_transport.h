#ifndef SKYLARKSHUNT_TRANSPORT_CONTROL_TRANSPORT_H_
#define SKYLARKSHUNT_TRANSPORT_CONTROL_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/control/entry_control.h"
#include "skylarkshunt/control/messages.h"

namespace skylarkshunt {

/// Most outbound links of a process. A further peer replaces the link that was
/// unused for the longest time, when that is at least kLinkReuseAge.
inline constexpr size_t kMaxOutboundLinks = 64;
/// Most inbound connections of a process.
inline constexpr size_t kMaxInboundLinks = 512;
/// An outbound link without use for this time is closed.
inline constexpr absl::Duration kLinkIdleLimit = absl::Seconds(60);
/// An inbound connection without a message for this time is closed. It is
/// longer than kLinkIdleLimit, so that the opener usually closes first.
inline constexpr absl::Duration kInboundSilenceLimit = absl::Seconds(120);
/// A link used within this time is never replaced by another one.
inline constexpr absl::Duration kLinkReuseAge = absl::Seconds(5);
/// Most messages that wait for an outbound link to open.
inline constexpr size_t kMaxPendingPerLink = 32;
/// A link whose peer leaves more than this unread is closed, in bytes.
inline constexpr size_t kMaxUnsentBytes = 4 * kMaxControlMessageBytes;
/// Messages between the control thread and the transport, each way.
inline constexpr size_t kTransportRingSlots = 256;

/// A message arrived: on the inbound `connection`, or (then `connection` is 0)
/// on the outbound link to `peer`.
struct ControlReceived {
  ConnectionId connection{};
  Endpoint peer;
  ControlMessage message;
};
/// The outbound link to `peer` could not be opened, failed or was closed by the
/// peer. Messages sent since may be lost. The next Send() opens a new link.
struct ControlLinkFailed {
  Endpoint peer;
};

using TransportEvent = std::variant<ControlReceived, ControlLinkFailed>;

/// Control links over WebSocket with binary CBOR frames. One thread of its own
/// runs the sockets. A message that does not decode or exceeds
/// kMaxControlMessageBytes closes its connection.
class ControlTransport {
 public:
  struct Options {
    /// Where inbound connections are accepted; nothing for an agent.
    absl::optional<Endpoint> listen;
    /// Must outlive the transport.
    CounterRegistry* counters = nullptr;
    /// Runs on the transport's thread after each new event; may be empty.
    std::function<void()> on_event;
    size_t max_outbound = kMaxOutboundLinks;
    size_t max_inbound = kMaxInboundLinks;
    absl::Duration idle_limit = kLinkIdleLimit;
    absl::Duration reuse_age = kLinkReuseAge;
  };

  /// Errors: kAddressInUse, kSystem. Precondition: `counters` is not null.
  static Result<std::unique_ptr<ControlTransport>> Start(Options options);
  /// Closes all links, flushing what was sent, and ends the thread.
  virtual ~ControlTransport() = default;

  /// Sends over the outbound link to `peer`, opening it when needed. A full
  /// ring drops the message and counts it. Thread-safe.
  virtual void Send(Endpoint peer, const ControlMessage& message) = 0;
  /// Answers on an inbound connection; a closed one drops the message.
  /// Thread-safe.
  virtual void Reply(ConnectionId connection,
                     const ControlMessage& message) = 0;
  /// Returns the oldest event not yet taken. Events beyond the ring's capacity
  /// are dropped and counted. Thread-safe.
  virtual absl::optional<TransportEvent> TryPop() = 0;
  /// The address of inbound connections, with the port that the kernel chose.
  /// Thread-safe.
  virtual Endpoint local() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TRANSPORT_CONTROL_TRANSPORT_H_
