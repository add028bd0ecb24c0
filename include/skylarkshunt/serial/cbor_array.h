#ifndef SKYLARKSHUNT_SERIAL_CBOR_ARRAY_H_
#define SKYLARKSHUNT_SERIAL_CBOR_ARRAY_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/error.h"

// Include only in .cc files: it brings in nlohmann/json.hpp.

namespace skylarkshunt {

/// Writes one message as a CBOR array of positional fields. Not thread-safe.
class CborArrayWriter {
 public:
  CborArrayWriter() : array_(nlohmann::json::array()) {}

  CborArrayWriter& U64(uint64_t value) {
    array_.push_back(value);
    return *this;
  }
  CborArrayWriter& I64(int64_t value) {
    array_.push_back(value);
    return *this;
  }
  CborArrayWriter& Bool(bool value) {
    array_.push_back(value);
    return *this;
  }
  /// Precondition: `value` is UTF-8; use Bytes() for anything else.
  CborArrayWriter& Text(absl::string_view value) {
    array_.push_back(std::string(value));
    return *this;
  }
  CborArrayWriter& Bytes(absl::string_view value) {
    array_.push_back(nlohmann::json::binary(
        std::vector<uint8_t>(value.begin(), value.end())));
    return *this;
  }
  CborArrayWriter& Null() {
    array_.push_back(nullptr);
    return *this;
  }
  CborArrayWriter& Array(CborArrayWriter&& nested) {
    array_.push_back(std::move(nested.array_));
    return *this;
  }

  /// Returns the encoded array. Errors: kOversizedMessage beyond `limit`.
  Result<std::vector<uint8_t>> Encode(size_t limit) const;

 private:
  nlohmann::json array_;
};

/// Reads the positional fields of a CBOR array in order. The first field that
/// does not fit makes all later reads return defaults and ok() false, so that a
/// decoder checks once at the end. Not thread-safe; refers to the parsed value,
/// which must outlive it.
class CborArrayReader {
 public:
  explicit CborArrayReader(const nlohmann::json& value);

  uint64_t U64(uint64_t max = std::numeric_limits<uint64_t>::max());
  int64_t I64();
  bool Bool();
  std::string Text(size_t max_bytes);
  std::string Bytes(size_t max_bytes);
  /// Whether the next field is null; a null is consumed.
  bool SkipNull();
  /// Returns the next field, which must be an array.
  const nlohmann::json& Array(size_t max_size);
  /// Marks the message malformed for a reason outside single fields.
  void Fail(absl::string_view problem);

  bool ok() const { return problem_.empty(); }
  /// Whether all fields were read.
  bool AtEnd() const;
  /// Success when every field fitted and none is left. Errors:
  /// kMalformedMessage.
  Result<void> Finish() const;

 private:
  const nlohmann::json* Next();

  const nlohmann::json* array_ = nullptr;
  size_t next_ = 0;
  std::string problem_;
};

/// Parses `bytes` as one CBOR array. Errors: kOversizedMessage beyond `limit`,
/// kMalformedMessage. Thread-safe.
Result<nlohmann::json> ParseCborArray(absl::Span<const uint8_t> bytes,
                                      size_t limit);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_SERIAL_CBOR_ARRAY_H_
