#ifndef SKYLARKSHUNT_LIB_CONTROL_ENTRY_STATE_H_
#define SKYLARKSHUNT_LIB_CONTROL_ENTRY_STATE_H_

#include <vector>

#include "skylarkshunt/configuration/config_store.h"
#include "skylarkshunt/membership/instance_table.h"
#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {

/// State shared by the parts of one entry's control. Not thread-safe.
class EntryState {
 public:
  explicit EntryState(InstanceRecord own);

  /// Returns the entries of this region that are neither leaving nor down,
  /// including this one: the candidates for relays, monitors and watchers.
  /// Valid until the table changes.
  const std::vector<const InstanceRecord*>& RegionEntries();
  /// Returns the entries of all regions that are not down, except this one.
  /// Valid until the table changes.
  const std::vector<const InstanceRecord*>& LivePeers();
  /// Must be called after each change of an entry's record.
  void EntriesChanged() { stale_ = true; }
  /// Returns the number of changes of RegionEntries() so far.
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
