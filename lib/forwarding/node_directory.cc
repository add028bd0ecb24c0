#include "skylarkshunt/forwarding/node_directory.h"

#include <algorithm>
#include <iterator>

namespace skylarkshunt {
namespace {

/// Most addresses kept; at the limit, new ones are ignored until silent ones
/// are forgotten.
constexpr size_t kMaxNodes = 8'192;
/// Time in which a new address is tried often: nodes that start together come
/// up within this.
constexpr absl::Duration kEagerTime = absl::Seconds(5);
constexpr absl::Duration kEagerInterval = absl::Milliseconds(200);
/// Time between two tries of an address where nobody answers.
constexpr absl::Duration kSilentInterval = absl::Seconds(1);
/// Silence after which an address is forgotten. A machine that starts again
/// makes itself known.
constexpr absl::Duration kForgottenAfter = absl::Seconds(60);
/// Time between two looks at all nodes for those that are due.
constexpr absl::Duration kLookInterval = absl::Milliseconds(10);
/// Least and longest time between two reports of an entry to a present node,
/// and what each node adds.
constexpr absl::Duration kShortestEntryInterval = absl::Milliseconds(500);
constexpr absl::Duration kLongestEntryInterval = absl::Seconds(5);
constexpr absl::Duration kEntryIntervalPerNode = absl::Milliseconds(10);
/// Reports that may be missing before a node counts as absent.
constexpr int kMissedReports = 3;
/// Fleets up to this size are told news directly.
constexpr size_t kFewNodes = 40;
/// Entries that get news from one entry in a larger fleet. Each of them passes
/// it on, so that hundreds have it after three steps.
constexpr size_t kNewsFanout = 8;

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

bool NodeDirectory::Wanted(const NodeAddress& node) const {
  return node.address != address_ &&
         (self_ == Role::kEntry || node.role == Role::kEntry);
}

void NodeDirectory::Learn(NodeAddress node, absl::Time now) {
  if (!Wanted(node) || nodes_.size() >= kMaxNodes)
    return;
  Known known;
  known.role = node.role;
  known.learned = now;
  known.due = now;
  if (nodes_.try_emplace(node.address, known).second)
    next_look_ = absl::InfinitePast();
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
  known.heard = now;
  known.present_for = std::max(kNodePresenceTimeout, kMissedReports * interval);
  if (absent) {
    known.due = now;
    known.appeared = now;
    next_look_ = absl::InfinitePast();
  }
  return absent;
}

absl::Duration NodeDirectory::IntervalOf(const Known& known,
                                         absl::Time now) const {
  if (IsPresent(known, now))
    return interval_;
  return now - known.learned <= kEagerTime ? kEagerInterval : kSilentInterval;
}

void NodeDirectory::TakeDue(absl::Time now, std::vector<uint32_t>& due) {
  next_look_ = now + kLookInterval;
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
  next_look_ = absl::InfinitePast();
}

void NodeDirectory::MakeSomeDue(absl::Time now) {
  if (nodes_.size() <= kFewNodes) {
    MakeAllDue();
    return;
  }
  std::vector<uint32_t> entries;
  for (const auto& [address, known] : nodes_) {
    if (known.role == Role::kEntry && IsPresent(known, now))
      entries.push_back(address);
  }
  std::sort(entries.begin(), entries.end());
  std::vector<uint32_t> chosen;
  std::sample(entries.begin(), entries.end(), std::back_inserter(chosen),
              kNewsFanout, random_);
  for (const uint32_t address : chosen)
    nodes_.at(address).due = absl::InfinitePast();
  next_look_ = absl::InfinitePast();
}

void NodeDirectory::RemoveUnresponsive(absl::Time now) {
  absl::erase_if(nodes_, [now](const auto& node) {
    const Known& known = node.second;
    return !known.seed &&
           now - std::max(known.heard, known.learned) > kForgottenAfter;
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
  // The others in the order of their addresses, from the last turn on.
  const auto rest = present.begin() + static_cast<ptrdiff_t>(newest);
  std::sort(rest, present.end(),
            [this](const NodeAddress& a, const NodeAddress& b) {
              return a.address - turn_ - 1 < b.address - turn_ - 1;
            });
  present.resize(limit);
  turn_ = present.back().address;
  return present;
}

size_t NodeDirectory::CountPresentEntries(absl::Time now) const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [now](const auto& node) {
        return node.second.role == Role::kEntry && IsPresent(node.second, now);
      }));
}

size_t NodeDirectory::CountPresent(absl::Time now) const {
  return static_cast<size_t>(std::count_if(
      nodes_.begin(), nodes_.end(),
      [now](const auto& node) { return IsPresent(node.second, now); }));
}

}  // namespace skylarkshunt
