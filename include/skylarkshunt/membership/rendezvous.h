#ifndef SKYLARKSHUNT_MEMBERSHIP_RENDEZVOUS_H_
#define SKYLARKSHUNT_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// Returns the rendezvous score of `entry` for `key`. Entries with higher
/// scores come first. Thread-safe.
uint64_t RendezvousScore(uint64_t key, InstanceUid entry);

/// Returns up to `count` of `entries` in rendezvous order of `key`, spread over
/// data centres: each one is the best of the data centres used least so far.
/// The order is the same on every node that knows the same entries.
/// Thread-safe.
std::vector<const InstanceRecord*> RankEntries(
    uint64_t key,
    absl::Span<const InstanceRecord* const> entries,
    size_t count);

/// Returns the key that ranks the relays of `agent`: its uid, or a hash of its
/// target's address while the uid is unknown. Thread-safe.
uint64_t RelayKey(const InstanceRecord& agent);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_RENDEZVOUS_H_
