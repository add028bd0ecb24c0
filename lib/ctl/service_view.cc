#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/strip.h"
#include "context.h"
#include "in_force.h"
#include "output.h"
#include "service_diff.h"
#include "settle.h"

namespace skylarkshunt {
namespace {

/// Newest revision that the entry knows of the service. Errors: kNotFound.
Result<Revision> RevisionAtEntry(const EntryStatus& status,
                                 const std::string& name) {
  for (const ConfigStatus& config : status.config) {
    if (config.key == ServiceKey(name) && !config.deleted)
      return config.revision;
  }
  return MakeError(ErrorKind::kNotFound,
                   absl::StrCat("the entry knows no service '", name, "'"),
                   "check the name with 'skylarkshuntctl service list'");
}

/// The revision to look for: the platform's own when it can be asked, and
/// otherwise the newest that the entry knows.
Result<Revision> WantedRevision(const Context& context,
                                const std::string& name) {
  if (context.arguments.platform.has_value()) {
    BOOST_OUTCOME_TRY(client, ConnectPlatform(context));
    Result<ConfigRecord> record = client->Read(ServiceKey(name));
    if (record.has_value())
      return record.value().revision;
    if (record.error().kind != ErrorKind::kUnavailable)
      return record.error();
    context.environment.err << "note: " << record.error().message
                            << "; the entry's own revision is used\n";
  }
  BOOST_OUTCOME_TRY(status, ReadEntry(context));
  return RevisionAtEntry(status, name);
}

}  // namespace

Result<ExitCode> ServiceStatus(const Context& context) {
  const std::string& name = context.arguments.operands[0];
  BOOST_OUTCOME_TRY(revision, WantedRevision(context, name));
  const absl::Duration wait =
      context.arguments.wait.value_or(absl::ZeroDuration());
  BOOST_OUTCOME_TRY(report, AwaitInForce(context, name, revision, wait));
  PrintReport(context, report);
  const bool late = context.arguments.wait.has_value() && !report.in_force();
  return late ? ExitCode::kNotInForce : ExitCode::kOk;
}

Result<ExitCode> ServiceList(const Context& context) {
  BOOST_OUTCOME_TRY(client, ConnectPlatform(context));
  BOOST_OUTCOME_TRY(list, client->List("services/"));
  Table table{{"name", "uid", "revision", "kinds", "slots", "data_centres"},
              {}};
  for (const ConfigRecord& record : list.objects) {
    const std::string name(absl::StripPrefix(record.key, "services/"));
    const std::string revision = ToText(record.revision);
    Result<ServiceConfig> config = ParseServiceConfig(record.body);
    if (!config.has_value()) {
      context.environment.err << "note: " << record.key << ": "
                              << config.error().ToString() << "\n";
      table.rows.push_back({name, "?", revision, "?", "?", "?"});
      continue;
    }
    table.rows.push_back({name, ToHex(ToNumber(config.value().uid)), revision,
                          absl::StrCat(config.value().kinds.size()),
                          absl::StrCat(config.value().slots),
                          absl::StrJoin(config.value().data_centres, " ")});
  }
  PrintTable(context.environment.out, context.arguments.output, table);
  return ExitCode::kOk;
}

Result<ExitCode> ServiceShow(const Context& context) {
  BOOST_OUTCOME_TRY(client, ConnectPlatform(context));
  BOOST_OUTCOME_TRY(record,
                    client->Read(ServiceKey(context.arguments.operands[0])));
  BOOST_OUTCOME_TRY(config, ParseServiceConfig(record.body));
  Fields fields = {{"service", config.name},
                   {"revision", ToText(record.revision)},
                   {"apply_id", config.apply_id}};
  for (auto& field : DescribeService(config))
    fields.push_back(std::move(field));
  PrintFields(context.environment.out, context.arguments.output, fields);
  return ExitCode::kOk;
}

Result<ExitCode> ServiceRemove(const Context& context) {
  const std::string& name = context.arguments.operands[0];
  BOOST_OUTCOME_TRY(client, ConnectPlatform(context));
  BOOST_OUTCOME_TRY(record, client->Read(ServiceKey(name)));
  BOOST_OUTCOME_TRYV(RemoveSettled(*client, record.key, record.revision,
                                   context.arguments.settle));
  PrintFields(context.environment.out, context.arguments.output,
              {{"removed", name}, {"revision", ToText(record.revision)}});
  return ExitCode::kOk;
}

}  // namespace skylarkshunt
