#include <vector>

#include "absl/strings/str_cat.h"
#include "replay.h"

namespace skylarkshunt {

Result<ReplaySide> FindSide(const std::string& name) {
  AgentPolicy alone;
  alone.no_second_candidate = true;
  AgentPolicy fifo;
  fifo.first_come_first_served = true;
  AgentPolicy unbudgeted;
  unbudgeted.no_retry_budget = true;
  const std::vector<ReplaySide> sides = {
      {"product", PlacementPolicy::kHunting, {}},
      {"random", PlacementPolicy::kRandom, alone},
      {"round_robin", PlacementPolicy::kRoundRobin, alone},
      {"hash", PlacementPolicy::kHash, alone},
      {"fifo", PlacementPolicy::kHunting, fifo},
      {"no_retry_budget", PlacementPolicy::kHunting, unbudgeted}};
  for (const ReplaySide& side : sides) {
    if (side.name == name)
      return side;
  }
  return MakeError(ErrorKind::kInvalidArgument,
                   absl::StrCat("unknown side ", name),
                   "use product, random, round_robin, hash, fifo or "
                   "no_retry_budget");
}

}  // namespace skylarkshunt
