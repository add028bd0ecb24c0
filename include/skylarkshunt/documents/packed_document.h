#ifndef SKYLARKSHUNT_DOCUMENTS_PACKED_DOCUMENT_H_
#define SKYLARKSHUNT_DOCUMENTS_PACKED_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// Longest document before it is compressed, in bytes: an object of the store.
inline constexpr size_t kMaxDocumentBytes = 1'048'576;
/// Bytes of a compressed document in one chunk: a link of 2 Mbit/s is busy with
/// it for 32 ms, so that packets of callers hardly wait behind it.
inline constexpr size_t kChunkBytes = 8'192;

/// A configuration document as nodes hand it to each other. Routes repeat the
/// same words, so that compressing divides the bytes by ten or more.
struct PackedDocument {
  Revision revision{};
  /// Length before compressing, in bytes.
  uint32_t raw_bytes = 0;
  /// StableHash() of `packed`: chunks with the same digest belong together,
  /// whichever node sent them.
  uint64_t digest = 0;
  /// The document, compressed with Zstandard.
  std::string packed;
};

/// Compresses `body`. Errors: kOversizedMessage above kMaxDocumentBytes,
/// kSystem. Thread-safe.
Result<PackedDocument> PackDocument(Revision revision, absl::string_view body);

/// Returns the document before it was compressed. Errors: kMalformedMessage
/// where digest or length do not match. Thread-safe.
Result<std::string> UnpackDocument(const PackedDocument& document);

/// A part of a compressed document. The view belongs to the message it was read
/// from.
struct DocumentChunk {
  Revision revision{};
  uint32_t raw_bytes = 0;
  uint32_t packed_bytes = 0;
  uint64_t digest = 0;
  /// Position of the first byte of `bytes` in the compressed document.
  uint32_t offset = 0;
  absl::string_view bytes;
};

/// Returns the message that holds up to kChunkBytes of `document` from `offset`
/// on; from 0 where `offset` is behind its end. Thread-safe.
std::string EncodeChunk(const PackedDocument& document, size_t offset);

/// Errors: kMalformedMessage for a message that is cut off, or whose parts
/// contradict each other. Thread-safe.
Result<DocumentChunk> DecodeChunk(absl::string_view message);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_DOCUMENTS_PACKED_DOCUMENT_H_
