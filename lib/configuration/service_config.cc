#include "skylarkshunt/configuration/service_config.h"

#include "absl/strings/str_cat.h"
#include "service_fields.h"

namespace skylarkshunt {
namespace {

constexpr absl::string_view kSource = "service object";
constexpr size_t kMaxApplyIdBytes = 64;

nlohmann::ordered_json WriteKind(const KindConfig& kind) {
  return {
      {"name", kind.name},
      {"weight", kind.weight},
      {"idempotent", kind.idempotent},
      {"usual_duration_ms", absl::ToInt64Milliseconds(kind.usual_duration)}};
}

ServiceUid ReadUid(JsonObjectReader& reader) {
  const absl::optional<uint64_t> uid = ParseHex(reader.Text("uid", 1, 16));
  if (reader.ok() && uid.value_or(0) == 0) {
    reader.Fail("uid", "is not a service uid",
                "write 16 hexadecimal digits that are not all 0");
  }
  return ServiceUid{uid.value_or(0)};
}

}  // namespace

const KindConfig* ServiceConfig::FindKind(absl::string_view kind) const {
  for (const KindConfig& candidate : kinds) {
    if (candidate.name == kind)
      return &candidate;
  }
  return nullptr;
}

Result<ServiceConfig> ParseServiceConfig(absl::string_view body) {
  constexpr ErrorKind kKind = ErrorKind::kMalformedMessage;
  if (body.size() > kMaxServiceBytes) {
    return MakeError(
        kKind, absl::StrCat(kSource, ": ", body.size(), " bytes"),
        absl::StrCat("keep it at or below ", kMaxServiceBytes, " bytes"));
  }
  BOOST_OUTCOME_TRY(value, ParseJsonObject(body, kSource, kKind));
  JsonObjectReader reader(value, kSource, "", kKind);
  ServiceConfig config;
  config.uid = ReadUid(reader);
  config.name = reader.Name("name");
  config.apply_id = reader.Text("apply_id", 1, kMaxApplyIdBytes);
  BOOST_OUTCOME_TRY(ReadServiceFields(reader, kSource, kKind, config));
  BOOST_OUTCOME_TRY(reader.Finish());
  return config;
}

std::string WriteServiceConfig(const ServiceConfig& config) {
  nlohmann::ordered_json kinds = nlohmann::ordered_json::array();
  for (const KindConfig& kind : config.kinds)
    kinds.push_back(WriteKind(kind));
  const nlohmann::ordered_json value = {
      {"uid", ToHex(ToNumber(config.uid))},
      {"name", config.name},
      {"apply_id", config.apply_id},
      {"kinds", kinds},
      {"slots", config.slots},
      {"connections", config.connections},
      {"data_centres", config.data_centres},
      {"deadline_ms", absl::ToInt64Milliseconds(config.deadline)},
      {"drain_limit_s", absl::ToInt64Seconds(config.drain_limit)},
      {"warm_up_step_ms", absl::ToInt64Milliseconds(config.warm_up_step)}};
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace skylarkshunt
