#include "node_status.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/algorithm/container.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

using nlohmann::json;

const char* RoleName(Role role) {
  return role == Role::kEntry ? "entry" : "agent";
}

json LoadJson(const AgentLoad& load) {
  return {{"state", std::string(InstanceStateName(load.state))},
          {"slots", load.slots},
          {"busy", load.busy},
          {"open_flows", load.open_flows},
          {"pending_work_us", load.pending_work_us},
          {"service_time_us", load.service_time_us},
          {"failing_permille", load.failing_permille}};
}

json AdmissionJson(const AdmissionState& admission) {
  return {
      {"waiting", admission.waiting},
      {"in_time", admission.in_time},
      {"overloaded_ms", absl::ToInt64Milliseconds(admission.overloaded_for)}};
}

json AgentJson(const AgentView& agent, absl::Time now) {
  json value = LoadJson(agent.load);
  value["uid"] = ToHex(ToNumber(agent.identity.uid));
  value["service"] = ToHex(ToNumber(agent.identity.service));
  value["address"] = agent.endpoint.ToString();
  value["incarnation"] = ToNumber(agent.identity.incarnation);
  value["configuration"] = CountOf(agent.configuration.revision);
  value["configuration_version"] = agent.configuration.version;
  value["heard_ms_ago"] = absl::ToInt64Milliseconds(now - agent.last_seen);
  return value;
}

}  // namespace

void NodeStatusBoard::Publish(NodeStatus status) {
  auto shared = std::make_shared<const NodeStatus>(std::move(status));
  absl::MutexLock lock(&mutex_);
  status_ = std::move(shared);
}

std::string NodeStatusBoard::ToJson(const std::string& name) const {
  std::shared_ptr<const NodeStatus> status;
  {
    absl::MutexLock lock(&mutex_);
    status = status_;
  }
  if (status == nullptr)
    return {};
  json value = {{"name", name},
                {"role", RoleName(status->role)},
                {"ready", status->ready},
                {"leaving", status->leaving},
                {"time_ms", absl::ToUnixMillis(status->time)},
                {"configuration",
                 {{"revision", CountOf(status->configuration.revision)},
                  {"epoch", ToNumber(EpochOf(status->configuration.revision))},
                  {"version", status->configuration.version}}},
                {"nodes", json::array()}};
  for (const NodeAddress& node : status->nodes) {
    value["nodes"].push_back({{"address", Endpoint{node.address, 0}.ToString()},
                              {"role", RoleName(node.role)}});
  }
  if (status->role == Role::kEntry) {
    value["cached_flows"] = status->cached_flows;
    value["agents"] = json::array();
    for (const AgentView& agent : status->agents) {
      value["agents"].push_back(AgentJson(agent, status->time));
      if (status->evacuations.has_value()) {
        value["agents"].back()["evacuated"] = absl::c_binary_search(
            status->evacuations->data_centres, agent.identity.data_centre);
      }
    }
    if (status->evacuations.has_value()) {
      value["evacuations"] = {
          {"revision", CountOf(status->evacuations->revision)},
          {"epoch", ToNumber(EpochOf(status->evacuations->revision))},
          {"objects", status->evacuations->data_centres.size()}};
    }
  } else {
    value["load"] = LoadJson(status->load);
    value["admission"] = AdmissionJson(status->admission);
    value["target"] = status->target_id;
  }
  return value.dump();
}

}  // namespace skylarkshunt
