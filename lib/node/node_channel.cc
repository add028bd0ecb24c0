#include "node_channel.h"

#include <utility>

#include "skylarkshunt/forwarding/node_codec.h"

namespace skylarkshunt {

NodeChannel::NodeChannel(UdpSocket socket,
                         uint16_t port,
                         CounterRegistry& counters)
    : socket_(std::move(socket)),
      port_(port),
      malformed_(counters.Find("skylarkshunt_node_messages_malformed_total",
                               "Messages of other nodes that were refused.")),
      unsent_(counters.Find("skylarkshunt_datagrams_unsent_total",
                            "Datagrams that the kernel did not take.")) {}

void NodeChannel::Send(Endpoint destination, const NodeMessage& message) {
  EncodeNodeMessage(message, buffer_);
  SendRaw(destination, buffer_);
}

void NodeChannel::SendRaw(Endpoint destination,
                          absl::Span<const uint8_t> bytes) {
  if (!socket_.Send(destination, bytes))
    unsent_.Increment();
}

void NodeChannel::Receive(
    const std::function<void(Endpoint, const NodeMessage&)>& handle) {
  for (int i = 0; i < kDatagramBatch; ++i) {
    const absl::optional<Datagram> datagram = socket_.Receive();
    if (!datagram.has_value())
      return;
    const Result<NodeMessage> message = DecodeNodeMessage(datagram->bytes);
    if (message.has_value())
      handle(datagram->source, message.value());
    else
      malformed_.Increment();
  }
}

size_t NodeChannel::Discard() {
  size_t count = 0;
  while (socket_.Receive().has_value())
    ++count;
  return count;
}

}  // namespace skylarkshunt
