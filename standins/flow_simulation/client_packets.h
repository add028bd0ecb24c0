#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_CLIENT_PACKETS_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_CLIENT_PACKETS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Times at which a client sends the copies of an opening packet, and the one
/// at which its attempt ends, since the first copy.
inline constexpr std::array<absl::Duration, 3> kOpeningTimes = {
    absl::ZeroDuration(), absl::Milliseconds(200), absl::Milliseconds(600)};
inline constexpr absl::Duration kOpeningTimeout = absl::Milliseconds(1400);

/// Sequence numbers of a client's end of a flow.
struct ClientSequences {
  /// Sequence of the opening packet.
  uint32_t first = 0;
  /// Next byte to send, and next byte expected from the target.
  uint32_t next = 0;
  uint32_t expected = 0;
};

/// Returns the header of copy number `copy` of an opening packet.
PacketHeader MakeOpeningHeader(const FlowId& flow,
                               const ClientSequences& sequences,
                               size_t copy);
/// Returns the header of any other packet of a client, without data.
PacketHeader MakeClientHeader(const FlowId& flow,
                              const ClientSequences& sequences);
/// Whether the client of an open flow honours a reset with `sequence`.
bool IsInResetWindow(uint32_t sequence, const ClientSequences& sequences);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_CLIENT_PACKETS_H_
