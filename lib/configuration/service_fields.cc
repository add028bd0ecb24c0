#include "service_fields.h"

#include <set>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr size_t kMaxKinds = 64;
constexpr size_t kMaxDataCentres = 32;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxSlots = 1024;
constexpr int64_t kMaxConnections = 1'000'000;
constexpr int64_t kMaxUsualDurationMs = 300'000;
// A binding is valid for 600 s. A deadline of at most half of that ends before
// the request's ledger entry expires.
constexpr int64_t kMaxDeadlineMs = 300'000;
constexpr int64_t kMaxDrainLimitS = 3600;
constexpr int64_t kMaxWarmUpStepMs = 600'000;

Result<KindConfig> ReadKind(const nlohmann::json& value,
                            absl::string_view source,
                            size_t index,
                            ErrorKind error_kind) {
  JsonObjectReader reader(value, source, absl::StrCat("kinds[", index, "]"),
                          error_kind);
  KindConfig kind;
  kind.name = reader.Name("name");
  kind.weight = static_cast<uint32_t>(reader.Integer("weight", 1, kMaxWeight));
  kind.idempotent = reader.Boolean("idempotent");
  kind.usual_duration = absl::Milliseconds(
      reader.Integer("usual_duration_ms", 1, kMaxUsualDurationMs));
  BOOST_OUTCOME_TRY(reader.Finish());
  return kind;
}

Result<void> ReadKinds(JsonObjectReader& reader,
                       absl::string_view source,
                       ErrorKind error_kind,
                       std::vector<KindConfig>& kinds) {
  const nlohmann::json& values = reader.Array("kinds", kMaxKinds);
  if (reader.ok() && values.empty())
    reader.Fail("kinds", "is empty", "name at least one kind of request");
  std::set<std::string> names;
  for (size_t i = 0; i < values.size(); ++i) {
    BOOST_OUTCOME_TRY(kind, ReadKind(values[i], source, i, error_kind));
    if (!names.insert(kind.name).second) {
      reader.Fail("kinds", absl::StrCat("names '", kind.name, "' twice"),
                  "give each kind of request one entry");
    }
    kinds.push_back(std::move(kind));
  }
  return Success();
}

void ReadDataCentres(JsonObjectReader& reader,
                     std::vector<std::string>& data_centres) {
  data_centres = reader.Names("data_centres", kMaxDataCentres);
  if (reader.ok() && data_centres.empty())
    reader.Fail("data_centres", "is empty", "name at least one data centre");
}

}  // namespace

Result<void> ReadServiceFields(JsonObjectReader& reader,
                               absl::string_view source,
                               ErrorKind kind,
                               ServiceConfig& config) {
  BOOST_OUTCOME_TRY(ReadKinds(reader, source, kind, config.kinds));
  config.slots = static_cast<uint16_t>(reader.Integer("slots", 1, kMaxSlots));
  config.connections =
      static_cast<uint32_t>(reader.Integer("connections", 1, kMaxConnections));
  ReadDataCentres(reader, config.data_centres);
  config.deadline =
      absl::Milliseconds(reader.Integer("deadline_ms", 1, kMaxDeadlineMs));
  if (reader.Has("drain_limit_s")) {
    config.drain_limit =
        absl::Seconds(reader.Integer("drain_limit_s", 0, kMaxDrainLimitS));
  }
  if (reader.Has("warm_up_step_ms")) {
    config.warm_up_step = absl::Milliseconds(
        reader.Integer("warm_up_step_ms", 0, kMaxWarmUpStepMs));
  }
  return Success();
}

}  // namespace skylarkshunt
