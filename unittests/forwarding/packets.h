#ifndef SKYLARKSHUNT_UNITTESTS_FORWARDING_PACKETS_H_
#define SKYLARKSHUNT_UNITTESTS_FORWARDING_PACKETS_H_

#include <cstdint>
#include <vector>

#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Headers of one flow as its two ends write them. The forwarders read headers
/// only, so the packet bytes are arbitrary.
class FlowPackets {
 public:
  explicit FlowPackets(uint16_t client_port = 1025,
                       Endpoint service = {0xc6120001, 443})
      : flow_{{0x64400007, client_port}, service} {}

  const FlowId& flow() const { return flow_; }

  /// The opening packet, or its retransmission number `copy`.
  PacketHeader Opening(int copy = 0) const {
    PacketHeader header = FromClient();
    header.opening = true;
    header.opening_copy = static_cast<uint8_t>(copy);
    header.opening_age = AgeOf(copy);
    if (copy < 2)
      header.opening_next_age = AgeOf(copy + 1);
    header.opening_time_left = absl::Milliseconds(1400) - header.opening_age;
    return header;
  }
  /// The target's grant with the given first sequence number.
  PacketHeader Grant(uint32_t sequence = 9000) const {
    PacketHeader header = FromTarget();
    header.opening = true;
    header.acknowledges = true;
    header.sequence = sequence;
    return header;
  }
  PacketHeader Request(uint32_t acknowledged = 9001,
                       uint32_t sequence = 100) const {
    PacketHeader header = FromClient();
    header.acknowledges = true;
    header.acknowledged = acknowledged;
    header.sequence = sequence;
    header.payload_bytes = 200;
    return header;
  }
  PacketHeader Answer(bool ending = true) const {
    PacketHeader header = FromTarget();
    header.acknowledges = true;
    header.payload_bytes = ending ? 0 : 500;
    header.ending = ending;
    return header;
  }
  /// `header` as the target returns it.
  static PacketHeader Returned(PacketHeader header, uint32_t token) {
    header.returned = true;
    header.return_token = token;
    return header;
  }

 private:
  static absl::Duration AgeOf(int copy) {
    return absl::Milliseconds(copy == 0 ? 0 : copy == 1 ? 200 : 600);
  }
  PacketHeader FromClient() const {
    PacketHeader header;
    header.source = flow_.client;
    header.destination = flow_.service;
    return header;
  }
  PacketHeader FromTarget() const {
    PacketHeader header;
    header.source = flow_.service;
    header.destination = flow_.client;
    return header;
  }

  FlowId flow_;
};

inline const std::vector<uint8_t> kPacketBytes = {1, 2, 3};
inline const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_FORWARDING_PACKETS_H_
