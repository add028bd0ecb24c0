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
                            "Datagrams that the kernel did not take.")),
      usage_(counters) {}

void NodeChannel::Send(Endpoint destination, const NodeMessage& message) {
  EncodeNodeMessage(message, buffer_);
  SendDatagram(destination, buffer_, PurposeOf(message));
}

void NodeChannel::SendRaw(Endpoint destination,
                          absl::Span<const uint8_t> bytes) {
  SendDatagram(destination, bytes, LinkPurpose::kClientPacket);
}

void NodeChannel::SendDatagram(Endpoint destination,
                               absl::Span<const uint8_t> bytes,
                               LinkPurpose purpose) {
  if (socket_.Send(destination, bytes))
    usage_.RecordSent(purpose, bytes.size());
  else
    unsent_.Increment();
}

void NodeChannel::Receive(
    const std::function<void(Endpoint, const NodeMessage&)>& handle) {
  for (int i = 0; i < kDatagramBatch; ++i) {
    const absl::optional<Datagram> datagram = socket_.Receive();
    if (!datagram.has_value())
      return;
    const Result<NodeMessage> message = DecodeNodeMessage(datagram->bytes);
    if (!message.has_value()) {
      malformed_.Increment();
      continue;
    }
    usage_.RecordReceived(PurposeOf(message.value()), datagram->bytes.size());
    handle(datagram->source, message.value());
  }
}

size_t NodeChannel::Discard() {
  size_t count = 0;
  while (socket_.Receive().has_value())
    ++count;
  return count;
}

}  // namespace skylarkshunt
