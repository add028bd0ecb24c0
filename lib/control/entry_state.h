#ifndef SKYLARKSHUNT_LIB_CONTROL_ENTRY_STATE_H_
#define SKYLARKSHUNT_LIB_CONTROL_ENTRY_STATE_H_

#include <vector>

#include "skylarkshunt/configuration/config_store.h"
#include "skylarkshunt/membership/instance_table.h"
#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {

/// What the parts of one entry's control share. Not thread-safe.
class EntryState {
 public:
  explicit EntryState(InstanceRecord own);

  /// Entries of this region that serve, this one included: candidates for
  /// relays, monitors and watchers. Valid until the table changes.
  const std::vector<const InstanceRecord*>& RegionEntries();
  /// Entries of any region that are not down, without this one.
  const std::vector<const InstanceRecord*>& LivePeers();
  /// Must follow each change of an entry's record.
  void EntriesChanged() { stale_ = true; }
  /// Counts the changes of RegionEntries().
  uint64_t region_version();

  InstanceRecord self;
  InstanceTable table;
  ConfigStore store;

 private:
  void Refresh();

  bool stale_ = true;
  uint64_t region_version_ = 0;
  std::vector<const InstanceRecord*> region_entries_;
  std::vector<const InstanceRecord*> live_peers_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_ENTRY_STATE_H_
