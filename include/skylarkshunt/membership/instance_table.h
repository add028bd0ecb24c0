#ifndef SKYLARKSHUNT_MEMBERSHIP_INSTANCE_TABLE_H_
#define SKYLARKSHUNT_MEMBERSHIP_INSTANCE_TABLE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "absl/container/node_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// Number of buckets of a digest. A set of buckets is a mask with one bit per
/// bucket.
inline constexpr size_t kBuckets = 64;
using BucketMask = uint64_t;
using BucketHashes = std::array<uint64_t, kBuckets>;

/// Returns whether `a` replaces `b`, which has the same uid. This is a strict
/// total order over incarnation, sequence, state and then the remaining fields,
/// which makes merging commutative, associative and idempotent. Thread-safe.
bool Supersedes(const InstanceRecord& a, const InstanceRecord& b);

enum class MergeOutcome {
  kUnchanged,  ///< The held record is the same or newer.
  kAdded,
  kChanged,    ///< State, incarnation, addresses or slots changed.
  kRefreshed,  ///< Only the sequence or the applied revision rose.
  kRefused,    ///< The table is full of live records.
};

/// Returns the bucket of an instance. Thread-safe.
size_t BucketOf(InstanceUid uid);

/// One node's records of all instances. Not thread-safe.
class InstanceTable {
 public:
  explicit InstanceTable(size_t limit);

  /// Merges `record` into the table. A new record in a full table evicts the
  /// oldest down record; if there is none, it is refused and counted.
  MergeOutcome Merge(absl::Time now, const InstanceRecord& record);

  /// Removes the record of `uid`, for recovery tests and renamed nodes.
  void Remove(InstanceUid uid);
  /// Removes down records older than kDownRetention. Returns their number.
  size_t DropExpired(absl::Time now);

  /// Returns the record of `uid` or null. The pointer stays valid while the
  /// record is not down; the next change may remove a down record.
  const InstanceRecord* Find(InstanceUid uid) const;
  size_t size() const { return held_.size(); }
  uint64_t refused() const { return refused_; }

  /// Returns one hash per bucket over the records that are not down; 0 means
  /// empty. Down records are excluded because nodes remove them at different
  /// times.
  const BucketHashes& hashes() const { return hashes_; }

  /// Calls `visit` for every record.
  void ForEach(absl::FunctionRef<void(const InstanceRecord&)> visit) const;
  /// Calls `visit` for the records of `buckets` that are to be propagated.
  /// Leaves out down records that are older than kDownPropagationPeriod or were
  /// already down when first received.
  void ForEachToPropagate(
      absl::Time now,
      BucketMask buckets,
      absl::FunctionRef<void(const InstanceRecord&)> visit) const;

 private:
  struct Held {
    InstanceRecord record;
    /// When the record was first seen down.
    absl::Time down_since = absl::InfiniteFuture();
    /// Whether the record was already down when first received.
    bool first_seen_down = false;
  };

  /// Evicts the oldest down record. Returns whether there was one.
  bool EvictOldestDown();
  /// Adds `record` to the hash of its bucket or, if it is in it, removes it.
  void ToggleHash(const InstanceRecord& record);

  const size_t limit_;
  absl::node_hash_map<InstanceUid, Held> held_;
  BucketHashes hashes_{};
  uint64_t refused_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_INSTANCE_TABLE_H_
