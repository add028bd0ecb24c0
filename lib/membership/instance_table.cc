#include "skylarkshunt/membership/instance_table.h"

#include <tuple>

#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kVersionSeed = 0x696e7374;

uint64_t PackEndpoint(Endpoint endpoint) {
  return uint64_t{endpoint.address} << 16 | endpoint.port;
}

auto OrderOf(const InstanceRecord& r) {
  return std::make_tuple(r.incarnation, r.sequence, r.state, r.role, r.service,
                         PackEndpoint(r.data), PackEndpoint(r.control),
                         PackEndpoint(r.admin), PackEndpoint(r.target), r.slots,
                         r.applied, std::cref(r.region),
                         std::cref(r.data_centre));
}

bool SameButForProgress(const InstanceRecord& a, const InstanceRecord& b) {
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.role == b.role && a.service == b.service && a.data == b.data &&
         a.control == b.control && a.admin == b.admin && a.target == b.target &&
         a.slots == b.slots && a.region == b.region &&
         a.data_centre == b.data_centre;
}

uint64_t VersionHash(const InstanceRecord& r) {
  uint64_t hash = StableHash(ToNumber(r.uid), kVersionSeed);
  hash = StableHash(ToNumber(r.incarnation), hash);
  return StableHash(r.sequence << 3 | static_cast<uint64_t>(r.state), hash);
}

bool IsDown(const InstanceRecord& record) {
  return record.state == InstanceState::kDown;
}

}  // namespace

absl::string_view InstanceStateName(InstanceState state) {
  switch (state) {
    case InstanceState::kServing:
      return "serving";
    case InstanceState::kEjected:
      return "ejected";
    case InstanceState::kDraining:
      return "draining";
    case InstanceState::kLeaving:
      return "leaving";
    case InstanceState::kDown:
      return "down";
  }
  return "unknown";
}

bool Supersedes(const InstanceRecord& a, const InstanceRecord& b) {
  return OrderOf(a) > OrderOf(b);
}

size_t BucketOf(InstanceUid uid) {
  return ToNumber(uid) % kBuckets;
}

InstanceTable::InstanceTable(size_t limit) : limit_(limit) {}

MergeOutcome InstanceTable::Merge(absl::Time now,
                                  const InstanceRecord& record) {
  auto it = held_.find(record.uid);
  if (it == held_.end()) {
    if (held_.size() >= limit_ && !MakeRoom()) {
      ++refused_;
      return MergeOutcome::kRefused;
    }
    const bool down = IsDown(record);
    held_.emplace(record.uid,
                  Held{record, down ? now : absl::InfiniteFuture(), down});
    Toggle(record);
    return MergeOutcome::kAdded;
  }
  Held& held = it->second;
  if (!Supersedes(record, held.record))
    return MergeOutcome::kUnchanged;
  const bool progress_only = SameButForProgress(record, held.record);
  Toggle(held.record);
  held.record = record;
  Toggle(held.record);
  if (!IsDown(record)) {
    held.down_since = absl::InfiniteFuture();
    held.learnt_down = false;
  } else if (held.down_since == absl::InfiniteFuture()) {
    held.down_since = now;
  }
  return progress_only ? MergeOutcome::kRefreshed : MergeOutcome::kChanged;
}

void InstanceTable::Remove(InstanceUid uid) {
  auto it = held_.find(uid);
  if (it == held_.end())
    return;
  Toggle(it->second.record);
  held_.erase(it);
}

size_t InstanceTable::DropExpired(absl::Time now) {
  const size_t before = held_.size();
  absl::erase_if(held_, [now](const auto& item) {
    return now - item.second.down_since >= kDownRetention;
  });
  return before - held_.size();
}

const InstanceRecord* InstanceTable::Find(InstanceUid uid) const {
  auto it = held_.find(uid);
  return it == held_.end() ? nullptr : &it->second.record;
}

void InstanceTable::ForEach(
    absl::FunctionRef<void(const InstanceRecord&)> visit) const {
  for (const auto& item : held_)
    visit(item.second.record);
}

void InstanceTable::ForEachToPropagate(
    absl::Time now,
    BucketMask buckets,
    absl::FunctionRef<void(const InstanceRecord&)> visit) const {
  for (const auto& item : held_) {
    const Held& held = item.second;
    if ((buckets >> BucketOf(item.first) & 1) == 0)
      continue;
    if (held.learnt_down || now - held.down_since >= kDownPropagationPeriod)
      continue;
    visit(held.record);
  }
}

bool InstanceTable::MakeRoom() {
  auto oldest = held_.end();
  for (auto it = held_.begin(); it != held_.end(); ++it) {
    if (!IsDown(it->second.record))
      continue;
    if (oldest == held_.end() ||
        it->second.down_since < oldest->second.down_since) {
      oldest = it;
    }
  }
  if (oldest == held_.end())
    return false;
  held_.erase(oldest);
  return true;
}

void InstanceTable::Toggle(const InstanceRecord& record) {
  if (!IsDown(record))
    hashes_[BucketOf(record.uid)] ^= VersionHash(record);
}

}  // namespace skylarkshunt
