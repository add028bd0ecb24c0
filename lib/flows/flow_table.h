#ifndef SKYLARKSHUNT_FLOWS_FLOW_TABLE_H_
#define SKYLARKSHUNT_FLOWS_FLOW_TABLE_H_

#include <cstddef>
#include <list>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// The flows that an agent serves, bounded by the service's connections. Not
/// thread-safe.
class FlowTable {
 public:
  struct Flow {
    FlowKey key{};
    /// The newest binding sent to the caller.
    Binding binding;
    absl::Time last_message;
    /// A request of the flow was admitted at this agent.
    bool used = false;
  };

  void SetCapacity(size_t flows) { capacity_ = flows; }

  /// Returns the flow, or null. The pointer is valid until the next call other
  /// than Find().
  Flow* Find(FlowKey key);

  /// Records a message of the flow and returns the flow. Adds a new flow;
  /// returns null when the table is full. `used` marks the flow as used
  /// permanently.
  Flow* Touch(absl::Time now, FlowKey key, bool used);

  void Remove(FlowKey key);

  /// Removes flows that were idle for kFlowIdleLimit, or kUnusedFlowIdleLimit.
  void RemoveIdle(absl::Time now);

  /// Returns up to `limit` flows: used ones first, each group most recent
  /// first.
  std::vector<OpenFlow> MostRecent(absl::Time now, size_t limit) const;

  bool full() const { return flows_.size() >= capacity_; }
  size_t size() const { return flows_.size(); }

 private:
  using Flows = std::list<Flow>;

  void RemoveIdle(absl::Time now, absl::Duration limit, Flows& flows);

  size_t capacity_ = 0;
  // Least recently used first.
  Flows used_;
  Flows unused_;
  absl::flat_hash_map<FlowKey, Flows::iterator> flows_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_FLOW_TABLE_H_
