#ifndef TOOLS_SKYLARKSHUNT_REPLAY_REPLAY_H_
#define TOOLS_SKYLARKSHUNT_REPLAY_REPLAY_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "figures.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/flows/agent_core.h"
#include "skylarkshunt/placement/policy.h"
#include "trace.h"

namespace skylarkshunt {

/// One of the policies that a trace is driven with.
struct ReplaySide {
  std::string name;
  PlacementPolicy placement = PlacementPolicy::kHunting;
  AgentPolicy agent;
};

/// Returns the side named `name`. Errors: kInvalidArgument. Thread-safe.
Result<ReplaySide> FindSide(const std::string& name);

struct ReplayOptions {
  ReplaySide side;
  uint64_t seed = 1;
  /// Entries at the start of the trace.
  size_t entries = 4;
  /// Share of datagrams lost and doubled on each hop, 0 to 1. A request takes
  /// four hops or more; at a loss of 0.2% more than 1% of the requests would
  /// wait for the caller's first repeat, and every p99 would measure only that.
  double loss = 0.0005;
  double duplication = 0.0005;
  /// Kinds whose requests are left out.
  std::set<std::string> without_kinds;
  /// Called with the share of the trace that has been driven; may be null.
  std::function<void(double)> progress;
};

/// Drives `trace` through the routing and agent decisions on a clock of its
/// own. Errors: kInvalidArgument for events of unknown entries. Thread-safe.
Result<RunRecord> ReplayTrace(const Trace& trace, const ReplayOptions& options);

}  // namespace skylarkshunt

#endif  // TOOLS_SKYLARKSHUNT_REPLAY_REPLAY_H_
