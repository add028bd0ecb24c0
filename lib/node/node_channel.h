#ifndef SKYLARKSHUNT_LIB_NODE_NODE_CHANNEL_H_
#define SKYLARKSHUNT_LIB_NODE_NODE_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "absl/time/time.h"
#include "link_usage.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/net/udp_socket.h"

namespace skylarkshunt {

/// Largest number of datagrams read from one socket before the next socket is
/// served.
inline constexpr int kDatagramBatch = 64;
/// Gap between two rounds of a data thread beyond which the process counts as
/// suspended, and the datagrams in its sockets as outdated. A round takes at
/// most 100 ms while the process gets CPU time.
inline constexpr absl::Duration kSuspendedGap = absl::Seconds(2);

/// The socket for messages between nodes. Not thread-safe.
class NodeChannel {
 public:
  /// `port` is the port of all other nodes.
  NodeChannel(UdpSocket socket, uint16_t port, CounterRegistry& counters);

  void Send(Endpoint destination, const NodeMessage& message);
  /// Sends to the node at `address`.
  void SendToNode(uint32_t address, const NodeMessage& message) {
    Send({address, port_}, message);
  }
  /// Sends a datagram that is not a message between nodes.
  void SendRaw(Endpoint destination, absl::Span<const uint8_t> bytes);

  /// Calls `handle` for up to kDatagramBatch messages.
  void Receive(const std::function<void(Endpoint, const NodeMessage&)>& handle);
  /// Drops all waiting datagrams and returns their number.
  size_t Discard();

  int fd() const { return socket_.fd(); }

  /// Counts the datagrams of the node's link, also those of other sockets.
  LinkUsage& usage() { return usage_; }

 private:
  void SendDatagram(Endpoint destination,
                    absl::Span<const uint8_t> bytes,
                    LinkPurpose purpose);

  UdpSocket socket_;
  const uint16_t port_;
  std::vector<uint8_t> buffer_;
  Counter& malformed_;
  Counter& unsent_;
  LinkUsage usage_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_NODE_CHANNEL_H_
