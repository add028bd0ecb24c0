#include "watcher_role.h"

#include <algorithm>

#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/configuration/watcher_choice.h"
#include "skylarkshunt/control/timing.h"
#include "skylarkshunt/membership/rendezvous.h"

namespace skylarkshunt {

void WatcherRole::Tick(absl::Time now, EntryControlActions& actions) {
  if (version_ != state_.region_version()) {
    version_ = state_.region_version();
    const std::vector<InstanceUid> watchers =
        ChooseWatchers(state_.self.region, state_.RegionEntries());
    const InstanceUid own = state_.self.uid;
    const bool was_chosen = chosen_;
    chosen_ =
        std::find(watchers.begin(), watchers.end(), own) != watchers.end();
    first_ = !watchers.empty() && watchers.front() == own;
    if (chosen_ && !was_chosen)
      chosen_since_ = now;
  }
  const bool watching = chosen_ && now - chosen_since_ >= kWatcherRoleDelay;
  if (watching != watching_) {
    watching_ = watching;
    actions.push_back(WatcherRoleChanged{watching});
  }
  if (!watching || !first_) {
    // Another entry may write meanwhile.
    written_.clear();
    return;
  }
  if (now - written_at_ < kDirectoryInterval)
    return;
  std::vector<Endpoint> entries = DirectoryEntries();
  if (entries == written_)
    return;
  written_ = entries;
  written_at_ = now;
  actions.push_back(WriteDirectory{std::move(entries)});
}

std::vector<Endpoint> WatcherRole::DirectoryEntries() {
  std::vector<Endpoint> entries;
  for (const InstanceRecord* entry :
       RankEntries(StableHash(state_.self.region, 0), state_.RegionEntries(),
                   kMaxDirectoryEntries)) {
    entries.push_back(entry->control);
  }
  return entries;
}

}  // namespace skylarkshunt
