#ifndef STANDINS_CALLER_ANSWER_ASSEMBLER_H_
#define STANDINS_CALLER_ANSWER_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkshunt/edge/messages.h"

namespace skylarkshunt {

/// A run of chunks [first, first + count).
struct ChunkRange {
  uint32_t first = 0;
  uint32_t count = 0;
};

/// Puts one answer together from its chunks in any order. Holds at most
/// kMaxAnswerBytes. Not thread-safe.
class AnswerAssembler {
 public:
  enum class Added { kNew, kDuplicate, kRejected };

  /// Takes one chunk. Rejects a chunk whose totals contradict each other, its
  /// body or an earlier chunk.
  Added Add(const Answer& answer);

  bool started() const { return chunk_count_ > 0; }
  bool whole() const { return started() && received_ == chunk_count_; }
  uint32_t chunk_count() const { return chunk_count_; }
  /// Whether every chunk of `range` has arrived.
  bool Has(ChunkRange range) const;
  /// Returns the first missing run, of at most kMaxChunksPerFetch chunks; its
  /// count is 0 when none is missing.
  ChunkRange FirstMissing() const;
  /// The bytes; complete only when whole().
  const std::string& body() const { return body_; }

 private:
  bool Fits(const Answer& answer) const;

  std::string body_;
  std::vector<bool> has_;
  uint32_t chunk_count_ = 0;
  uint32_t received_ = 0;
};

}  // namespace skylarkshunt

#endif  // STANDINS_CALLER_ANSWER_ASSEMBLER_H_
