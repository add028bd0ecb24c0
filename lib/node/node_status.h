#ifndef SKYLARKSHUNT_LIB_NODE_NODE_STATUS_H_
#define SKYLARKSHUNT_LIB_NODE_NODE_STATUS_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "skylarkshunt/forwarding/agent_directory.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/opening_queue.h"

namespace skylarkshunt {

/// Status of a node as operators see it.
struct NodeStatus {
  Role role = Role::kAgent;
  bool ready = false;
  bool leaving = false;
  ConfigurationId configuration;
  /// Other nodes that are responsive.
  std::vector<NodeAddress> nodes;
  /// Entries: the known agents, and the number of cached flows.
  std::vector<AgentView> agents;
  size_t cached_flows = 0;
  /// Entries: the evacuated data centres, if they are known.
  absl::optional<EvacuationSet> evacuations;
  /// Agents: the load of the target, the queue of opening packets and the id of
  /// the target.
  AgentLoad load;
  AdmissionState admission;
  std::string target_id;
  /// Time at which the status was collected.
  absl::Time time;
};

/// Holds the latest status that the data thread published, for the HTTP thread.
/// Thread-safe.
class NodeStatusBoard {
 public:
  void Publish(NodeStatus status);
  /// Returns the status as JSON, with the name of the node, or an empty string
  /// if no status has been published.
  std::string ToJson(const std::string& name) const;

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const NodeStatus> status_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_NODE_STATUS_H_
