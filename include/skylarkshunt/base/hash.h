#ifndef SKYLARKSHUNT_BASE_HASH_H_
#define SKYLARKSHUNT_BASE_HASH_H_

#include <cstdint>

#include "absl/strings/string_view.h"

namespace skylarkshunt {

/// Returns xxHash64 of `bytes`. The result is the same on every node and
/// release, unlike absl::Hash, which is seeded per process. Thread-safe.
uint64_t StableHash(absl::string_view bytes, uint64_t seed);

/// Returns a hash of `number`, hashed as 8 little-endian bytes. Thread-safe.
uint64_t StableHash(uint64_t number, uint64_t seed);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_HASH_H_
