#include "instance_status.h"

#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr ErrorKind kKind = ErrorKind::kMalformedMessage;
constexpr absl::string_view kSource = "status";
constexpr size_t kMaxText = 256;
// Twice the 20,000 records that a node holds.
constexpr size_t kMaxRecords = 40'000;
constexpr size_t kMaxFlows = 1000;
constexpr int64_t kMaxNumber = std::numeric_limits<int64_t>::max();

/// Success unless a field is missing or wrong; unknown keys do not matter.
Result<void> Check(JsonObjectReader& reader) {
  if (reader.ok())
    return Success();
  return reader.Finish();
}

Revision ReadRevision(JsonObjectReader& reader, absl::string_view key) {
  const std::string text = reader.Text(key, 1, 20);
  uint64_t number = 0;
  if (reader.ok() && !absl::SimpleAtoi(text, &number))
    reader.Fail(key, absl::StrCat("is \"", text, "\""), "use decimal digits");
  return Revision{number};
}

std::string ReadOptional(JsonObjectReader& reader, absl::string_view key) {
  return reader.Has(key) ? reader.Text(key, 0, kMaxText) : "";
}

Result<InstanceStatus> ReadInstance(const nlohmann::json& value,
                                    absl::string_view place) {
  JsonObjectReader reader(value, kSource, place, kKind);
  InstanceStatus instance;
  instance.uid = reader.Text("uid", 1, 16);
  instance.role = reader.Text("role", 1, kMaxText);
  instance.service = ReadOptional(reader, "service");
  instance.service_name = ReadOptional(reader, "service_name");
  instance.incarnation = reader.Text("incarnation", 1, 20);
  instance.state = reader.Text("state", 1, kMaxText);
  instance.region = reader.Text("region", 0, kMaxText);
  instance.data_centre = reader.Text("data_centre", 0, kMaxText);
  instance.data = reader.Text("data", 0, kMaxText);
  instance.admin = reader.Text("admin", 0, kMaxText);
  instance.target = ReadOptional(reader, "target");
  if (reader.Has("slots"))
    instance.slots = reader.Integer("slots", 0, kMaxNumber);
  instance.applied = ReadRevision(reader, "applied");
  BOOST_OUTCOME_TRYV(Check(reader));
  return instance;
}

Result<ConfigStatus> ReadConfig(const nlohmann::json& value,
                                absl::string_view place) {
  JsonObjectReader reader(value, kSource, place, kKind);
  ConfigStatus config;
  config.key = reader.Text("key", 1, kMaxText);
  config.revision = ReadRevision(reader, "revision");
  config.deleted = reader.Boolean("deleted");
  BOOST_OUTCOME_TRYV(Check(reader));
  return config;
}

Result<FlowStatus> ReadFlow(const nlohmann::json& value,
                            absl::string_view place) {
  JsonObjectReader reader(value, kSource, place, kKind);
  FlowStatus flow;
  flow.flow = reader.Text("flow", 1, kMaxText);
  flow.binding_issued_ms =
      reader.Integer("binding_issued_ms", -kMaxNumber, kMaxNumber);
  flow.idle_ms = reader.Integer("idle_ms", -kMaxNumber, kMaxNumber);
  BOOST_OUTCOME_TRYV(Check(reader));
  return flow;
}

/// Reads the array at `key`, each element with `read`.
template <typename T>
Result<std::vector<T>> ReadAll(JsonObjectReader& reader,
                               absl::string_view key,
                               size_t max_count,
                               Result<T> (*read)(const nlohmann::json&,
                                                 absl::string_view)) {
  std::vector<T> all;
  for (const nlohmann::json& value : reader.Array(key, max_count)) {
    BOOST_OUTCOME_TRY(element,
                      read(value, absl::StrCat(key, "[", all.size(), "]")));
    all.push_back(std::move(element));
  }
  return all;
}

}  // namespace

Result<EntryStatus> ParseEntryStatus(absl::string_view text) {
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, kSource, kKind));
  JsonObjectReader reader(value, kSource, "", kKind);
  EntryStatus status;
  BOOST_OUTCOME_TRY(instances,
                    ReadAll(reader, "instances", kMaxRecords, ReadInstance));
  status.instances = std::move(instances);
  BOOST_OUTCOME_TRY(config, ReadAll(reader, "config", kMaxRecords, ReadConfig));
  status.config = std::move(config);
  BOOST_OUTCOME_TRYV(Check(reader));
  return status;
}

Result<AgentStatus> ParseAgentStatus(absl::string_view text) {
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, kSource, kKind));
  JsonObjectReader reader(value, kSource, "", kKind);
  AgentStatus status;
  for (const auto& stat : reader.Object("stats").items()) {
    if (!stat.value().is_number())
      reader.Fail("stats", "has a value that is no number", "use numbers");
    status.stats.emplace_back(stat.key(), stat.value().dump());
  }
  BOOST_OUTCOME_TRY(flows, ReadAll(reader, "flows", kMaxFlows, ReadFlow));
  status.flows = std::move(flows);
  BOOST_OUTCOME_TRYV(Check(reader));
  return status;
}

}  // namespace skylarkshunt
