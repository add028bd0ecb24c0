#ifndef SKYLARKSHUNT_LIB_FORWARDING_BYTE_CODEC_H_
#define SKYLARKSHUNT_LIB_FORWARDING_BYTE_CODEC_H_

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// Maximum length of a text in a message, in bytes.
inline constexpr size_t kMaxTextBytes = 0xffff;

/// Appends fields to a buffer, little-endian.
class ByteWriter {
 public:
  explicit ByteWriter(std::vector<uint8_t>& out) : out_(out) {}

  template <typename T>
  void Number(T value) {
    const size_t at = out_.size();
    out_.resize(at + sizeof(T));
    boost::endian::endian_store<T, sizeof(T), boost::endian::order::little>(
        &out_[at], value);
  }
  template <typename Id>
  void Identity(Id id) {
    Number<uint64_t>(ToNumber(id));
  }
  template <typename Enum>
  void Choice(Enum value) {
    Number(static_cast<uint8_t>(value));
  }
  void Address(Endpoint endpoint) {
    Number(endpoint.address);
    Number(endpoint.port);
  }
  void Bytes(absl::Span<const uint8_t> bytes) {
    out_.insert(out_.end(), bytes.begin(), bytes.end());
  }
  /// Appends `text`, truncated to kMaxTextBytes.
  void Text(absl::string_view text) {
    const absl::string_view kept = text.substr(0, kMaxTextBytes);
    Number(static_cast<uint16_t>(kept.size()));
    out_.insert(out_.end(), kept.begin(), kept.end());
  }

 private:
  std::vector<uint8_t>& out_;
};

/// Reads fields in order. After the first missing byte every field is 0 or
/// empty, and ok() is false.
class ByteReader {
 public:
  explicit ByteReader(absl::Span<const uint8_t> bytes) : bytes_(bytes) {}

  template <typename T>
  T Number() {
    if (bytes_.size() < sizeof(T)) {
      ok_ = false;
      bytes_ = {};
      return T{};
    }
    const T value =
        boost::endian::endian_load<T, sizeof(T), boost::endian::order::little>(
            bytes_.data());
    bytes_.remove_prefix(sizeof(T));
    return value;
  }
  template <typename Id>
  Id Identity() {
    return Id{Number<uint64_t>()};
  }
  template <typename Enum>
  Enum Choice(Enum last) {
    const auto value = Number<uint8_t>();
    if (value > static_cast<uint8_t>(last)) {
      ok_ = false;
      return last;
    }
    return static_cast<Enum>(value);
  }
  Endpoint Address() {
    Endpoint endpoint;
    endpoint.address = Number<uint32_t>();
    endpoint.port = Number<uint16_t>();
    return endpoint;
  }
  std::string Text() {
    const size_t size = Number<uint16_t>();
    if (bytes_.size() < size) {
      Fail();
      return {};
    }
    std::string text(bytes_.begin(), bytes_.begin() + size);
    bytes_.remove_prefix(size);
    return text;
  }
  absl::Span<const uint8_t> Rest() {
    return std::exchange(bytes_, absl::Span<const uint8_t>());
  }
  void Fail() {
    ok_ = false;
    bytes_ = {};
  }
  bool ok() const { return ok_; }
  bool complete() const { return ok_ && bytes_.empty(); }

 private:
  absl::Span<const uint8_t> bytes_;
  bool ok_ = true;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_FORWARDING_BYTE_CODEC_H_
