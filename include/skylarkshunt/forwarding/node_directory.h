#ifndef SKYLARKSHUNT_FORWARDING_NODE_DIRECTORY_H_
#define SKYLARKSHUNT_FORWARDING_NODE_DIRECTORY_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// Silence after which a node counts as absent.
inline constexpr absl::Duration kNodePresentFor = absl::Seconds(2);

/// The addresses of other nodes, and when each gets the next report. Agents
/// report to entries only; entries report to all. Addresses come from seeds,
/// from the object store and from the reports of entries; only a node that is
/// heard counts as live. Pure and not thread-safe.
class NodeDirectory {
 public:
  /// `interval` is the time between two reports to a node that is present.
  NodeDirectory(Role self,
                uint32_t address,
                absl::Duration interval,
                absl::Span<const uint32_t> seeds,
                absl::Time now);

  /// A node may be at this address.
  void Learn(NodeAddress node, absl::Time now);
  /// A message came from this node. Returns whether it was absent before, so
  /// that it should get a report at once.
  bool Heard(NodeAddress node, absl::Time now);
  /// Appends the addresses that get a report now, and notes that they do.
  void TakeDue(absl::Time now, std::vector<uint32_t>& due);
  /// Changes the time between two reports to a node that is present.
  void SetInterval(absl::Duration interval) { interval_ = interval; }
  /// Makes every present node due, for news that must not wait.
  void MakeAllDue();
  /// Forgets addresses that have been silent for long. Seeds stay.
  void ForgetSilent(absl::Time now);

  /// The nodes present, at most `limit`; entries come first.
  std::vector<NodeAddress> Present(absl::Time now, size_t limit) const;
  /// At most `limit` present nodes for a report: half of it those that appeared
  /// last, the rest all nodes in turn. So a report stays small in a large
  /// fleet, news spreads with the next one, and everything else within some
  /// more.
  std::vector<NodeAddress> TakeReported(absl::Time now, size_t limit);
  /// Number of present entries other than this node.
  size_t CountPresentEntries(absl::Time now) const;

 private:
  struct Known {
    Role role = Role::kEntry;
    bool seed = false;
    absl::Time learned;
    absl::Time heard = absl::InfinitePast();
    /// When it was first heard after a silence.
    absl::Time appeared = absl::InfinitePast();
    absl::Time due;
  };

  bool Wanted(const NodeAddress& node) const;
  absl::Duration IntervalOf(const Known& known, absl::Time now) const;

  const Role self_;
  const uint32_t address_;
  absl::Duration interval_;
  absl::flat_hash_map<uint32_t, Known> nodes_;
  /// The address after which the turn of a report goes on.
  uint32_t turn_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_NODE_DIRECTORY_H_
