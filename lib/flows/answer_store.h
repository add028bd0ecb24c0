#ifndef SKYLARKSHUNT_FLOWS_ANSWER_STORE_H_
#define SKYLARKSHUNT_FLOWS_ANSWER_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/edge/messages.h"

namespace skylarkshunt {

/// An answer of the target.
struct StoredAnswer {
  RequestId id;
  Outcome outcome = Outcome::kOk;
  uint16_t status = 0;
  std::string body;
  absl::Time stored;
};

/// Returns the number of chunks of an answer of `bytes`; 1 for an empty one.
uint32_t ChunkCount(size_t bytes);

/// Returns up to kMaxChunksPerFetch chunks of `answer` from `first` on, at most
/// `count`; none beyond its end.
std::vector<Answer> MakeChunks(const StoredAnswer& answer,
                               uint32_t first,
                               uint32_t count);

/// Retains answers for retransmissions and fetches. Not thread-safe.
class AnswerStore {
 public:
  explicit AnswerStore(size_t capacity_bytes);

  /// Retains `answer` and drops the oldest ones when the store is full. An
  /// answer larger than the store counts as dropped at once.
  void Put(StoredAnswer answer);

  /// Returns the answer, or null. The pointer is valid until the next Put(),
  /// Drop() or RemoveExpired().
  const StoredAnswer* Find(const RequestId& id) const;

  /// Whether an answer was retained for `id` and then dropped.
  bool WasDropped(const RequestId& id) const { return dropped_.contains(id); }

  /// Drops the answer. Unknown ids are ignored.
  void Drop(absl::Time now, const RequestId& id);

  void RemoveExpired(absl::Time now);

  /// Returns when the newest retained answer was stored; InfinitePast if none.
  absl::Time newest() const;
  size_t bytes() const { return bytes_; }

 private:
  struct DroppedAnswer {
    RequestId id;
    absl::Time dropped;
  };

  void RecordDropped(absl::Time now, const RequestId& id);

  const size_t capacity_bytes_;
  size_t bytes_ = 0;
  // Oldest first.
  std::list<StoredAnswer> by_age_;
  absl::flat_hash_map<RequestId, std::list<StoredAnswer>::iterator> answers_;
  absl::flat_hash_set<RequestId> dropped_;
  std::deque<DroppedAnswer> dropped_by_age_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_ANSWER_STORE_H_
