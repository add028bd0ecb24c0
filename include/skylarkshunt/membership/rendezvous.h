#ifndef SKYLARKSHUNT_MEMBERSHIP_RENDEZVOUS_H_
#define SKYLARKSHUNT_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// Returns the weight of an entry for `key`; the highest one comes first.
/// Thread-safe.
uint64_t RendezvousScore(uint64_t key, InstanceUid entry);

/// Returns up to `count` of `entries` in rendezvous order of `key`, of which
/// the first ones are spread over data centres: each next one is the best of
/// the data centres used least so far. The order is the same on every node
/// that knows the same entries. Thread-safe.
std::vector<const InstanceRecord*> RankEntries(
    uint64_t key,
    absl::Span<const InstanceRecord* const> entries,
    size_t count);

/// Returns the key by which the relays of `agent` are ranked: its uid, or a
/// hash of its target's address while the uid is unknown. Thread-safe.
uint64_t RelayKey(const InstanceRecord& agent);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_RENDEZVOUS_H_
