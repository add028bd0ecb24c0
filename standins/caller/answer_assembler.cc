#include "standins/caller/answer_assembler.h"

#include <algorithm>

#include "standins/work/work_order.h"

namespace skylarkshunt {
namespace {

uint64_t ChunksOf(uint64_t total_bytes) {
  return std::max<uint64_t>(1, (total_bytes + kChunkBytes - 1) / kChunkBytes);
}

}  // namespace

bool AnswerAssembler::Fits(const Answer& answer) const {
  if (answer.total_bytes > kMaxAnswerBytes)
    return false;
  if (answer.chunk_count != ChunksOf(answer.total_bytes) ||
      answer.chunk_index >= answer.chunk_count) {
    return false;
  }
  const uint64_t offset = uint64_t{answer.chunk_index} * kChunkBytes;
  if (answer.body.size() !=
      std::min<uint64_t>(kChunkBytes, answer.total_bytes - offset)) {
    return false;
  }
  return !started() || answer.total_bytes == body_.size();
}

AnswerAssembler::Added AnswerAssembler::Add(const Answer& answer) {
  if (!Fits(answer))
    return Added::kRejected;
  if (!started()) {
    chunk_count_ = answer.chunk_count;
    has_.assign(chunk_count_, false);
    body_.assign(answer.total_bytes, '\0');
  }
  if (has_[answer.chunk_index])
    return Added::kDuplicate;
  has_[answer.chunk_index] = true;
  ++received_;
  std::copy(answer.body.begin(), answer.body.end(),
            body_.begin() +
                static_cast<std::ptrdiff_t>(answer.chunk_index * kChunkBytes));
  return Added::kNew;
}

bool AnswerAssembler::Has(ChunkRange range) const {
  const auto first = has_.begin() + range.first;
  return std::all_of(first, first + range.count, [](bool has) { return has; });
}

ChunkRange AnswerAssembler::FirstMissing() const {
  const auto first = std::find(has_.begin(), has_.end(), false);
  const auto end = std::find(first, has_.end(), true);
  return ChunkRange{
      static_cast<uint32_t>(first - has_.begin()),
      std::min(kMaxChunksPerFetch, static_cast<uint32_t>(end - first))};
}

}  // namespace skylarkshunt
