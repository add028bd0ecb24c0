#include "skylarkshunt/membership/rendezvous.h"

#include <algorithm>

#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

struct Scored {
  uint64_t score;
  const InstanceRecord* entry;
};

bool RanksBefore(const Scored& a, const Scored& b) {
  if (a.score != b.score)
    return a.score > b.score;
  return a.entry->uid < b.entry->uid;
}

/// The best-ranked entries of one data centre, best first.
using Group = std::vector<Scored>;

Group& FindGroup(std::vector<Group>& groups, const InstanceRecord& entry) {
  for (Group& group : groups) {
    if (group.front().entry->data_centre == entry.data_centre)
      return group;
  }
  return groups.emplace_back();
}

void Insert(Group& group, Scored scored, size_t count) {
  if (group.size() >= count && !RanksBefore(scored, group.back()))
    return;
  group.insert(
      std::upper_bound(group.begin(), group.end(), scored, RanksBefore),
      scored);
  if (group.size() > count)
    group.pop_back();
}

}  // namespace

uint64_t RendezvousScore(uint64_t key, InstanceUid entry) {
  return StableHash(ToNumber(entry), key);
}

std::vector<const InstanceRecord*> RankEntries(
    uint64_t key,
    absl::Span<const InstanceRecord* const> entries,
    size_t count) {
  std::vector<const InstanceRecord*> order;
  if (count == 0)
    return order;
  std::vector<Group> groups;
  for (const InstanceRecord* entry : entries) {
    const Scored scored{RendezvousScore(key, entry->uid), entry};
    Insert(FindGroup(groups, *entry), scored, count);
  }
  for (size_t round = 0; order.size() < count; ++round) {
    std::vector<Scored> best;
    for (const Group& group : groups) {
      if (round < group.size())
        best.push_back(group[round]);
    }
    if (best.empty())
      break;
    std::sort(best.begin(), best.end(), RanksBefore);
    for (size_t i = 0; i < best.size() && order.size() < count; ++i)
      order.push_back(best[i].entry);
  }
  return order;
}

uint64_t RelayKey(const InstanceRecord& agent) {
  if (agent.uid != InstanceUid{})
    return ToNumber(agent.uid);
  return StableHash(uint64_t{agent.target.address} << 16 | agent.target.port,
                    0);
}

}  // namespace skylarkshunt
