#include "standins/packet_fleet/packet_writer.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace skylarkshunt {
namespace {

using boost::endian::store_little_u16;
using boost::endian::store_little_u32;

constexpr size_t kHeaderBytes = 31;

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
  bytes[30] = static_cast<uint8_t>(
      (header.opening ? 16 : 0) | (header.acknowledges ? 64 : 0) |
      (header.ending ? 32 : 0) | (header.reset ? 1 : 0) |
      (header.returned ? 8 : 0));
  std::copy(payload.begin(), payload.end(), packet.begin() + kHeaderBytes);
  return packet;
}

}  // namespace skylarkshunt
