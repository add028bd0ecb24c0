#ifndef SKYLARKSHUNT_FORWARDING_NODE_DIRECTORY_H_
#define SKYLARKSHUNT_FORWARDING_NODE_DIRECTORY_H_

#include <cstdint>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// Least silence after which a node counts as absent; three of its own
/// intervals where that is longer.
inline constexpr absl::Duration kNodePresenceTimeout = absl::Seconds(2);

/// Returns the time between two reports of an entry to each of `nodes`: it
/// grows with their number, so that an entry sends about a hundred reports a
/// second, up to kLongestEntryInterval. Thread-safe.
absl::Duration EntryReportInterval(size_t nodes);

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
  /// A message came from this node, whose next one is due after `interval`.
  /// Returns whether it was absent before, so that it should get a report at
  /// once.
  bool RecordMessage(NodeAddress node,
                     absl::Time now,
                     absl::Duration interval = absl::ZeroDuration());
  /// Whether TakeDue() is worth a call, which looks at each node.
  bool IsReportTime(absl::Time now) const { return now >= next_look_; }
  /// Appends the addresses that get a report now, and notes that they do.
  void TakeDue(absl::Time now, std::vector<uint32_t>& due);
  /// Changes the time between two reports to a node that is present.
  void SetInterval(absl::Duration interval) { interval_ = interval; }
  /// Makes every node due, for news that must not wait.
  void MakeAllDue();
  /// Makes some entries due, drawn at random, for news that each of them passes
  /// on in the same way; every node where there are few.
  void MakeSomeDue(absl::Time now);
  /// Forgets addresses that have been silent for long. Seeds stay.
  void RemoveUnresponsive(absl::Time now);

  /// The nodes present, at most `limit`; entries come first.
  std::vector<NodeAddress> Present(absl::Time now, size_t limit) const;
  /// At most `limit` present nodes for a report: half of it those that appeared
  /// last, the rest all nodes in turn. So a report stays small in a large
  /// fleet, news spreads with the next one, and everything else within some
  /// more.
  std::vector<NodeAddress> SelectReported(absl::Time now, size_t limit);
  /// Number of present entries other than this node.
  size_t CountPresentEntries(absl::Time now) const;
  size_t CountPresent(absl::Time now) const;

 private:
  struct Known {
    Role role = Role::kEntry;
    bool seed = false;
    absl::Time learned;
    absl::Time heard = absl::InfinitePast();
    /// Silence after which it is absent.
    absl::Duration present_for = kNodePresenceTimeout;
    /// When it was first heard after a silence.
    absl::Time appeared = absl::InfinitePast();
    absl::Time due;
  };

  static bool IsPresent(const Known& known, absl::Time now) {
    return now - known.heard <= known.present_for;
  }
  bool Wanted(const NodeAddress& node) const;
  absl::Duration IntervalOf(const Known& known, absl::Time now) const;

  const Role self_;
  const uint32_t address_;
  absl::Duration interval_;
  absl::flat_hash_map<uint32_t, Known> nodes_;
  absl::Time next_look_ = absl::InfinitePast();
  std::minstd_rand random_;
  /// The address after which the turn of a report goes on.
  uint32_t turn_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_NODE_DIRECTORY_H_
