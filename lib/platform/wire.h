#ifndef SKYLARKSHUNT_LIB_PLATFORM_WIRE_H_
#define SKYLARKSHUNT_LIB_PLATFORM_WIRE_H_

#include "absl/strings/string_view.h"
#include "skylarkshunt/platform/platform_client.h"

namespace skylarkshunt {

/// Largest value of one object, in bytes.
inline constexpr size_t kMaxObjectBytes = 1'048'576;
/// Largest answer of the platform that the client reads, in bytes.
inline constexpr size_t kMaxAnswerBytes = 33'554'432;
/// Most objects or changes of one answer.
inline constexpr size_t kMaxAnswerObjects = 100'000;

// The functions below read answers of the platform. Keys that this release does
// not know are skipped, since the platform may be newer. Errors:
// kMalformedMessage. Thread-safe.
Result<ConfigRecord> ParseObjectAnswer(absl::string_view text);
Result<ObjectList> ParseListAnswer(absl::string_view text);
Result<WatchBatch> ParseWatchAnswer(absl::string_view text);
Result<Revision> ParseRevisionAnswer(absl::string_view text);

/// Whether `key` has 1 to 200 letters, digits, '-', '_', '.' and '/' only, so
/// that it stands in a URL as it is. Thread-safe.
bool IsObjectKey(absl::string_view key);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_PLATFORM_WIRE_H_
