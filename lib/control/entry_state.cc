#include "entry_state.h"

#include <algorithm>
#include <utility>

namespace skylarkshunt {

EntryState::EntryState(InstanceRecord own)
    : self(std::move(own)), table(kMaxInstances), store(kMaxConfigRecords) {
  table.Merge(absl::UnixEpoch(), self);
}

const std::vector<const InstanceRecord*>& EntryState::RegionEntries() {
  Refresh();
  return region_entries_;
}

const std::vector<const InstanceRecord*>& EntryState::LivePeers() {
  Refresh();
  return live_peers_;
}

uint64_t EntryState::region_version() {
  Refresh();
  return region_version_;
}

void EntryState::Refresh() {
  if (!stale_)
    return;
  stale_ = false;
  std::vector<const InstanceRecord*> before = std::move(region_entries_);
  region_entries_.clear();
  live_peers_.clear();
  table.ForEach([this](const InstanceRecord& record) {
    if (record.role != Role::kEntry || record.state == InstanceState::kDown)
      return;
    if (record.uid != self.uid)
      live_peers_.push_back(&record);
    if (record.region == self.region && record.state < InstanceState::kLeaving)
      region_entries_.push_back(&record);
  });
  const auto by_uid = [](const InstanceRecord* a, const InstanceRecord* b) {
    return a->uid < b->uid;
  };
  std::sort(live_peers_.begin(), live_peers_.end(), by_uid);
  std::sort(region_entries_.begin(), region_entries_.end(), by_uid);
  if (region_entries_ != before)
    ++region_version_;
}

}  // namespace skylarkshunt
