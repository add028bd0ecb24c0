#include "in_force.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(250);

bool Applies(const InstanceStatus& instance, Revision revision) {
  return ToNumber(instance.applied) >= ToNumber(revision);
}

}  // namespace

InForceReport MakeInForceReport(const EntryStatus& status,
                                absl::string_view service,
                                Revision revision) {
  InForceReport report;
  report.service = std::string(service);
  report.revision = revision;
  for (const InstanceStatus& instance : status.instances) {
    if (instance.is_agent() && instance.service_name != service)
      continue;
    report.instances.push_back(instance);
    if (!instance.counts())
      continue;
    ++report.counted;
    if (Applies(instance, revision))
      ++report.applied;
  }
  return report;
}

Result<InForceReport> AwaitInForce(const Context& context,
                                   absl::string_view service,
                                   Revision revision,
                                   absl::Duration wait) {
  const absl::Time end = absl::Now() + wait;
  while (true) {
    Result<EntryStatus> status = ReadEntry(context);
    const bool last = absl::Now() >= end;
    if (!status.has_value() && last)
      return status.error();
    if (status.has_value()) {
      InForceReport report =
          MakeInForceReport(status.value(), service, revision);
      if (report.in_force() || last)
        return report;
    }
    absl::SleepFor(std::min(kPollInterval, end - absl::Now()));
  }
}

void PrintReport(const Context& context, const InForceReport& report) {
  Table table{{"uid", "role", "data_centre", "state", "applied", "in_force"},
              {}};
  for (const InstanceStatus& instance : report.instances) {
    const char* in_force = Applies(instance, report.revision) ? "yes" : "no";
    table.rows.push_back({instance.uid, instance.role, instance.data_centre,
                          instance.state, ToText(instance.applied),
                          instance.counts() ? in_force : "-"});
  }
  const Fields fields = {
      {"service", report.service},
      {"revision", ToText(report.revision)},
      {"in_force", report.in_force() ? "yes" : "no"},
      {"summary", absl::StrCat("in force at ", report.applied, " of ",
                               report.counted, " instances")}};
  PrintFieldsAndTable(context.environment.out, context.arguments.output, fields,
                      "instances", table);
}

}  // namespace skylarkshunt
