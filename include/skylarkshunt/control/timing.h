#ifndef SKYLARKSHUNT_CONTROL_TIMING_H_
#define SKYLARKSHUNT_CONTROL_TIMING_H_

#include <cstddef>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Time between two pushes of an entry, each to one random live peer.
inline constexpr absl::Duration kGossipInterval = absl::Milliseconds(500);
/// A peer that did not answer a push for this time is passed over.
inline constexpr absl::Duration kGossipReplyTimeout = absl::Seconds(2);
/// How long an unreachable peer is passed over.
inline constexpr absl::Duration kPeerBackoff = absl::Seconds(10);
/// Every this many pushes one goes to a contact that is no live peer (a seed, a
/// directory address or an entry reported down), which heals partitions.
inline constexpr size_t kPushesPerContact = 10;
/// Contacts that an entry or agent remembers.
inline constexpr size_t kMaxContacts = 128;

/// A bucket that differs is exchanged when it has differed for
/// kBucketExchangeDelay and was quiet here for kBucketQuietPeriod, since recent
/// changes usually close the difference for a fraction of the bytes; or after
/// kBucketExchangeTimeout anyway. An empty bucket on either side is exchanged
/// at once.
inline constexpr absl::Duration kBucketExchangeDelay = absl::Seconds(2);
inline constexpr absl::Duration kBucketQuietPeriod = absl::Seconds(3);
inline constexpr absl::Duration kBucketExchangeTimeout = absl::Seconds(30);

/// Records of one message, in bytes; with the digest and the sender's record a
/// message stays under 128 KiB.
inline constexpr size_t kRecordBytesPerMessage = size_t{120} * 1024;
/// Recent changes in one message, in bytes.
inline constexpr size_t kRecentBytesPerMessage = size_t{32} * 1024;
/// The same for changes that routing does not need (applied revisions).
inline constexpr size_t kProgressBytesPerMessage = size_t{2} * 1024;
/// Recent changes that wait to be sent; more are left to the digest.
inline constexpr size_t kMaxRecentChanges = 4096;
/// A message that adds more unknown records than this is a transfer of a whole
/// table, whose records are not sent on as recent changes.
inline constexpr size_t kMaxNewToPropagate = 64;
/// Peers that await records of differing buckets.
inline constexpr size_t kMaxPendingTransfers = 8;

/// Time between two rises of a node's own applied revision.
inline constexpr absl::Duration kAppliedInterval = absl::Milliseconds(500);
/// How long a change of the entries must last before monitors are assigned
/// again.
inline constexpr absl::Duration kMonitorAssignmentInterval = absl::Seconds(1);
/// An entry watches the platform when it has been among the watchers for this
/// time, so that entries that start together do not all begin.
inline constexpr absl::Duration kWatcherRoleDelay = absl::Seconds(1);
inline constexpr absl::Duration kDirectoryInterval = absl::Seconds(10);
/// Addresses in the directory object.
inline constexpr size_t kMaxDirectoryEntries = 64;
/// Time between two searches for expired records.
inline constexpr absl::Duration kExpiryInterval = absl::Seconds(10);
/// Time between two notices about a full table.
inline constexpr absl::Duration kTableFullNoticeInterval = absl::Seconds(10);

/// Time between two lists of entries (and repeats of a drain order) on a link.
inline constexpr absl::Duration kEntryListInterval = absl::Seconds(5);
/// Entries in one list.
inline constexpr size_t kMaxListedEntries = 8;
/// Silence after which a relay forgets an agent's link.
inline constexpr absl::Duration kLinkRetention = absl::Seconds(10);
/// Links of agents that a relay tracks. Others get the full answer each time.
inline constexpr size_t kMaxAgentLinks = 8192;

/// An agent replaces a relay that does not answer for this time.
inline constexpr absl::Duration kAckTimeout = absl::Seconds(2);
/// How long an agent passes over a failed relay.
inline constexpr absl::Duration kRelayBackoff = absl::Seconds(10);
/// An agent forgets an entry that no relay listed for this time.
inline constexpr absl::Duration kEntryRetention = absl::Seconds(20);
/// Entries that an agent remembers.
inline constexpr size_t kMaxKnownEntries = 24;
/// Time between two requests for the directory.
inline constexpr absl::Duration kDirectoryRetry = absl::Seconds(5);
/// Time between two requests for a new incarnation until it is taken.
inline constexpr absl::Duration kIncarnationRetry = absl::Seconds(1);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONTROL_TIMING_H_
