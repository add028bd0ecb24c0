#include "skylarkshunt/documents/packed_document.h"

#include <zstd.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

using boost::endian::load_little_u32;
using boost::endian::load_little_u64;
using boost::endian::store_little_u32;
using boost::endian::store_little_u64;

/// Zstandard's default level. A document of 200 KB takes about 1 ms of a core.
constexpr int kCompressionLevel = 3;
constexpr uint64_t kDigestSeed = 0x646f63;
/// Zstandard's bound on the compressed size of the largest document is slightly
/// above the size of the document.
constexpr size_t kMaxPackedBytes = kMaxDocumentBytes + 8'192;

// Header of a chunk, all fields little-endian.
constexpr size_t kVersionAt = 0;
constexpr size_t kRevisionAt = 8;
constexpr size_t kDigestAt = 16;
constexpr size_t kRawBytesAt = 24;
constexpr size_t kPackedBytesAt = 28;
constexpr size_t kOffsetAt = 32;
constexpr size_t kHeaderBytes = 36;

Error Malformed(absl::string_view what) {
  return MakeError(ErrorKind::kMalformedMessage,
                   absl::StrCat("part of a configuration: ", what),
                   "check that all nodes run compatible releases");
}

}  // namespace

Result<PackedDocument> PackDocument(const ConfigurationId& id,
                                    absl::string_view body) {
  if (body.size() > kMaxDocumentBytes) {
    return MakeError(ErrorKind::kOversizedMessage,
                     absl::StrCat("configuration of ", body.size(), " bytes"),
                     absl::StrCat("keep it at or below ", kMaxDocumentBytes));
  }
  PackedDocument document;
  document.id = id;
  document.raw_bytes = static_cast<uint32_t>(body.size());
  document.packed.resize(ZSTD_compressBound(body.size()));
  const size_t size =
      ZSTD_compress(document.packed.data(), document.packed.size(), body.data(),
                    body.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0) {
    return MakeError(ErrorKind::kSystem,
                     absl::StrCat("cannot compress the configuration: ",
                                  ZSTD_getErrorName(size)),
                     "raise the memory limit of the process");
  }
  document.packed.resize(size);
  document.packed.shrink_to_fit();
  document.digest = StableHash(document.packed, kDigestSeed);
  return document;
}

Result<std::string> UnpackDocument(const PackedDocument& document) {
  if (StableHash(document.packed, kDigestSeed) != document.digest)
    return Malformed("the digest does not match");
  if (document.raw_bytes > kMaxDocumentBytes)
    return Malformed(absl::StrCat("document of ", document.raw_bytes,
                                  " bytes, expected at most ",
                                  kMaxDocumentBytes));
  std::string body(document.raw_bytes, '\0');
  const size_t size = ZSTD_decompress(
      body.data(), body.size(), document.packed.data(), document.packed.size());
  if (ZSTD_isError(size) != 0 || size != body.size())
    return Malformed(absl::StrCat("it cannot be decompressed to ",
                                  document.raw_bytes, " bytes"));
  return body;
}

std::string EncodeChunk(const PackedDocument& document, size_t offset) {
  const size_t begin = offset < document.packed.size() ? offset : 0;
  const size_t size = std::min(kChunkBytes, document.packed.size() - begin);
  std::string message(kHeaderBytes, '\0');
  auto* head = reinterpret_cast<unsigned char*>(message.data());
  store_little_u64(head + kVersionAt, document.id.version);
  store_little_u64(head + kRevisionAt, ToNumber(document.id.revision));
  store_little_u64(head + kDigestAt, document.digest);
  store_little_u32(head + kRawBytesAt, document.raw_bytes);
  store_little_u32(head + kPackedBytesAt,
                   static_cast<uint32_t>(document.packed.size()));
  store_little_u32(head + kOffsetAt, static_cast<uint32_t>(begin));
  message.append(document.packed, begin, size);
  return message;
}

Result<DocumentChunk> DecodeChunk(absl::string_view message) {
  if (message.size() <= kHeaderBytes)
    return Malformed(absl::StrCat("message of ", message.size(),
                                  " bytes, expected more than ", kHeaderBytes));
  const auto* head = reinterpret_cast<const unsigned char*>(message.data());
  DocumentChunk chunk;
  chunk.id.version = load_little_u64(head + kVersionAt);
  chunk.id.revision = Revision{load_little_u64(head + kRevisionAt)};
  chunk.digest = load_little_u64(head + kDigestAt);
  chunk.raw_bytes = load_little_u32(head + kRawBytesAt);
  chunk.packed_bytes = load_little_u32(head + kPackedBytesAt);
  chunk.offset = load_little_u32(head + kOffsetAt);
  chunk.bytes = message.substr(kHeaderBytes);
  if (chunk.packed_bytes > kMaxPackedBytes ||
      chunk.raw_bytes > kMaxDocumentBytes)
    return Malformed("the document exceeds the size limit");
  if (chunk.offset > chunk.packed_bytes ||
      chunk.bytes.size() > chunk.packed_bytes - chunk.offset ||
      chunk.bytes.size() > kChunkBytes)
    return Malformed("the part extends beyond the end of the document");
  return chunk;
}

}  // namespace skylarkshunt
