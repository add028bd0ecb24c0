#ifndef SKYLARKSHUNT_LIB_CONTROL_WATCHER_ROLE_H_
#define SKYLARKSHUNT_LIB_CONTROL_WATCHER_ROLE_H_

#include <vector>

#include "entry_state.h"
#include "skylarkshunt/control/entry_control.h"

namespace skylarkshunt {

/// Whether this entry watches the platform and writes the directory. Not
/// thread-safe.
class WatcherRole {
 public:
  explicit WatcherRole(EntryState& state) : state_(state) {}

  /// Appends a WatcherRoleChanged and a WriteDirectory when they are due.
  void Tick(absl::Time now, EntryControlActions& actions);

 private:
  std::vector<Endpoint> DirectoryEntries();

  EntryState& state_;
  uint64_t version_ = 0;
  bool chosen_ = false;
  bool first_ = false;
  bool watching_ = false;
  absl::Time chosen_since_ = absl::InfiniteFuture();
  absl::Time written_at_ = absl::InfinitePast();
  /// What this entry wrote last while it was the first watcher.
  std::vector<Endpoint> written_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_WATCHER_ROLE_H_
