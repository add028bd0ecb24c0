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

/// How long the tombstone of a deleted key is kept.
inline constexpr absl::Duration kTombstoneRetention = absl::Hours(24);
/// How long a tombstone is propagated. Shorter than the retention: nodes that
/// have dropped a tombstone must not receive it again.
inline constexpr absl::Duration kTombstonePropagationPeriod = absl::Hours(12);
/// Maximum number of configuration records that a node holds.
inline constexpr size_t kMaxConfigRecords = 20000;
/// Maximum size of a record's body, in bytes; each record fits into one
/// message.
inline constexpr size_t kMaxConfigBodyBytes = size_t{64} * 1024;
/// Maximum length of a key, in bytes.
inline constexpr size_t kMaxConfigKeyBytes = 256;

inline constexpr char kServicePrefix[] = "services/";
inline constexpr char kDrainPrefix[] = "drains/";

enum class ApplyOutcome {
  kApplied,
  kEqual,    ///< The held record has this revision.
  kStale,    ///< The held record is newer.
  kRefused,  ///< Store full, or oversized, or neither a service nor a drain.
};

/// Returns the hash bucket of `key`. Thread-safe.
size_t BucketOf(absl::string_view key);

/// The newest record of each key that a node has seen. Not thread-safe.
class ConfigStore {
 public:
  explicit ConfigStore(size_t limit);

  /// Stores `record` if its revision is higher than that of the held record of
  /// its key. When the store is full, a new key evicts the oldest tombstone;
  /// without a tombstone the record is refused and counted.
  ApplyOutcome Apply(absl::Time now, const ConfigRecord& record);

  /// Returns a tombstone with `revision` for each key that is held at a lower
  /// revision and missing from `objects`, the complete list at `revision`.
  std::vector<ConfigRecord> MissingFrom(
      Revision revision,
      absl::Span<const ConfigRecord> objects) const;

  /// Drops tombstones kept for kTombstoneRetention. Returns their number.
  size_t DropExpired(absl::Time now);

  /// Returns the record of `key`, or null. Valid until the store changes.
  const ConfigRecord* Find(absl::string_view key) const;
  /// Highest revision ever applied to this store.
  Revision highest() const { return highest_; }
  size_t size() const { return held_.size(); }
  uint64_t refused() const { return refused_; }

  /// One hash per bucket over the records that are not deleted; 0 if empty.
  const BucketHashes& hashes() const { return hashes_; }
  void ForEach(absl::FunctionRef<void(const ConfigRecord&)> visit) const;
  /// Calls `visit` for the records of `buckets` to propagate: all but
  /// tombstones that are older than kTombstonePropagationPeriod or whose key
  /// was already deleted when this store first received it.
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
