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

/// Minimum time since the last message after which a node counts as absent;
/// three of the node's report intervals where that is longer.
inline constexpr absl::Duration kNodePresenceTimeout = absl::Seconds(2);

/// Returns the time between two reports of an entry to each of `nodes`. It
/// grows with their number up to 5 s, which limits an entry to about a hundred
/// reports per second. Thread-safe.
absl::Duration EntryReportInterval(size_t nodes);

/// Addresses of other nodes, with the time at which each is due for a report.
/// Agents report to entries only; entries report to all nodes. Addresses come
/// from seeds, from the object store and from the reports of entries. Only a
/// node that has sent a message counts as live. Pure and not thread-safe.
class NodeDirectory {
 public:
  /// `interval` is the time between two reports to a node that is present.
  NodeDirectory(Role self,
                uint32_t address,
                absl::Duration interval,
                absl::Span<const uint32_t> seeds,
                absl::Time now);

  /// Adds an address at which a node may run.
  void Learn(NodeAddress node, absl::Time now);
  /// Records a message of `node`, whose next one is due after `interval`.
  /// Returns whether the node was absent before; it is then due for a report at
  /// once.
  bool RecordMessage(NodeAddress node,
                     absl::Time now,
                     absl::Duration interval = absl::ZeroDuration());
  /// Whether to call TakeDue(), which visits every node.
  bool IsReportTime(absl::Time now) const { return now >= next_due_check_; }
  /// Appends the addresses that are due for a report, and schedules their next
  /// one.
  void TakeDue(absl::Time now, std::vector<uint32_t>& due);
  /// Changes the time between two reports to a node that is present.
  void SetInterval(absl::Duration interval) { interval_ = interval; }
  /// Makes every node due, for a change that must be sent at once.
  void MakeAllDue();
  /// Returns the addresses to which a change is reported at once: all present
  /// nodes in small fleets, otherwise randomly chosen entries, each of which
  /// propagates the change in the same way.
  std::vector<uint32_t> SelectForChange(absl::Time now);
  /// Removes addresses without a message for 60 s. Seeds remain.
  void RemoveUnresponsive(absl::Time now);

  /// Returns at most `limit` present nodes, entries first.
  std::vector<NodeAddress> Present(absl::Time now, size_t limit) const;
  /// Selects at most `limit` present nodes for a report: one half are the nodes
  /// that appeared last, the other half all others in turn. This keeps reports
  /// small in a large fleet. New nodes are included in the next report, and all
  /// others within a few more.
  std::vector<NodeAddress> SelectReported(absl::Time now, size_t limit);
  /// Whether a present entry has this address.
  bool IsPresentEntry(uint32_t address, absl::Time now) const;
  /// Returns the addresses of the present entries other than this node.
  std::vector<uint32_t> PresentEntries(absl::Time now) const;
  /// Returns the number of present entries other than this node.
  size_t CountPresentEntries(absl::Time now) const;
  size_t CountPresent(absl::Time now) const;
  /// Returns the number of present entries that precede this node in an order
  /// that is the same on all nodes and does not follow the data centres.
  size_t CountPrecedingEntries(absl::Time now) const;

 private:
  struct Known {
    Role role = Role::kEntry;
    bool seed = false;
    absl::Time learned;
    absl::Time last_seen = absl::InfinitePast();
    /// Time since the last message after which it is absent.
    absl::Duration present_for = kNodePresenceTimeout;
    /// Time of its first message since it was last absent.
    absl::Time appeared = absl::InfinitePast();
    absl::Time due;
  };

  static bool IsPresent(const Known& known, absl::Time now) {
    return now - known.last_seen <= known.present_for;
  }
  bool IsReportDestination(const NodeAddress& node) const;
  absl::Duration IntervalOf(const Known& known, absl::Time now) const;

  const Role self_;
  const uint32_t address_;
  absl::Duration interval_;
  absl::flat_hash_map<uint32_t, Known> nodes_;
  absl::Time next_due_check_ = absl::InfinitePast();
  std::minstd_rand random_;
  /// Address after which the next report continues.
  uint32_t turn_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_NODE_DIRECTORY_H_
