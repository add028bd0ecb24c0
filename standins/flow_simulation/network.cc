#include "standins/flow_simulation/network.h"

#include <cstring>
#include <type_traits>
#include <utility>
#include <variant>

namespace skylarkshunt {
namespace {

static_assert(std::is_trivially_copyable<PacketHeader>::value,
              "packets are the bytes of their headers");

constexpr absl::Duration kLocalDelay = absl::Microseconds(500);
constexpr absl::Duration kRemoteDelay = absl::Milliseconds(3);
constexpr absl::Duration kClientDelay = absl::Milliseconds(1);
/// Delays differ by up to this share of their mean.
constexpr double kJitter = 0.3;
/// Position of the data centre in the address of a node.
constexpr unsigned kDataCentreShift = 12;
constexpr uint32_t kEntries = 0x0a010000;
constexpr uint32_t kAgents = 0x0a020000;

uint32_t DataCentreOf(uint32_t address) {
  return (address & 0xffffU) >> kDataCentreShift;
}

}  // namespace

absl::Span<const uint8_t> BytesOf(const PacketHeader& header) {
  return {reinterpret_cast<const uint8_t*>(&header), sizeof(header)};
}

PacketHeader HeaderOf(absl::Span<const uint8_t> bytes) {
  PacketHeader header;
  std::memcpy(static_cast<void*>(&header), bytes.data(), sizeof(header));
  return header;
}

StoredMessage::StoredMessage(NodeMessage original)
    : message_(std::move(original)) {
  std::visit(
      [this](auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<Message, ForwardedPacket> ||
                      std::is_same_v<Message, ReturnedPacket>) {
          header_ = HeaderOf(message.packet);
          message.packet = BytesOf(header_);
        }
      },
      message_);
}

uint32_t SimulatedNetwork::EntryAddress(size_t data_centre, size_t index) {
  return kEntries +
         static_cast<uint32_t>((data_centre << kDataCentreShift) + index);
}

uint32_t SimulatedNetwork::AgentAddress(size_t data_centre, size_t index) {
  return kAgents +
         static_cast<uint32_t>((data_centre << kDataCentreShift) + index);
}

void SimulatedNetwork::SetLoss(uint32_t address,
                               double share,
                               absl::Time until) {
  losses_[address] = {share, until};
}

bool SimulatedNetwork::IsLost(uint32_t address) {
  const auto loss = losses_.find(address);
  return loss != losses_.end() && events_.now() < loss->second.until &&
         random_.Chance(loss->second.share);
}

absl::Duration SimulatedNetwork::Delay(uint32_t from, uint32_t to) {
  const absl::Duration mean =
      DataCentreOf(from) == DataCentreOf(to) ? kLocalDelay : kRemoteDelay;
  return mean * random_.Between(1.0 - kJitter, 1.0 + kJitter);
}

void SimulatedNetwork::SendMessage(uint32_t source,
                                   uint32_t address,
                                   NodeMessage message) {
  if (IsLost(source) || IsLost(address))
    return;
  auto stored = std::make_shared<const StoredMessage>(std::move(message));
  events_.After(Delay(source, address),
                [this, source, address, stored = std::move(stored)] {
                  receivers_.node(source, address, stored);
                });
}

void SimulatedNetwork::SendToEntry(size_t entry,
                                   uint32_t address,
                                   const PacketHeader& header) {
  if (IsLost(address))
    return;
  events_.After(kClientDelay * random_.Between(1.0 - kJitter, 1.0 + kJitter),
                [this, entry, header] { receivers_.entry(entry, header); });
}

void SimulatedNetwork::SendToClient(uint32_t source,
                                    const PacketHeader& header) {
  if (IsLost(source))
    return;
  events_.After(kClientDelay * random_.Between(1.0 - kJitter, 1.0 + kJitter),
                [this, header] { receivers_.client(header); });
}

void SimulatedNetwork::SendReset(uint32_t source, const SentReset& reset) {
  if (IsLost(source))
    return;
  events_.After(kClientDelay * random_.Between(1.0 - kJitter, 1.0 + kJitter),
                [this, reset] { receivers_.client_reset(reset); });
}

}  // namespace skylarkshunt
