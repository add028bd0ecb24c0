#include "recent_changes.h"

#include <algorithm>
#include <cmath>

#include "skylarkshunt/control/timing.h"

namespace skylarkshunt {
namespace {

constexpr size_t kFixedRecordBytes = 100;
constexpr size_t kFixedConfigBytes = 24;

}  // namespace

size_t EncodedBound(const InstanceRecord& record) {
  return kFixedRecordBytes + record.region.size() + record.data_centre.size();
}

size_t EncodedBound(const ConfigRecord& record) {
  return kFixedConfigBytes + record.key.size() + record.body.size();
}

size_t RecentChanges::SendsFor(Urgency urgency, size_t peers) {
  const double rounds = std::log2(static_cast<double>(peers + 1));
  // Progress is not urgent, so about a third of the sends are enough.
  if (urgency == Urgency::kProgress)
    return static_cast<size_t>(std::ceil(rounds)) + 1;
  return static_cast<size_t>(std::ceil(3 * rounds)) + 3;
}

void RecentChanges::AddInstance(InstanceUid uid,
                                Urgency urgency,
                                size_t peers) {
  auto it = instances_.find(uid);
  if (it == instances_.end() && size() >= kMaxRecentChanges)
    return;
  Pending& pending = instances_[uid];
  // The newer version includes an older routing change that is not fully sent
  // yet, so it stays urgent.
  if (pending.sends_left > 0 && pending.urgency == Urgency::kRouting)
    urgency = Urgency::kRouting;
  pending = {urgency, SendsFor(urgency, peers)};
}

void RecentChanges::AddConfig(const std::string& key, size_t peers) {
  if (!config_.contains(key) && size() >= kMaxRecentChanges)
    return;
  config_[key] = {Urgency::kRouting, SendsFor(Urgency::kRouting, peers)};
}

void RecentChanges::OnDuplicate(InstanceUid uid) {
  auto it = instances_.find(uid);
  if (it == instances_.end() || it->second.urgency != Urgency::kProgress)
    return;
  if (--it->second.sends_left == 0)
    instances_.erase(it);
}

std::vector<RecentChanges::Candidate> RecentChanges::Candidates(
    BucketMask buckets) {
  std::vector<Candidate> candidates;
  for (auto& [uid, pending] : instances_) {
    if ((buckets >> BucketOf(uid) & 1) != 0)
      candidates.push_back({&pending, uid, nullptr});
  }
  for (auto& [key, pending] : config_) {
    if ((buckets >> BucketOf(key) & 1) != 0)
      candidates.push_back({&pending, InstanceUid{}, &key});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              if (a.pending->urgency != b.pending->urgency)
                return a.pending->urgency < b.pending->urgency;
              if (a.pending->sends_left != b.pending->sends_left)
                return a.pending->sends_left > b.pending->sends_left;
              // Makes the order independent of that of the hash maps.
              if (a.uid != b.uid)
                return a.uid < b.uid;
              return a.key != nullptr && b.key != nullptr && *a.key < *b.key;
            });
  return candidates;
}

void RecentChanges::Take(const EntryState& state,
                         BucketMask buckets,
                         std::vector<InstanceRecord>& instances,
                         std::vector<ConfigRecord>& config) {
  size_t bytes = 0;
  for (const Candidate& candidate : Candidates(buckets)) {
    Pending& pending = *candidate.pending;
    const bool progress = pending.urgency == Urgency::kProgress;
    const size_t limit =
        progress ? kProgressBytesPerMessage : kRecentBytesPerMessage;
    const ConfigRecord* object =
        candidate.key == nullptr ? nullptr : state.store.Find(*candidate.key);
    const InstanceRecord* instance = state.table.Find(candidate.uid);
    if (object == nullptr && instance == nullptr) {
      pending.sends_left = 0;
      continue;
    }
    const size_t size =
        object != nullptr ? EncodedBound(*object) : EncodedBound(*instance);
    // A record larger than the limit is still sent if it is the first.
    if (bytes > 0 && bytes + size > limit)
      continue;
    bytes += size;
    --pending.sends_left;
    if (object != nullptr)
      config.push_back(*object);
    else
      instances.push_back(*instance);
  }
  RemoveFinished();
}

void RecentChanges::RemoveFinished() {
  absl::erase_if(instances_,
                 [](const auto& item) { return item.second.sends_left == 0; });
  absl::erase_if(config_,
                 [](const auto& item) { return item.second.sends_left == 0; });
}

}  // namespace skylarkshunt
