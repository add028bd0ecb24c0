#ifndef SKYLARKSHUNT_LIB_CTL_INSTANCE_STATUS_H_
#define SKYLARKSHUNT_LIB_CTL_INSTANCE_STATUS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// One instance as an entry's GET /status reports it.
struct InstanceStatus {
  std::string uid;
  std::string role;
  std::string service;
  std::string service_name;
  std::string incarnation;
  std::string state;
  std::string region;
  std::string data_centre;
  std::string data;
  std::string admin;
  std::string target;
  int64_t slots = 0;
  Revision applied{};

  bool is_agent() const { return role == "agent"; }
  /// Whether configuration must reach it: not down and not about to end.
  bool counts() const { return state != "down" && state != "leaving"; }
};

/// A configuration object as an entry knows it.
struct ConfigStatus {
  std::string key;
  Revision revision{};
  bool deleted = false;
};

/// GET /status of an entry.
struct EntryStatus {
  std::vector<InstanceStatus> instances;
  std::vector<ConfigStatus> config;
};

/// One flow of an agent.
struct FlowStatus {
  std::string flow;
  int64_t binding_issued_ms = 0;
  int64_t idle_ms = 0;
};

/// GET /status of an agent.
struct AgentStatus {
  std::vector<std::pair<std::string, std::string>> stats;
  std::vector<FlowStatus> flows;
};

/// Read answers of GET /status; keys of newer releases are skipped. Errors:
/// kMalformedMessage. Thread-safe.
Result<EntryStatus> ParseEntryStatus(absl::string_view text);
Result<AgentStatus> ParseAgentStatus(absl::string_view text);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_INSTANCE_STATUS_H_
