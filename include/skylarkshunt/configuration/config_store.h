#ifndef SKYLARKSHUNT_CONFIGURATION_CONFIG_STORE_H_
#define SKYLARKSHUNT_CONFIGURATION_CONFIG_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/configuration/config_record.h"
#include "skylarkshunt/membership/instance_table.h"

namespace skylarkshunt {

/// How long a deleted key is remembered.
inline constexpr absl::Duration kTombstoneRetention = absl::Hours(24);
/// How long a tombstone is handed on; shorter than the retention, so that nodes
/// that dropped it do not receive it again.
inline constexpr absl::Duration kTombstonePropagationPeriod = absl::Hours(12);
/// Records of configuration that a node holds.
inline constexpr size_t kMaxConfigRecords = 20000;
/// Largest body of a record, in bytes, so that each fits into one message.
inline constexpr size_t kMaxConfigBodyBytes = size_t{64} * 1024;
/// Longest key, in bytes.
inline constexpr size_t kMaxConfigKeyBytes = 256;

inline constexpr char kServicePrefix[] = "services/";
inline constexpr char kDrainPrefix[] = "drains/";

enum class ApplyOutcome {
  kApplied,
  kEqual,    ///< The held record has this revision.
  kStale,    ///< The held record is newer.
  kRefused,  ///< Full, oversized, or neither a service nor a drain.
};

/// The bucket of a key. Thread-safe.
size_t BucketOf(absl::string_view key);

/// The newest record of each key that a node has seen. Not thread-safe.
class ConfigStore {
 public:
  explicit ConfigStore(size_t limit);

  /// Takes `record` when its revision is higher than the held one. When the
  /// store is full, the oldest tombstone makes room; without one a new key is
  /// refused and counted.
  ApplyOutcome Apply(absl::Time now, const ConfigRecord& record);

  /// Returns tombstones at `revision` for the keys held at a lower revision
  /// that the complete list `objects` lacks.
  std::vector<ConfigRecord> MissingFrom(
      Revision revision,
      absl::Span<const ConfigRecord> objects) const;

  /// Drops tombstones older than kTombstoneRetention. Returns how many.
  size_t DropExpired(absl::Time now);

  /// Returns the record of `key` or null. Valid until the store changes.
  const ConfigRecord* Find(absl::string_view key) const;
  /// Highest revision ever applied here.
  Revision highest() const { return highest_; }
  size_t size() const { return held_.size(); }
  uint64_t refused() const { return refused_; }

  /// One hash per bucket over the records that are not deleted; 0 is empty.
  const BucketHashes& hashes() const { return hashes_; }
  void ForEach(absl::FunctionRef<void(const ConfigRecord&)> visit) const;
  /// Calls `visit` for the records of `buckets` that are to be handed on: all
  /// but tombstones that are old or of keys first learnt as deleted.
  void ForEachToPropagate(
      absl::Time now,
      BucketMask buckets,
      absl::FunctionRef<void(const ConfigRecord&)> visit) const;

 private:
  struct Held {
    ConfigRecord record;
    absl::Time deleted_since = absl::InfiniteFuture();
    bool first_seen_deleted = false;
  };

  bool EvictOldestTombstone();
  void ToggleHash(const ConfigRecord& record);

  const size_t limit_;
  absl::flat_hash_map<std::string, Held> held_;
  BucketHashes hashes_{};
  Revision highest_{};
  uint64_t refused_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_CONFIG_STORE_H_
