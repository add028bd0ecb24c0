#include "standins/flow_simulation/simulated_router.h"

#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(500);
constexpr int kMissesUntilOut = 2;
/// Distinguishes the hash of the routers from the one of the nodes.
constexpr uint64_t kRouterHash = 77;

}  // namespace

SimulatedRouter::SimulatedRouter(
    SimulationContext& context,
    absl::Span<const std::unique_ptr<SimulatedEntry>> entries)
    : context_(context), entries_(entries), members_(entries.size()) {
  for (size_t i = 0; i < entries_.size(); ++i)
    ScheduleCheck(
        i, context_.random.Between(absl::ZeroDuration(), kCheckInterval));
}

void SimulatedRouter::ScheduleCheck(size_t entry, absl::Duration delay) {
  context_.events.After(delay, [this, entry] {
    Member& member = members_[entry];
    if (entries_[entry]->IsReady()) {
      member = {true, 0};
    } else if (++member.misses >= kMissesUntilOut) {
      member.in_rotation = false;
    }
    ScheduleCheck(entry, kCheckInterval);
  });
}

std::vector<size_t> SimulatedRouter::Selected(size_t data_centre) const {
  std::vector<size_t> all;
  std::vector<size_t> rotation;
  std::vector<size_t> elsewhere;
  for (size_t i = 0; i < members_.size(); ++i) {
    const bool local = entries_[i]->data_centre() == data_centre;
    if (local)
      all.push_back(i);
    if (members_[i].in_rotation)
      (local ? rotation : elsewhere).push_back(i);
  }
  if (rotation.empty() && !elsewhere.empty())
    return elsewhere;
  return 2 * rotation.size() < all.size() ? all : rotation;
}

void SimulatedRouter::Route(size_t data_centre, const PacketHeader& header) {
  const std::vector<size_t> selected = Selected(data_centre);
  const uint64_t hash =
      StableHash(StableFlowHash(header.flow_from_client()), kRouterHash);
  const size_t entry = selected[hash % selected.size()];
  context_.network.SendToEntry(entry, entries_[entry]->address(), header);
}

}  // namespace skylarkshunt
