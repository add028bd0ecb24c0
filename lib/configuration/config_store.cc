#include "skylarkshunt/configuration/config_store.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kBucketSeed = 0x6275636b;

bool IsAcceptable(const ConfigRecord& record) {
  if (record.key.size() > kMaxConfigKeyBytes ||
      record.body.size() > kMaxConfigBodyBytes) {
    return false;
  }
  return absl::StartsWith(record.key, kServicePrefix) ||
         absl::StartsWith(record.key, kDrainPrefix);
}

}  // namespace

size_t BucketOf(absl::string_view key) {
  return StableHash(key, kBucketSeed) % kBuckets;
}

ConfigStore::ConfigStore(size_t limit) : limit_(limit) {}

ApplyOutcome ConfigStore::Apply(absl::Time now, const ConfigRecord& record) {
  auto it = held_.find(record.key);
  if (it != held_.end() && record.revision <= it->second.record.revision) {
    return record.revision == it->second.record.revision ? ApplyOutcome::kEqual
                                                         : ApplyOutcome::kStale;
  }
  const bool full = it == held_.end() && held_.size() >= limit_;
  if (!IsAcceptable(record) || (full && !EvictOldestTombstone())) {
    ++refused_;
    return ApplyOutcome::kRefused;
  }
  highest_ = std::max(highest_, record.revision);
  const absl::Time deleted_since =
      record.deleted ? now : absl::InfiniteFuture();
  if (it == held_.end()) {
    held_.emplace(record.key, Held{record, deleted_since, record.deleted});
    ToggleHash(record);
    return ApplyOutcome::kApplied;
  }
  ToggleHash(it->second.record);
  it->second.record = record;
  it->second.deleted_since = deleted_since;
  it->second.first_seen_deleted =
      record.deleted && it->second.first_seen_deleted;
  ToggleHash(record);
  return ApplyOutcome::kApplied;
}

std::vector<ConfigRecord> ConfigStore::MissingFrom(
    Revision revision,
    absl::Span<const ConfigRecord> objects) const {
  absl::flat_hash_set<absl::string_view> listed;
  for (const ConfigRecord& object : objects)
    listed.insert(object.key);
  std::vector<ConfigRecord> tombstones;
  for (const auto& [key, held] : held_) {
    if (held.record.deleted || held.record.revision >= revision ||
        listed.contains(key)) {
      continue;
    }
    tombstones.push_back({key, revision, /*deleted=*/true, ""});
  }
  return tombstones;
}

size_t ConfigStore::DropExpired(absl::Time now) {
  const size_t before = held_.size();
  absl::erase_if(held_, [now](const auto& item) {
    return now - item.second.deleted_since >= kTombstoneRetention;
  });
  return before - held_.size();
}

const ConfigRecord* ConfigStore::Find(absl::string_view key) const {
  auto it = held_.find(key);
  return it == held_.end() ? nullptr : &it->second.record;
}

void ConfigStore::ForEach(
    absl::FunctionRef<void(const ConfigRecord&)> visit) const {
  for (const auto& item : held_)
    visit(item.second.record);
}

void ConfigStore::ForEachToPropagate(
    absl::Time now,
    BucketMask buckets,
    absl::FunctionRef<void(const ConfigRecord&)> visit) const {
  for (const auto& [key, held] : held_) {
    if ((buckets >> BucketOf(key) & 1) == 0)
      continue;
    if (held.first_seen_deleted ||
        now - held.deleted_since >= kTombstonePropagationPeriod)
      continue;
    visit(held.record);
  }
}

bool ConfigStore::EvictOldestTombstone() {
  auto oldest = held_.end();
  for (auto it = held_.begin(); it != held_.end(); ++it) {
    if (!it->second.record.deleted)
      continue;
    if (oldest == held_.end() ||
        it->second.deleted_since < oldest->second.deleted_since) {
      oldest = it;
    }
  }
  if (oldest == held_.end())
    return false;
  held_.erase(oldest);
  return true;
}

void ConfigStore::ToggleHash(const ConfigRecord& record) {
  if (record.deleted)
    return;
  const uint64_t hash = StableHash(record.key, ToNumber(record.revision));
  hashes_[BucketOf(record.key)] ^= hash;
}

}  // namespace skylarkshunt
