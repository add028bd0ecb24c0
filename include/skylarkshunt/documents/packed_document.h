#ifndef SKYLARKSHUNT_DOCUMENTS_PACKED_DOCUMENT_H_
#define SKYLARKSHUNT_DOCUMENTS_PACKED_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/configuration_id.h"

namespace skylarkshunt {

/// Largest uncompressed document, in bytes: the limit of an object in the
/// store.
inline constexpr size_t kMaxDocumentBytes = 1'048'576;
/// Largest number of bytes of a compressed document in one chunk. A chunk takes
/// 32 ms on a link of 2 Mbit/s, which hardly delays packets of callers.
inline constexpr size_t kChunkBytes = 8'192;

/// A configuration document in the form in which nodes propagate it. Routes are
/// repetitive, so compression reduces the size to a tenth or less.
struct PackedDocument {
  ConfigurationId id;
  /// Uncompressed size in bytes.
  uint32_t raw_bytes = 0;
  /// StableHash() of `packed`. Chunks with the same digest belong to the same
  /// document, regardless of the node that sent them.
  uint64_t digest = 0;
  /// The document, compressed with Zstandard.
  std::string packed;
};

/// Compresses `body`. Errors: kOversizedMessage above kMaxDocumentBytes,
/// kSystem. Thread-safe.
Result<PackedDocument> PackDocument(const ConfigurationId& id,
                                    absl::string_view body);

/// Decompresses `document`. Errors: kMalformedMessage if its digest or length
/// does not match. Thread-safe.
Result<std::string> UnpackDocument(const PackedDocument& document);

/// A part of a compressed document. The view refers to the decoded message.
struct DocumentChunk {
  ConfigurationId id;
  uint32_t raw_bytes = 0;
  uint32_t packed_bytes = 0;
  uint64_t digest = 0;
  /// Position of the first byte of `bytes` in the compressed document.
  uint32_t offset = 0;
  absl::string_view bytes;
};

/// Returns a message with up to kChunkBytes of `document` from `offset` on, or
/// from 0 if `offset` is not within the document. Thread-safe.
std::string EncodeChunk(const PackedDocument& document, size_t offset);

/// Decodes a message of EncodeChunk(). Errors: kMalformedMessage if the message
/// is truncated or inconsistent. Thread-safe.
Result<DocumentChunk> DecodeChunk(absl::string_view message);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_DOCUMENTS_PACKED_DOCUMENT_H_
