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

/// Buckets of a digest. A set of buckets is a mask with one bit per bucket.
inline constexpr size_t kBuckets = 64;
using BucketMask = uint64_t;
using BucketHashes = std::array<uint64_t, kBuckets>;

/// Returns whether `a` replaces `b` of the same uid: a strict total order over
/// incarnation, sequence, state and then the remaining fields, so that taking
/// the larger is commutative, associative and idempotent. Thread-safe.
bool Supersedes(const InstanceRecord& a, const InstanceRecord& b);

enum class MergeOutcome {
  kUnchanged,  ///< The held record is the same or newer.
  kAdded,
  kChanged,    ///< State, incarnation, addresses or slots changed.
  kRefreshed,  ///< Only the sequence or the applied revision rose.
  kRefused,    ///< The table is full of live records.
};

/// The bucket of an instance. Thread-safe.
size_t BucketOf(InstanceUid uid);

/// What one node knows of all instances. Not thread-safe.
class InstanceTable {
 public:
  explicit InstanceTable(size_t limit);

  /// Joins `record` into the table. When the table is full, the oldest down
  /// record makes room; without one the record is refused and counted.
  MergeOutcome Merge(absl::Time now, const InstanceRecord& record);

  /// Removes the record of `uid`, for tests of recovery and for renamed nodes.
  void Remove(InstanceUid uid);
  /// Drops down records older than kDownRetention. Returns how many.
  size_t DropExpired(absl::Time now);

  /// Returns the record of `uid` or null. It stays valid while the record
  /// is live; a down one may be dropped by the next change.
  const InstanceRecord* Find(InstanceUid uid) const;
  size_t size() const { return held_.size(); }
  uint64_t refused() const { return refused_; }

  /// One hash per bucket over the records that are not down; 0 is empty. Down
  /// records are left out because nodes drop them at different times.
  const BucketHashes& hashes() const { return hashes_; }

  /// Calls `visit` for every record.
  void ForEach(absl::FunctionRef<void(const InstanceRecord&)> visit) const;
  /// Calls `visit` for the records of `buckets` that are to be handed on: all
  /// but down records that are old or were learnt only as down.
  void ForEachToPropagate(
      absl::Time now,
      BucketMask buckets,
      absl::FunctionRef<void(const InstanceRecord&)> visit) const;

 private:
  struct Held {
    InstanceRecord record;
    /// When the record was first seen down.
    absl::Time down_since = absl::InfiniteFuture();
    bool learnt_down = false;
  };

  bool MakeRoom();
  void Toggle(const InstanceRecord& record);

  const size_t limit_;
  absl::node_hash_map<InstanceUid, Held> held_;
  BucketHashes hashes_{};
  uint64_t refused_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_INSTANCE_TABLE_H_
