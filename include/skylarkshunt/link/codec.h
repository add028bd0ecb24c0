#ifndef SKYLARKSHUNT_LINK_CODEC_H_
#define SKYLARKSHUNT_LINK_CODEC_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/link/messages.h"

namespace skylarkshunt {

/// Encodes a message between entry and agents as CBOR (RFC 8949). Errors:
/// kOversizedMessage beyond kMaxLinkDatagramBytes. Thread-safe.
Result<std::vector<uint8_t>> EncodeLinkMessage(const LinkMessage& message);

/// Decodes a datagram between entry and agents. Errors: kOversizedMessage,
/// kMalformedMessage. Thread-safe.
Result<LinkMessage> DecodeLinkMessage(absl::Span<const uint8_t> datagram);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LINK_CODEC_H_
