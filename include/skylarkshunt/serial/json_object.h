#ifndef SKYLARKSHUNT_SERIAL_JSON_OBJECT_H_
#define SKYLARKSHUNT_SERIAL_JSON_OBJECT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

// Include only in .cc files: it brings in nlohmann/json.hpp.

namespace skylarkshunt {

/// Parses a JSON object, with // and /* */ comments allowed. `source` names the
/// file or object in messages. Errors: `kind` for text that is no JSON object
/// and for a key that stands twice in one object. Thread-safe.
Result<nlohmann::json> ParseJsonObject(absl::string_view text,
                                       absl::string_view source,
                                       ErrorKind kind);

/// Reads the fields of one JSON object and collects the first problem, naming
/// source, key, what was found and the remedy. Every key read is known;
/// Finish() rejects all others. Not thread-safe; the object must outlive it.
class JsonObjectReader {
 public:
  /// `path` is the place of `value` inside the source, such as "kinds[0]", or
  /// empty.
  JsonObjectReader(const nlohmann::json& value,
                   absl::string_view source,
                   absl::string_view path,
                   ErrorKind kind);

  /// Whether `key` is present; it then counts as known.
  bool Has(absl::string_view key);

  /// The readers below fail for a missing key, a wrong type or a value out of
  /// range, and then return a default.
  std::string Text(absl::string_view key, size_t min_bytes, size_t max_bytes);
  /// A name of up to kMaxNameBytes: lower-case letters, digits, '-' and '_',
  /// beginning with a letter. Such a name fits into object keys and URLs.
  std::string Name(absl::string_view key);
  /// Names as above, none of them twice.
  std::vector<std::string> Names(absl::string_view key, size_t max_count);
  /// Text that is one of `choices`; returns its index.
  size_t Choice(absl::string_view key,
                absl::Span<const absl::string_view> choices);
  int64_t Integer(absl::string_view key, int64_t min, int64_t max);
  double Number(absl::string_view key, double min, double max);
  bool Boolean(absl::string_view key);
  Endpoint Address(absl::string_view key);
  std::vector<Endpoint> Addresses(absl::string_view key, size_t max_count);
  std::vector<std::string> Texts(absl::string_view key,
                                 size_t max_count,
                                 size_t max_bytes);
  /// Returns the value of `key`, which must be an array of at most `max_count`.
  const nlohmann::json& Array(absl::string_view key, size_t max_count);
  /// Returns the value of `key`, which must be an object.
  const nlohmann::json& Object(absl::string_view key);

  /// Adds a problem found by the caller, for `key`.
  void Fail(absl::string_view key,
            absl::string_view found,
            absl::string_view remedy);

  /// Longest name of a service, kind, region or data centre, in bytes.
  static constexpr size_t kMaxNameBytes = 63;

  bool ok() const { return problem_.empty(); }
  /// Success when every field fitted and no key is unknown.
  Result<void> Finish();

 private:
  const nlohmann::json* Find(absl::string_view key, absl::string_view remedy);
  std::string Place(absl::string_view key) const;

  const nlohmann::json& value_;
  std::string source_;
  std::string path_;
  ErrorKind kind_;
  std::set<std::string> known_;
  std::string problem_;
  std::string remedy_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_SERIAL_JSON_OBJECT_H_
