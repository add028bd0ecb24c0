#include "skylarkshunt/base/hash.h"

#include <xxhash.h>

#include <array>

namespace skylarkshunt {

uint64_t StableHash(absl::string_view bytes, uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

uint64_t StableHash(uint64_t number, uint64_t seed) {
  std::array<unsigned char, sizeof(number)> bytes;
  for (size_t i = 0; i < bytes.size(); ++i)
    bytes[i] = static_cast<unsigned char>(number >> (8 * i));
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace skylarkshunt
