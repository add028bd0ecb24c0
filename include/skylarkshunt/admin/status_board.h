#ifndef SKYLARKSHUNT_ADMIN_STATUS_BOARD_H_
#define SKYLARKSHUNT_ADMIN_STATUS_BOARD_H_

#include <atomic>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "skylarkshunt/configuration/config_record.h"
#include "skylarkshunt/flows/agent_core.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// What an entry reports of itself.
struct EntryStatus {
  InstanceRecord self;
  std::vector<InstanceRecord> instances;
  /// Names of the services known, for `instances`.
  absl::flat_hash_map<ServiceUid, std::string> service_names;
  /// Without bodies.
  std::vector<ConfigRecord> config;
  /// Services and targets in the routing snapshot in force.
  size_t services = 0;
  size_t targets = 0;
};

/// What an agent reports of itself.
struct AgentStatus {
  InstanceRecord self;
  std::string service_name;
  AgentStats stats;
  std::vector<OpenFlow> flows;
};

using ProcessStatus = std::variant<EntryStatus, AgentStatus>;

/// Hands the status of a process from the threads that own it to the admin
/// thread. All methods are thread-safe.
class StatusBoard {
 public:
  /// Replaces the published status.
  void Publish(ProcessStatus status);
  /// Returns the status last published, or null before the first.
  std::shared_ptr<const ProcessStatus> Read() const;

  /// Whether new work may come to this process; true at the start.
  void SetHealthy(bool healthy) { healthy_.store(healthy); }
  bool healthy() const { return healthy_.load(); }

 private:
  mutable absl::Mutex mutex_;
  std::shared_ptr<const ProcessStatus> status_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> healthy_{true};
};

/// Writes `status` as the JSON text of /status: uids as 16 hexadecimal digits,
/// incarnations, sequences and revisions as decimal text (they exceed the range
/// of a JSON number in many readers), end points as "ip:port". Thread-safe.
std::string WriteStatus(const ProcessStatus& status);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_ADMIN_STATUS_BOARD_H_
