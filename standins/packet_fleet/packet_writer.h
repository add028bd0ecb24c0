#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_WRITER_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_WRITER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Writes a packet as the ends of a flow do. `copies` stands in the place of
/// the acknowledged sequence number of an opening packet. Thread-safe.
std::vector<uint8_t> WritePacket(const PacketHeader& header,
                                 const std::string& payload,
                                 uint32_t copies = 0);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_WRITER_H_
