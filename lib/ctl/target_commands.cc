#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "context.h"
#include "output.h"
#include "settle.h"

namespace skylarkshunt {
namespace {

std::string DrainBody(bool drain, const std::string& apply_id) {
  const nlohmann::ordered_json body = {{"drain", drain},
                                       {"apply_id", apply_id}};
  return body.dump();
}

/// Revision of the drain order at `key`, 0 where there is none.
Result<Revision> CurrentOrder(PlatformClient& client, const std::string& key) {
  Result<ConfigRecord> record = client.Read(key);
  if (record.has_value())
    return record.value().revision;
  if (record.error().kind == ErrorKind::kNotFound)
    return Revision{};
  return record.error();
}

}  // namespace

Result<ExitCode> TargetList(const Context& context) {
  BOOST_OUTCOME_TRY(status, ReadEntry(context));
  Table table{{"uid", "service", "state", "data_centre", "target", "admin",
               "slots", "applied"},
              {}};
  for (const InstanceStatus& instance : status.instances) {
    const std::string& wanted = context.arguments.service;
    if (!instance.is_agent() ||
        (!wanted.empty() && instance.service_name != wanted)) {
      continue;
    }
    table.rows.push_back({instance.uid, instance.service_name, instance.state,
                          instance.data_centre, instance.target, instance.admin,
                          absl::StrCat(instance.slots),
                          ToText(instance.applied)});
  }
  PrintTable(context.environment.out, context.arguments.output, table);
  return ExitCode::kOk;
}

Result<ExitCode> TargetDrain(const Context& context, bool drain) {
  const absl::optional<uint64_t> uid = ParseHex(context.arguments.operands[0]);
  if (!uid.has_value()) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        absl::StrCat("'", context.arguments.operands[0], "' is no target uid"),
        "write the uid as in 'target list', 16 hex digits");
  }
  if (context.arguments.entry.has_value()) {
    BOOST_OUTCOME_TRY(status, ReadEntry(context));
    BOOST_OUTCOME_TRYV(FindTarget(status, InstanceUid{*uid}));
  }
  BOOST_OUTCOME_TRY(client, ConnectPlatform(context));
  const std::string key = absl::StrCat("drains/", ToHex(*uid));
  BOOST_OUTCOME_TRY(expected, CurrentOrder(*client, key));
  const RequestId apply{context.environment.random(),
                        context.environment.random()};
  const std::string apply_id = ToHex(apply);
  BOOST_OUTCOME_TRY(revision, WriteSettled(*client,
                                           {key, DrainBody(drain, apply_id),
                                            expected, apply_id},
                                           context.arguments.settle));
  PrintFields(context.environment.out, context.arguments.output,
              {{"target", ToHex(*uid)},
               {"drain", drain ? "true" : "false"},
               {"revision", ToText(revision)}});
  return ExitCode::kOk;
}

}  // namespace skylarkshunt
