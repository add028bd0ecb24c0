#ifndef SKYLARKSHUNT_CONFIGURATION_WATCHER_CHOICE_H_
#define SKYLARKSHUNT_CONFIGURATION_WATCHER_CHOICE_H_

#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// Number of entries of a region that watch the platform. It is constant, so
/// the number of platform calls does not grow with the fleet.
inline constexpr size_t kWatchersPerRegion = 3;

/// Returns the watchers of `region` among `entries`, the live entries of the
/// region, in rendezvous order. The first one writes the directory.
/// Thread-safe.
std::vector<InstanceUid> ChooseWatchers(
    absl::string_view region,
    absl::Span<const InstanceRecord* const> entries);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_WATCHER_CHOICE_H_
