#ifndef SKYLARKSHUNT_FORWARDING_ENTRY_PEERS_H_
#define SKYLARKSHUNT_FORWARDING_ENTRY_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// The other entries of an entry's data centre, which may get the retries of
/// the requests that it refuses. Reports of entries do not name their data
/// centre, so entries exchange it once. Pure and not thread-safe.
class EntryPeers {
 public:
  /// A message and the addresses of the entries that it goes to.
  struct Outgoing {
    RefusalReport report;
    std::vector<uint32_t> addresses;
  };

  /// `data_centre` is the hash of the entry's data centre as in AgentIdentity.
  explicit EntryPeers(uint32_t data_centre) : data_centre_(data_centre) {}

  /// Records the data centre of the entry at `address`. Returns whether it must
  /// get a reply.
  bool OnReport(uint32_t address, const RefusalReport& report);
  /// The entry at `address` was absent, and may run in another data centre now.
  void Remove(uint32_t address) { data_centres_.erase(address); }

  /// Returns a report without requests, for a reply.
  RefusalReport Reply() const;
  /// Returns a query to those of `present` whose data centre is unknown.
  Outgoing MakeQuery(absl::Span<const uint32_t> present) const;
  /// Returns reports of `refused` to the entries of the same data centre, at
  /// most kMaxReceivers. Empty if there are none.
  std::vector<Outgoing> MakeReports(
      absl::Span<const RefusedRequest> refused) const;

  /// Maximum number of entries that get each refusal. In a larger data centre
  /// some retries count as new requests.
  static constexpr size_t kMaxReceivers = 24;
  /// Maximum number of entries whose data centre is known.
  static constexpr size_t kMaxEntries = 4'096;

 private:
  const uint32_t data_centre_;
  absl::flat_hash_map<uint32_t, uint32_t> data_centres_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_ENTRY_PEERS_H_
