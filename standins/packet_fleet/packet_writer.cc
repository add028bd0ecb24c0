#include "standins/packet_fleet/packet_writer.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace skylarkshunt {
namespace {

using boost::endian::load_little_u32;
using boost::endian::store_little_u16;
using boost::endian::store_little_u32;

constexpr size_t kHeaderBytes = 31;
/// The nodes write the first four bytes and one flag of each packet; the
/// checksum leaves them out.
constexpr size_t kEchoBytes = 4;
constexpr size_t kChecksum = 26;
constexpr size_t kFlags = 30;
constexpr uint8_t kReset = 1;
constexpr uint8_t kBounced = 8;

/// Returns the FNV-1a hash of all that a node must not change; never 0, which
/// stands in the nodes' own resets.
uint32_t ChecksumOf(absl::Span<const uint8_t> packet) {
  uint32_t hash = 2166136261U;
  const auto add = [&hash](uint8_t byte) { hash = (hash ^ byte) * 16777619U; };
  for (size_t i = kEchoBytes; i < packet.size(); ++i) {
    if (i < kChecksum || i > kFlags)
      add(packet[i]);
  }
  add(packet[kFlags] & static_cast<uint8_t>(~kBounced));
  return hash | 1;
}

}  // namespace

std::vector<uint8_t> WritePacket(const PacketHeader& header,
                                 const std::string& payload,
                                 uint32_t copies) {
  std::vector<uint8_t> packet(kHeaderBytes + payload.size());
  uint8_t* bytes = packet.data();
  store_little_u32(bytes, header.return_token);
  store_little_u16(bytes + 4, header.source.port);
  store_little_u32(bytes + 6, header.source.address);
  store_little_u16(bytes + 10, header.destination.port);
  store_little_u32(bytes + 12, header.destination.address);
  store_little_u16(bytes + 16, static_cast<uint16_t>(payload.size()));
  store_little_u32(bytes + 18, header.sequence);
  store_little_u32(bytes + 22,
                   header.acknowledges ? header.acknowledged : copies);
  bytes[kFlags] = static_cast<uint8_t>(
      (header.opening ? 16 : 0) | (header.acknowledges ? 64 : 0) |
      (header.ending ? 32 : 0) | (header.reset ? kReset : 0) |
      (header.returned ? kBounced : 0));
  std::copy(payload.begin(), payload.end(), packet.begin() + kHeaderBytes);
  store_little_u32(bytes + kChecksum, ChecksumOf(packet));
  return packet;
}

std::vector<uint8_t> ReturnPacket(absl::Span<const uint8_t> packet) {
  std::vector<uint8_t> returned(packet.begin(), packet.end());
  returned[kFlags] |= kBounced;
  return returned;
}

bool HasChecksum(absl::Span<const uint8_t> packet) {
  return load_little_u32(packet.data() + kChecksum) == ChecksumOf(packet);
}

bool IsReset(absl::Span<const uint8_t> packet) {
  return packet.size() == kHeaderBytes && packet[kFlags] == kReset &&
         load_little_u32(packet.data() + kChecksum) == 0;
}

}  // namespace skylarkshunt
