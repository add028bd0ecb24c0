#ifndef SKYLARKSHUNT_CONTROL_CODEC_H_
#define SKYLARKSHUNT_CONTROL_CODEC_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/control/messages.h"

namespace skylarkshunt {

/// Encodes a control message as CBOR (RFC 8949). Errors: kOversizedMessage
/// when the encoding exceeds kMaxControlMessageBytes. Thread-safe.
Result<std::vector<uint8_t>> EncodeControlMessage(
    const ControlMessage& message);

/// Decodes a control message. Errors: kOversizedMessage when `bytes` exceeds
/// kMaxControlMessageBytes, else kMalformedMessage. Thread-safe.
Result<ControlMessage> DecodeControlMessage(absl::Span<const uint8_t> bytes);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_CODEC_H_
