#ifndef SKYLARKSHUNT_EDGE_CODEC_H_
#define SKYLARKSHUNT_EDGE_CODEC_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/edge/messages.h"

namespace skylarkshunt {

/// Encodes a caller's message as one CBOR map (RFC 8949) with integer keys.
/// Errors: kOversizedMessage when it exceeds kMaxCallerDatagramBytes.
/// Thread-safe.
Result<std::vector<uint8_t>> EncodeCallerMessage(const CallerMessage& message);

/// Decodes a datagram of a caller. Errors: kOversizedMessage,
/// kMalformedMessage (truncated, wrong type, unknown, repeated or missing key,
/// value out of range). Thread-safe.
Result<CallerMessage> DecodeCallerMessage(absl::Span<const uint8_t> datagram);

/// Encodes an answer; errors as for EncodeCallerMessage(). Thread-safe.
Result<std::vector<uint8_t>> EncodeAnswer(const Answer& answer);

/// Decodes an answer; errors as for DecodeCallerMessage(). Thread-safe.
Result<Answer> DecodeAnswer(absl::Span<const uint8_t> datagram);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_EDGE_CODEC_H_
