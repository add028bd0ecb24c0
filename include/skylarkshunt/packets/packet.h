#ifndef SKYLARKSHUNT_PACKETS_PACKET_H_
#define SKYLARKSHUNT_PACKETS_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Longest packet with its header, in bytes. It fits into one Ethernet frame
/// together with the header of a node message.
inline constexpr size_t kMaxPacketBytes = 1400;

/// Client and service endpoint of a flow. Identifies the flow in logs, in
/// tables and to operators.
struct FlowId {
  Endpoint client;
  Endpoint service;

  /// Returns "client>service". Thread-safe on a const object.
  std::string ToString() const;

  friend bool operator==(const FlowId& a, const FlowId& b) {
    return a.client == b.client && a.service == b.service;
  }
  friend bool operator!=(const FlowId& a, const FlowId& b) { return !(a == b); }
  template <typename H>
  friend H AbslHashValue(H h, const FlowId& flow) {
    return H::combine(std::move(h), flow.client, flow.service);
  }
};

/// Returns a hash of `flow` that is the same on every node and release.
/// Thread-safe.
uint64_t StableFlowHash(const FlowId& flow);

/// Header fields of one packet that the forwarding decisions use.
struct PacketHeader {
  Endpoint source;
  Endpoint destination;
  /// Sequence number of the first byte of the payload.
  uint32_t sequence = 0;
  /// Next byte that the sender expects from the other end.
  uint32_t acknowledged = 0;
  uint16_t payload_bytes = 0;
  /// Token that a target copies into each packet that it returns.
  uint32_t return_token = 0;
  /// On a client's opening packet: the time since the client first sent it, and
  /// the remaining time that the client waits for an answer.
  absl::Duration opening_age;
  absl::Duration opening_time_left;
  /// On a client's opening packet: 0 for the first copy, and the number of the
  /// retransmission for the others.
  uint8_t opening_copy = 0;
  /// On a client's opening packet: time from the first copy to the one that
  /// follows this one; infinite for the last one.
  absl::Duration opening_next_age = absl::InfiniteDuration();
  bool opening = false;       ///< Requests a new flow, or grants it.
  bool acknowledges = false;  ///< `acknowledged` is valid.
  bool ending = false;        ///< The sender sends nothing more.
  bool reset = false;         ///< The flow ends at once.
  bool returned = false;      ///< Returned by a target that did not accept it.

  /// The flow of a packet that a client sent.
  FlowId flow_from_client() const { return FlowId{source, destination}; }
  /// The flow of a packet that a target sent to a client.
  FlowId flow_to_client() const { return FlowId{destination, source}; }
};

/// Reads and modifies packet headers. The deployment defines their layout.
/// Implementations are thread-safe.
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;

  /// Returns the header of `packet`. Errors: kMalformedMessage for a truncated
  /// header or a length that does not match.
  virtual Result<PacketHeader> Read(absl::Span<const uint8_t> packet) const = 0;

  /// Sets the return token and clears the returned flag. All other bytes remain
  /// as the sender wrote them. Precondition: Read() accepts `packet`.
  virtual void SetReturnToken(absl::Span<uint8_t> packet,
                              uint32_t token) const = 0;

  /// Returns a reset packet from the service's address to the client.
  /// `sequence` is the next byte that the client expects.
  virtual std::vector<uint8_t> MakeReset(const FlowId& flow,
                                         uint32_t sequence) const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PACKETS_PACKET_H_
