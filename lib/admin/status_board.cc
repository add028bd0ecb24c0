#include "skylarkshunt/admin/status_board.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

using nlohmann::json;

template <typename Id>
std::string Decimal(Id id) {
  return absl::StrCat(ToNumber(id));
}

json ToJson(const InstanceRecord& record, const std::string& service_name) {
  return json{{"uid", ToHex(ToNumber(record.uid))},
              {"role", record.role == Role::kEntry ? "entry" : "agent"},
              {"service", ToHex(ToNumber(record.service))},
              {"service_name", service_name},
              {"incarnation", Decimal(record.incarnation)},
              {"sequence", absl::StrCat(record.sequence)},
              {"state", std::string(InstanceStateName(record.state))},
              {"region", record.region},
              {"data_centre", record.data_centre},
              {"data", record.data.ToString()},
              {"control", record.control.ToString()},
              {"admin", record.admin.ToString()},
              {"target", record.target.ToString()},
              {"slots", record.slots},
              {"applied", Decimal(record.applied)}};
}

json ToJson(const ConfigRecord& record) {
  return json{{"key", record.key},
              {"revision", Decimal(record.revision)},
              {"deleted", record.deleted}};
}

json ToJson(const EntryStatus& status) {
  json instances = json::array();
  for (const InstanceRecord& record : status.instances) {
    const auto name = status.service_names.find(record.service);
    const bool known = name != status.service_names.end();
    instances.push_back(ToJson(record, known ? name->second : ""));
  }
  json config = json::array();
  for (const ConfigRecord& record : status.config)
    config.push_back(ToJson(record));
  return json{{"self", ToJson(status.self, "")},
              {"instances", std::move(instances)},
              {"config", std::move(config)},
              {"snapshot",
               {{"services", status.services}, {"targets", status.targets}}}};
}

json ToJson(const AgentStats& stats) {
  return json{{"flows", stats.flows},
              {"running", stats.running},
              {"queued", stats.queued},
              {"ledger_entries", stats.ledger_entries},
              {"retained_answer_bytes", stats.retained_answer_bytes},
              {"completed", stats.completed},
              {"refused", stats.refused},
              {"passed_on", stats.passed_on},
              {"transferred", stats.transferred},
              {"repeats", stats.repeats},
              {"outcome_unknown", stats.outcome_unknown},
              {"lease_lapses", stats.lease_lapses},
              {"retries", stats.retries},
              {"effective_slots", stats.effective_slots}};
}

json ToJson(const OpenFlow& flow) {
  return json{{"flow", ToHex(ToNumber(flow.key))},
              {"binding_issued_ms", flow.binding_issued_ms},
              {"idle_ms", absl::ToInt64Milliseconds(flow.idle)}};
}

json ToJson(const AgentStatus& status) {
  json flows = json::array();
  for (const OpenFlow& flow : status.flows)
    flows.push_back(ToJson(flow));
  return json{{"self", ToJson(status.self, status.service_name)},
              {"stats", ToJson(status.stats)},
              {"flows", std::move(flows)}};
}

}  // namespace

void StatusBoard::Publish(ProcessStatus status) {
  auto published = std::make_shared<const ProcessStatus>(std::move(status));
  absl::MutexLock lock(&mutex_);
  status_.swap(published);
}

std::shared_ptr<const ProcessStatus> StatusBoard::Read() const {
  absl::MutexLock lock(&mutex_);
  return status_;
}

std::string WriteStatus(const ProcessStatus& status) {
  const json value =
      std::visit([](const auto& each) { return ToJson(each); }, status);
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace skylarkshunt
