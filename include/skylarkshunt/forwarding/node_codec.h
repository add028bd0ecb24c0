#ifndef SKYLARKSHUNT_FORWARDING_NODE_CODEC_H_
#define SKYLARKSHUNT_FORWARDING_NODE_CODEC_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// Maximum number of node addresses in one EntryReport: 5 bytes each in a
/// datagram of at most 1,400 bytes.
inline constexpr size_t kMaxReportedNodes = 240;

/// Replaces the contents of `out` with the encoded `message`: a version byte, a
/// type byte and the fields in little-endian order. Uses a fixed layout rather
/// than CBOR because every packet of a flow is encoded and decoded once.
/// Thread-safe on different `out`.
void EncodeNodeMessage(const NodeMessage& message, std::vector<uint8_t>& out);

/// Decodes `datagram`. The packet in the result points into `datagram`. Errors:
/// kMalformedMessage for another version, an unknown type or value, missing or
/// surplus bytes. Thread-safe.
Result<NodeMessage> DecodeNodeMessage(absl::Span<const uint8_t> datagram);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_NODE_CODEC_H_
