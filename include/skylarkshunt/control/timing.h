#ifndef SKYLARKSHUNT_CONTROL_TIMING_H_
#define SKYLARKSHUNT_CONTROL_TIMING_H_

#include <cstddef>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Time between two pushes of an entry, each to one random live peer.
inline constexpr absl::Duration kGossipInterval = absl::Milliseconds(500);
/// A peer that does not reply to a push within this time is skipped.
inline constexpr absl::Duration kGossipReplyTimeout = absl::Seconds(2);
/// How long an unreachable peer is skipped.
inline constexpr absl::Duration kPeerBackoff = absl::Seconds(10);
/// One in this many pushes goes to a contact that is not a live peer: a seed, a
/// directory address or an entry reported down. This repairs partitions.
inline constexpr size_t kPushesPerContact = 10;
/// Bound on the contacts that an entry or agent stores.
inline constexpr size_t kMaxContacts = 128;

/// A differing bucket is exchanged after it has differed for
/// kBucketExchangeDelay and has not changed here for kBucketQuietPeriod,
/// because recent changes usually close the difference for a fraction of the
/// bytes. After kBucketExchangeTimeout it is exchanged anyway. A bucket that is
/// empty on either side is exchanged at once.
inline constexpr absl::Duration kBucketExchangeDelay = absl::Seconds(2);
inline constexpr absl::Duration kBucketQuietPeriod = absl::Seconds(3);
inline constexpr absl::Duration kBucketExchangeTimeout = absl::Seconds(30);

/// Bound on the records of one message, in bytes. With the digest and the
/// sender's record a message stays below 128 KiB.
inline constexpr size_t kRecordBytesPerMessage = size_t{120} * 1024;
/// Bound on the recent changes in one message, in bytes.
inline constexpr size_t kRecentBytesPerMessage = size_t{32} * 1024;
/// The same bound for changes that routing does not need (applied revisions).
inline constexpr size_t kProgressBytesPerMessage = size_t{2} * 1024;
/// Bound on the recent changes waiting to be sent. The digest covers further
/// ones.
inline constexpr size_t kMaxRecentChanges = 4096;
/// A message that adds more unknown records than this transfers a whole table.
/// Its records are not propagated as recent changes.
inline constexpr size_t kMaxNewToPropagate = 64;
/// Bound on the peers that await records of differing buckets.
inline constexpr size_t kMaxPendingTransfers = 8;

/// Shortest time between two updates of a node's own applied revision.
inline constexpr absl::Duration kAppliedInterval = absl::Milliseconds(500);
/// Shortest time between two reassignments of monitors after changes of the
/// region's entries.
inline constexpr absl::Duration kMonitorAssignmentInterval = absl::Seconds(1);
/// An entry watches the platform once it has been among the chosen watchers for
/// this time. Otherwise entries that start together would all begin to watch.
inline constexpr absl::Duration kWatcherRoleDelay = absl::Seconds(1);
/// Shortest time between two writes of the directory object.
inline constexpr absl::Duration kDirectoryInterval = absl::Seconds(10);
/// Bound on the addresses in the directory object.
inline constexpr size_t kMaxDirectoryEntries = 64;
/// Time between two removals of expired records.
inline constexpr absl::Duration kExpiryInterval = absl::Seconds(10);
/// Shortest time between two notices about a full table.
inline constexpr absl::Duration kTableFullNoticeInterval = absl::Seconds(10);

/// Time between two lists of entries, and two repetitions of a drain order, on
/// one link.
inline constexpr absl::Duration kEntryListInterval = absl::Seconds(5);
/// Bound on the entries in one list.
inline constexpr size_t kMaxListedEntries = 8;
/// Time since an agent's last heartbeat after which the relay removes its link.
inline constexpr absl::Duration kLinkRetention = absl::Seconds(10);
/// Bound on the agent links that a relay tracks. Untracked agents get the full
/// acknowledgement each time.
inline constexpr size_t kMaxAgentLinks = 8192;

/// An agent replaces a relay that does not acknowledge within this time.
inline constexpr absl::Duration kAckTimeout = absl::Seconds(2);
/// How long an agent skips a failed relay.
inline constexpr absl::Duration kRelayBackoff = absl::Seconds(10);
/// An agent removes an entry that no relay has listed for this time.
inline constexpr absl::Duration kEntryRetention = absl::Seconds(20);
/// Bound on the entries that an agent stores.
inline constexpr size_t kMaxKnownEntries = 24;
/// Time between two requests for the directory.
inline constexpr absl::Duration kDirectoryRetry = absl::Seconds(5);
/// Time between two requests for a higher incarnation, repeated until the agent
/// core takes it.
inline constexpr absl::Duration kIncarnationRetry = absl::Seconds(1);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_TIMING_H_
