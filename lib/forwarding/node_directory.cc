#include "skylarkshunt/forwarding/node_directory.h"

#include <algorithm>
#include <iterator>

#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

/// Maximum number of addresses. At the limit new addresses are ignored until
/// unresponsive ones are removed.
constexpr size_t kMaxNodes = 8'192;
/// Time in which a new address is tried at kEagerInterval. Nodes that start
/// together become ready within it.
constexpr absl::Duration kEagerTime = absl::Seconds(5);
constexpr absl::Duration kEagerInterval = absl::Milliseconds(200);
/// Time between two reports to an address that does not answer.
constexpr absl::Duration kUnresponsiveInterval = absl::Seconds(1);
/// Time without a message after which an address is removed. A machine that
/// restarts announces itself.
constexpr absl::Duration kAddressExpiryTime = absl::Seconds(60);
/// Time between two checks of all nodes for those that are due.
constexpr absl::Duration kDueCheckInterval = absl::Milliseconds(10);
/// Bounds of the time between two reports of an entry to a present node, and
/// the time that each node adds.
constexpr absl::Duration kShortestEntryInterval = absl::Milliseconds(500);
constexpr absl::Duration kLongestEntryInterval = absl::Seconds(5);
constexpr absl::Duration kEntryIntervalPerNode = absl::Milliseconds(10);
/// Number of missed reports after which a node counts as absent.
constexpr int kMissedReports = 3;
/// In fleets up to this size a change is reported to every node directly.
constexpr size_t kMaxDirectNodes = 40;
/// Number of entries to which an entry reports a change in a larger fleet. Each
/// of them propagates it further, so it reaches hundreds after three steps.
constexpr size_t kChangeFanout = 8;

}  // namespace

absl::Duration EntryReportInterval(size_t nodes) {
  return std::min(
      std::max(kShortestEntryInterval, kEntryIntervalPerNode * nodes),
      kLongestEntryInterval);
}

NodeDirectory::NodeDirectory(Role self,
                             uint32_t address,
                             absl::Duration interval,
                             absl::Span<const uint32_t> seeds,
                             absl::Time now)
    : self_(self), address_(address), interval_(interval), random_(address) {
  for (const uint32_t seed : seeds) {
    Learn({seed, Role::kEntry}, now);
    const auto known = nodes_.find(seed);
    if (known != nodes_.end())
      known->second.seed = true;
  }
}

bool NodeDirectory::IsReportDestination(const NodeAddress& node) const {
  return node.address != address_ &&
         (self_ == Role::kEntry || node.role == Role::kEntry);
}

void NodeDirectory::Learn(NodeAddress node, absl::Time now) {
  if (!IsReportDestination(node) || nodes_.size() >= kMaxNodes)
    return;
  Known known;
  known.role = node.role;
  known.learned = now;
  known.due = now;
  if (nodes_.try_emplace(node.address, known).second)
    next_due_check_ = absl::InfinitePast();
}

bool NodeDirectory::RecordMessage(NodeAddress node,
                                  absl::Time now,
                                  absl::Duration interval) {
  Learn(node, now);
  const auto found = nodes_.find(node.address);
  if (found == nodes_.end())
    return false;
  Known& known = found->second;
  known.role = node.role;
  const bool absent = !IsPresent(known, now);
  known.last_seen = now;
  known.present_for = std::max(kNodePresenceTimeout, kMissedReports * interval);
  if (absent) {
    known.due = now;
    known.appeared = now;
    next_due_check_ = absl::InfinitePast();
  }
  return absent;
}

absl::Duration NodeDirectory::IntervalOf(const Known& known,
                                         absl::Time now) const {
  if (IsPresent(known, now))
    return interval_;
  return now - known.learned <= kEagerTime ? kEagerInterval
                                           : kUnresponsiveInterval;
}

void NodeDirectory::TakeDue(absl::Time now, std::vector<uint32_t>& due) {
  next_due_check_ = now + kDueCheckInterval;
  for (auto& [address, known] : nodes_) {
    if (known.due > now)
      continue;
    due.push_back(address);
    known.due = now + IntervalOf(known, now);
  }
}

void NodeDirectory::MakeAllDue() {
  for (auto& [address, known] : nodes_)
    known.due = absl::InfinitePast();
  next_due_check_ = absl::InfinitePast();
}

std::vector<uint32_t> NodeDirectory::SelectForChange(absl::Time now) {
  std::vector<uint32_t> present;
  if (nodes_.size() <= kMaxDirectNodes) {
    for (const NodeAddress& node : Present(now, nodes_.size()))
      present.push_back(node.address);
  } else {
    present = PresentEntries(now);
  }
  // The order must not depend on the hash table's seed.
  std::sort(present.begin(), present.end());
  if (nodes_.size() <= kMaxDirectNodes)
    return present;
  std::vector<uint32_t> chosen;
  std::sample(present.begin(), present.end(), std::back_inserter(chosen),
              kChangeFanout, random_);
  return chosen;
}

void NodeDirectory::RemoveUnresponsive(absl::Time now) {
  absl::erase_if(nodes_, [now](const auto& node) {
    const Known& known = node.second;
    return !known.seed &&
           now - std::max(known.last_seen, known.learned) > kAddressExpiryTime;
  });
}

std::vector<NodeAddress> NodeDirectory::Present(absl::Time now,
                                                size_t limit) const {
  std::vector<NodeAddress> present;
  for (const auto& [address, known] : nodes_) {
    if (IsPresent(known, now))
      present.push_back({address, known.role});
  }
  std::stable_partition(
      present.begin(), present.end(),
      [](const NodeAddress& node) { return node.role == Role::kEntry; });
  if (present.size() > limit)
    present.resize(limit);
  return present;
}

std::vector<NodeAddress> NodeDirectory::SelectReported(absl::Time now,
                                                       size_t limit) {
  std::vector<NodeAddress> present = Present(now, nodes_.size());
  if (present.size() <= limit)
    return present;
  const size_t newest = limit / 2;
  std::partial_sort(
      present.begin(), present.begin() + static_cast<ptrdiff_t>(newest),
      present.end(), [this](const NodeAddress& a, const NodeAddress& b) {
        return nodes_.at(a.address).appeared > nodes_.at(b.address).appeared;
      });
  // The others in the order of their addresses, starting after the last one
  // reported.
  const auto rest = present.begin() + static_cast<ptrdiff_t>(newest);
  std::sort(rest, present.end(),
            [this](const NodeAddress& a, const NodeAddress& b) {
              return a.address - turn_ - 1 < b.address - turn_ - 1;
            });
  present.resize(limit);
  turn_ = present.back().address;
  return present;
}

bool NodeDirectory::IsPresentEntry(uint32_t address, absl::Time now) const {
  const auto known = nodes_.find(address);
  return known != nodes_.end() && known->second.role == Role::kEntry &&
         IsPresent(known->second, now);
}

std::vector<uint32_t> NodeDirectory::PresentEntries(absl::Time now) const {
  std::vector<uint32_t> entries;
  for (const auto& [address, known] : nodes_) {
    if (known.role == Role::kEntry && IsPresent(known, now))
      entries.push_back(address);
  }
  return entries;
}

size_t NodeDirectory::CountPresentEntries(absl::Time now) const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [now](const auto& node) {
        return node.second.role == Role::kEntry && IsPresent(node.second, now);
      }));
}

size_t NodeDirectory::CountPrecedingEntries(absl::Time now) const {
  const uint64_t self = StableHash(uint64_t{address_}, 0);
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
        return node.second.role == Role::kEntry &&
               IsPresent(node.second, now) &&
               StableHash(uint64_t{node.first}, 0) < self;
      }));
}

size_t NodeDirectory::CountPresent(absl::Time now) const {
  return static_cast<size_t>(std::count_if(
      nodes_.begin(), nodes_.end(),
      [now](const auto& node) { return IsPresent(node.second, now); }));
}

}  // namespace skylarkshunt
