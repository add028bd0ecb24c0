#ifndef SKYLARKSHUNT_FORWARDING_EVACUATIONS_H_
#define SKYLARKSHUNT_FORWARDING_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "skylarkshunt/configuration/config_record.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/receiver_turn.h"

namespace skylarkshunt {

/// The objects of the store that each evacuate the data centre of their name.
/// Only the names count: a request to evacuate must not fail because of a body
/// that nobody reads. Pure and not thread-safe.
class EvacuationObjects {
 public:
  /// Records that were not used.
  struct Ignored {
    size_t count = 0;
    /// Beginning of the key of the first one, and what is wrong with it.
    std::string first;
    absl::string_view reason;
  };

  /// `prefix` is the common beginning of the objects' keys.
  explicit EvacuationObjects(absl::string_view prefix) : prefix_(prefix) {}

  /// Replaces the objects by those of a list. Records with unexpected names,
  /// and those beyond kMaxObjects, are ignored.
  Ignored Replace(absl::Span<const ConfigRecord> listed);
  /// As Replace(), for the first list of a store that was restored from an
  /// older copy. Objects that it lacks count on until DropLost(), since the
  /// operator may not have written them again yet.
  Ignored ReplaceRestored(absl::Span<const ConfigRecord> listed);
  /// Removes the objects that the restored store still lacks.
  void DropLost() { lost_.clear(); }
  /// Returns the number of objects that count although the store lacks them.
  size_t lost() const { return lost_.size(); }
  /// Applies the changes of a watch in their order.
  Ignored Apply(absl::Span<const ConfigRecord> changes);
  /// Whether there is room again for objects that were ignored beyond
  /// kMaxObjects, so that a list is needed.
  bool needs_list() const {
    return is_truncated_ && objects_.size() < kMaxObjects;
  }

  /// Returns the data centres as in EvacuationSet.
  std::vector<uint32_t> DataCentres() const;

  /// Maximum number of objects. Most name no data centre of the deployment if
  /// there are this many, since a deployment has a few. Further ones have no
  /// effect until others are removed.
  static constexpr size_t kMaxObjects = 4'096;

 private:
  const std::string prefix_;
  /// StableHash() of the names.
  absl::flat_hash_set<uint64_t> objects_;
  /// StableHash() of names that were in objects_ before the store was restored
  /// and that it has not shown since. At most 2 * kMaxObjects.
  absl::flat_hash_set<uint64_t> lost_;
  bool is_truncated_ = false;
};

/// Decides which data centres an entry sends no new flow to. What the entry
/// itself reads from the store counts. While its reads fail, the set of another
/// entry counts if its revision is higher; if the store was restored since, in
/// addition to the last set, of which the store may have lost a part. Pure and
/// not thread-safe.
class EvacuationState {
 public:
  /// Records a successful read, which found `set`. Returns whether the data
  /// centres in force changed or became known. So do the next two.
  bool OnStoreAnswered(EvacuationSet set);
  /// Records that a read failed. The last set remains in force unless another
  /// entry has reported a newer one since the last successful read.
  bool OnStoreFailed();
  /// Records the set of another entry. Revision 0 means that it has none.
  bool OnPeerSet(EvacuationSet set);

  /// Whether any set is known. An entry knows none before its first read.
  bool is_known() const { return is_known_; }
  bool is_store_answering() const { return is_store_answering_; }
  const EvacuationSet& in_force() const { return in_force_; }

  /// Returns a report of the set in force for other entries. If it exceeds
  /// kMaxReportedEvacuations, the data centres in `known` are preferred.
  EvacuationReport MakeReport(absl::Span<const uint32_t> known) const;
  /// Returns the entries among `present` that get the next regular report: at
  /// most kMaxReceivers, in turn.
  std::vector<uint32_t> NextReceivers(std::vector<uint32_t> present) {
    return turn_.Next(std::move(present), kMaxReceivers);
  }

  /// Maximum number of entries that get a regular report, of which there is one
  /// in a second. A report has 50 bytes, so that they take 1.2 KB/s.
  static constexpr size_t kMaxReceivers = 24;

 private:
  bool Adopt(EvacuationSet set);

  EvacuationSet in_force_;
  bool is_known_ = false;
  bool is_store_answering_ = false;
  /// The newest set that another entry reported since the last successful read.
  absl::optional<EvacuationSet> peer_set_;
  ReceiverTurn turn_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_EVACUATIONS_H_
