#include "absl/strings/str_cat.h"
#include "absl/types/optional.h"
#include "context.h"
#include "in_force.h"
#include "output.h"
#include "service_diff.h"
#include "settle.h"
#include "skylarkshunt/configuration/generate.h"
#include "skylarkshunt/configuration/questionnaire.h"

namespace skylarkshunt {
namespace {

/// A service as the platform holds it; revision 0 where it does not exist.
struct StoredService {
  Revision revision{};
  absl::optional<ServiceConfig> config;
};

Result<StoredService> ReadStored(PlatformClient& client,
                                 const std::string& name) {
  Result<ConfigRecord> record = client.Read(ServiceKey(name));
  if (!record.has_value() && record.error().kind == ErrorKind::kNotFound)
    return StoredService();
  if (!record.has_value())
    return record.error();
  BOOST_OUTCOME_TRY(config, ParseServiceConfig(record.value().body));
  return StoredService{record.value().revision, config};
}

ApplyIds DrawIds(const CtlEnvironment& environment) {
  ApplyIds ids;
  uint64_t uid = 0;
  while (uid == 0)
    uid = environment.random();
  ids.new_service = ServiceUid{uid};
  ids.apply.high = environment.random();
  ids.apply.low = environment.random();
  return ids;
}

std::vector<Difference> Compare(const StoredService& stored,
                                const ServiceConfig& yours) {
  return CompareServices(stored.config.has_value() ? &*stored.config : nullptr,
                         yours);
}

void PrintPlan(const Context& context,
               const StoredService& stored,
               const ServiceConfig& yours) {
  const std::vector<Difference> differences = Compare(stored, yours);
  const Fields fields = {
      {"service", yours.name},
      {"revision", ToText(stored.revision)},
      {"change", stored.config.has_value()
                     ? (differences.empty() ? "none" : "change")
                     : "create"}};
  PrintFieldsAndTable(context.environment.out, context.arguments.output, fields,
                      "differences", DifferenceTable(differences));
}

/// Prints a conflict with both revisions and what differs.
Result<ExitCode> ReportConflict(const Context& context,
                                PlatformClient& client,
                                const Error& conflict,
                                Revision expected,
                                const ServiceConfig& yours) {
  Result<StoredService> now = ReadStored(client, yours.name);
  if (!now.has_value())
    return conflict;
  const StoredService& stored = now.value();
  const std::string found =
      stored.config.has_value()
          ? absl::StrCat("revision ", ToText(stored.revision), " (apply ",
                         stored.config->apply_id, ")")
          : std::string("no object");
  const Error error = MakeError(
      ErrorKind::kConflict,
      absl::StrCat(conflict.message, "; this apply was based on revision ",
                   ToText(expected), ", the platform now holds ", found),
      "compare the differences, settle them with the other operator, then "
      "apply again");
  PrintError(context.environment.err, context.arguments.output, error,
             Compare(stored, yours));
  return ExitCode::kConflict;
}

void PrintApplied(const Context& context,
                  const ServiceConfig& yours,
                  Revision revision) {
  PrintFields(context.environment.out, context.arguments.output,
              {{"service", yours.name},
               {"uid", ToHex(ToNumber(yours.uid))},
               {"revision", ToText(revision)},
               {"apply_id", yours.apply_id}});
}

/// Waits after an accepted apply. An entry that cannot be asked is reported as
/// "not in force in time" and not as unavailable, since the change is in place.
ExitCode WaitInForce(const Context& context,
                     const ServiceConfig& yours,
                     Revision revision) {
  Result<InForceReport> report =
      AwaitInForce(context, yours.name, revision, *context.arguments.wait);
  if (!report.has_value()) {
    PrintApplied(context, yours, revision);
    PrintError(context.environment.err, context.arguments.output,
               report.error());
    return ExitCode::kNotInForce;
  }
  // The report carries the revision, so that JSON output stays one document.
  PrintReport(context, report.value());
  return report.value().in_force() ? ExitCode::kOk : ExitCode::kNotInForce;
}

}  // namespace

Result<ExitCode> ServiceApply(const Context& context) {
  BOOST_OUTCOME_TRY(questionnaire,
                    LoadQuestionnaire(context.arguments.operands[0]));
  BOOST_OUTCOME_TRY(client, ConnectPlatform(context));
  const std::string& name = questionnaire.service.name;
  BOOST_OUTCOME_TRY(stored, ReadStored(*client, name));
  const ServiceConfig yours = GenerateServiceConfig(
      questionnaire, stored.config, DrawIds(context.environment));
  if (context.arguments.dry_run) {
    PrintPlan(context, stored, yours);
    return ExitCode::kOk;
  }
  const SettledWrite write{ServiceKey(name), WriteServiceConfig(yours),
                           stored.revision, yours.apply_id};
  Result<Revision> written =
      WriteSettled(*client, write, context.arguments.settle);
  if (!written.has_value() && written.error().kind == ErrorKind::kConflict) {
    return ReportConflict(context, *client, written.error(), stored.revision,
                          yours);
  }
  if (!written.has_value())
    return written.error();
  if (context.arguments.wait.has_value())
    return WaitInForce(context, yours, written.value());
  PrintApplied(context, yours, written.value());
  return ExitCode::kOk;
}

Result<ExitCode> ServiceDiff(const Context& context) {
  BOOST_OUTCOME_TRY(questionnaire,
                    LoadQuestionnaire(context.arguments.operands[0]));
  BOOST_OUTCOME_TRY(client, ConnectPlatform(context));
  BOOST_OUTCOME_TRY(stored, ReadStored(*client, questionnaire.service.name));
  // The uid of a new service is drawn on apply, so none is shown here.
  const ServiceConfig yours =
      GenerateServiceConfig(questionnaire, stored.config, ApplyIds());
  PrintPlan(context, stored, yours);
  return ExitCode::kOk;
}

}  // namespace skylarkshunt
