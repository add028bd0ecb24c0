#ifndef SKYLARKSHUNT_LIB_NODE_NODE_STATUS_H_
#define SKYLARKSHUNT_LIB_NODE_NODE_STATUS_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkshunt/forwarding/agent_directory.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// What a node reports of itself to operators.
struct NodeStatus {
  Role role = Role::kAgent;
  bool ready = false;
  bool leaving = false;
  Revision configuration{};
  uint64_t configuration_version = 0;
  /// Other nodes that have been heard lately.
  std::vector<NodeAddress> nodes;
  /// Entries: the agents known, and flows in the cache.
  std::vector<AgentView> agents;
  size_t cached_flows = 0;
  /// Agents: the load of the target, and its id.
  AgentLoad load;
  std::string target_id;
  /// When this was put together.
  absl::Time time;
};

/// Hands the status from the data thread to the HTTP thread. Thread-safe.
class NodeStatusBoard {
 public:
  void Publish(NodeStatus status);
  /// Returns the status as JSON, with the name of the node, or an empty text
  /// before the first one.
  std::string ToJson(const std::string& name) const;

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const NodeStatus> status_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_NODE_STATUS_H_
