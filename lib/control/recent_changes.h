#ifndef SKYLARKSHUNT_LIB_CONTROL_RECENT_CHANGES_H_
#define SKYLARKSHUNT_LIB_CONTROL_RECENT_CHANGES_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "entry_state.h"
#include "skylarkshunt/control/messages.h"

namespace skylarkshunt {

/// Return upper bounds of the encoded size of `record`, in bytes. Thread-safe.
size_t EncodedBound(const InstanceRecord& record);
size_t EncodedBound(const ConfigRecord& record);

/// Changes that are still to be sent, each a number of times. Stores up to
/// kMaxRecentChanges; the digest covers further ones. Not thread-safe.
class RecentChanges {
 public:
  /// Whether routing needs the change.
  enum class Urgency { kRouting, kProgress };

  void AddInstance(InstanceUid uid, Urgency urgency, size_t peers);
  void AddConfig(const std::string& key, size_t peers);
  /// A peer sent a record that is already held here. A progress change is then
  /// sent one time fewer, because other peers know it already.
  void OnDuplicate(InstanceUid uid);

  /// Appends changes in `buckets` to the lists and counts them as sent. Routing
  /// changes come before progress, then changes with the most sends left.
  void Take(const EntryState& state,
            BucketMask buckets,
            std::vector<InstanceRecord>& instances,
            std::vector<ConfigRecord>& config);

  size_t size() const { return instances_.size() + config_.size(); }

 private:
  struct Pending {
    Urgency urgency = Urgency::kRouting;
    size_t sends_left = 0;
  };
  /// One change considered for a message; `key` is null for an instance.
  struct Candidate {
    Pending* pending;
    InstanceUid uid;
    const std::string* key;
  };

  static size_t SendsFor(Urgency urgency, size_t peers);
  std::vector<Candidate> Candidates(BucketMask buckets);
  void RemoveFinished();

  absl::flat_hash_map<InstanceUid, Pending> instances_;
  absl::flat_hash_map<std::string, Pending> config_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_RECENT_CHANGES_H_
