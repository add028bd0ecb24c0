#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_WRITER_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_WRITER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Writes a packet with its checksum as the ends of a flow do. `copies` stands
/// in the place of the acknowledged sequence number of an opening packet.
/// Thread-safe.
std::vector<uint8_t> WritePacket(const PacketHeader& header,
                                 const std::string& payload,
                                 uint32_t copies = 0);

/// Returns `packet` as a target returns it when it does not take it.
/// Thread-safe. Precondition: `packet` has a whole header.
std::vector<uint8_t> ReturnPacket(absl::Span<const uint8_t> packet);

/// Whether an end of a flow wrote `packet`, and nobody altered it. Thread-safe.
/// Precondition: `packet` has a whole header.
bool HasChecksum(absl::Span<const uint8_t> packet);

/// Whether `packet` is a reset of the nodes' own. Thread-safe. Precondition:
/// `packet` has a whole header.
bool IsReset(absl::Span<const uint8_t> packet);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_PACKET_WRITER_H_
