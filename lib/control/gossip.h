#ifndef SKYLARKSHUNT_LIB_CONTROL_GOSSIP_H_
#define SKYLARKSHUNT_LIB_CONTROL_GOSSIP_H_

#include <array>
#include <deque>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "entry_state.h"
#include "recent_changes.h"
#include "skylarkshunt/control/entry_control.h"

namespace skylarkshunt {

/// Chooses the peers of an entry's pushes and builds pushes and replies. The
/// caller merges the received records. Not thread-safe.
class Gossip {
 public:
  Gossip(EntryState& state, uint64_t random_seed);

  RecentChanges& recent() { return recent_; }

  /// Adds control endpoints that may be entries. Beyond kMaxContacts each
  /// replaces a random one.
  void AddContacts(absl::Span<const Endpoint> contacts);

  /// Appends the push that is due at `now`, if any.
  void Tick(absl::Time now, EntryControlActions& actions);

  /// Returns the reply to `push`. Precondition: its records are merged.
  GossipReply MakeReply(absl::Time now, const GossipPush& push);
  /// Schedules the transfer that `reply` requests. Precondition: its records
  /// are merged.
  void OnReply(absl::Time now, const GossipReply& reply);
  void OnSendFailed(absl::Time now, Endpoint peer);

 private:
  /// Records to be sent to `peer` with the next push to it.
  struct Transfer {
    InstanceUid peer{};
    std::vector<InstanceUid> instances;
    std::vector<std::string> keys;
  };
  /// State of the comparison of a bucket with those of the peers.
  struct BucketView {
    uint64_t hash = 0;
    absl::Time changed = absl::InfinitePast();
    absl::Time differs_since = absl::InfiniteFuture();
  };

  uint64_t HashOf(size_t bucket) const;
  std::vector<uint64_t> Digest() const;
  BucketMask Compare(absl::Time now, absl::Span<const uint64_t> digest);
  BucketMask DueBuckets(absl::Time now,
                        BucketMask differing,
                        absl::Span<const uint64_t> digest);
  void AddBuckets(absl::Time now, BucketMask due, GossipReply& reply);

  absl::optional<Endpoint> NextPeer(absl::Time now);
  absl::optional<Endpoint> RandomLivePeer(absl::Time now);
  absl::optional<Endpoint> RandomContact(absl::Time now);
  bool IsBackedOff(absl::Time now, Endpoint peer);
  void ExpireUnanswered(absl::Time now);
  GossipPush MakePush(Endpoint peer);
  void AddTransfer(Endpoint peer, GossipPush& push);
  size_t RandomIndex(size_t limit) { return random_() % limit; }

  EntryState& state_;
  RecentChanges recent_;
  std::mt19937_64 random_;
  std::vector<Endpoint> contacts_;
  std::array<BucketView, kBuckets> buckets_;
  std::deque<Transfer> transfers_;
  /// Times of pushes without a reply yet, by peer. Bounded by one push per
  /// gossip interval within the reply timeout.
  absl::flat_hash_map<Endpoint, absl::Time> unanswered_;
  absl::flat_hash_map<Endpoint, absl::Time> backoff_until_;
  absl::Time next_push_ = absl::InfinitePast();
  uint64_t pushes_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_GOSSIP_H_
