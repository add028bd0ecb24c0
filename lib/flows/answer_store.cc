#include "flows/answer_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "flows/agent_limits.h"

namespace skylarkshunt {
namespace {

size_t Cost(const StoredAnswer& answer) {
  return answer.body.size() + kAnswerOverheadBytes;
}

}  // namespace

uint32_t ChunkCount(size_t bytes) {
  if (bytes == 0)
    return 1;
  return static_cast<uint32_t>((bytes + kChunkBytes - 1) / kChunkBytes);
}

std::vector<Answer> MakeChunks(const StoredAnswer& answer,
                               uint32_t first,
                               uint32_t count) {
  std::vector<Answer> chunks;
  const uint32_t total = ChunkCount(answer.body.size());
  if (first >= total)
    return chunks;
  count = std::min({count, kMaxChunksPerFetch, total - first});
  for (uint32_t index = first; index < first + count; ++index) {
    Answer& chunk = chunks.emplace_back();
    chunk.request_id = answer.id;
    chunk.outcome = answer.outcome;
    chunk.status = answer.status;
    chunk.chunk_index = index;
    chunk.chunk_count = total;
    chunk.total_bytes = answer.body.size();
    chunk.body = answer.body.substr(index * kChunkBytes, kChunkBytes);
  }
  return chunks;
}

AnswerStore::AnswerStore(size_t capacity_bytes)
    : capacity_bytes_(capacity_bytes) {}

void AnswerStore::Put(StoredAnswer answer) {
  const absl::Time now = answer.stored;
  Drop(now, answer.id);
  if (Cost(answer) > capacity_bytes_) {
    RecordDropped(now, answer.id);
    return;
  }
  while (bytes_ + Cost(answer) > capacity_bytes_)
    Drop(now, RequestId(by_age_.front().id));
  bytes_ += Cost(answer);
  by_age_.push_back(std::move(answer));
  answers_.emplace(by_age_.back().id, std::prev(by_age_.end()));
}

const StoredAnswer* AnswerStore::Find(const RequestId& id) const {
  const auto found = answers_.find(id);
  return found == answers_.end() ? nullptr : &*found->second;
}

void AnswerStore::Drop(absl::Time now, const RequestId& id) {
  const auto found = answers_.find(id);
  if (found == answers_.end())
    return;
  RecordDropped(now, id);
  bytes_ -= Cost(*found->second);
  by_age_.erase(found->second);
  answers_.erase(found);
}

void AnswerStore::RemoveExpired(absl::Time now) {
  while (!by_age_.empty() && by_age_.front().stored + kAnswerRetention <= now)
    Drop(now, RequestId(by_age_.front().id));
  while (!dropped_by_age_.empty() &&
         dropped_by_age_.front().dropped + kLedgerHorizon <= now) {
    dropped_.erase(dropped_by_age_.front().id);
    dropped_by_age_.pop_front();
  }
}

absl::Time AnswerStore::newest() const {
  return by_age_.empty() ? absl::InfinitePast() : by_age_.back().stored;
}

void AnswerStore::RecordDropped(absl::Time now, const RequestId& id) {
  if (!dropped_.insert(id).second)
    return;
  dropped_by_age_.push_back(DroppedAnswer{id, now});
  if (dropped_by_age_.size() <= kMaxDroppedAnswerIds)
    return;
  dropped_.erase(dropped_by_age_.front().id);
  dropped_by_age_.pop_front();
}

}  // namespace skylarkshunt
