#include "skylarkshunt/configuration/watcher_choice.h"

#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/membership/rendezvous.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kWatcherSeed = 0x77617463;

}  // namespace

std::vector<InstanceUid> ChooseWatchers(
    absl::string_view region,
    absl::Span<const InstanceRecord* const> entries) {
  std::vector<InstanceUid> watchers;
  for (const InstanceRecord* entry : RankEntries(
           StableHash(region, kWatcherSeed), entries, kWatchersPerRegion)) {
    watchers.push_back(entry->uid);
  }
  return watchers;
}

}  // namespace skylarkshunt
