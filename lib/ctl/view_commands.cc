#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "admin_client.h"
#include "context.h"
#include "output.h"

namespace skylarkshunt {
namespace {

/// Agents that `flow show` asks: the one of --target, or all of --service.
Result<std::vector<InstanceStatus>> ChooseAgents(const Context& context) {
  const Arguments& arguments = context.arguments;
  if (!arguments.target.has_value() && arguments.service.empty()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "'flow show' needs --target or --service",
                     "name the target, or the service whose agents to ask");
  }
  BOOST_OUTCOME_TRY(status, ReadEntry(context));
  std::vector<InstanceStatus> agents;
  if (arguments.target.has_value()) {
    BOOST_OUTCOME_TRY(agent, FindTarget(status, *arguments.target));
    agents.push_back(agent);
    return agents;
  }
  for (const InstanceStatus& instance : status.instances) {
    if (instance.is_agent() && instance.counts() &&
        instance.service_name == arguments.service) {
      agents.push_back(instance);
    }
  }
  return agents;
}

/// Turns "name{labels} value" lines into fields.
Fields ParseMetrics(absl::string_view text) {
  Fields fields;
  for (absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    const size_t blank = line.rfind(' ');
    if (line[0] == '#' || blank == absl::string_view::npos)
      continue;
    fields.emplace_back(std::string(line.substr(0, blank)),
                        std::string(line.substr(blank + 1)));
  }
  return fields;
}

}  // namespace

Result<ExitCode> FlowShow(const Context& context) {
  BOOST_OUTCOME_TRY(agents, ChooseAgents(context));
  const std::vector<std::string>& operands = context.arguments.operands;
  Table table{{"flow", "target", "binding_issued_ms", "idle_ms"}, {}};
  size_t silent = 0;
  for (const InstanceStatus& agent : agents) {
    Result<AgentStatus> status = ReadAgent(agent);
    if (!status.has_value()) {
      ++silent;
      context.environment.err << "note: " << status.error().message << "\n";
      continue;
    }
    for (const FlowStatus& flow : status.value().flows) {
      if (!operands.empty() && flow.flow != operands[0])
        continue;
      table.rows.push_back({flow.flow, agent.uid,
                            absl::StrCat(flow.binding_issued_ms),
                            absl::StrCat(flow.idle_ms)});
    }
  }
  PrintTable(context.environment.out, context.arguments.output, table);
  return silent > 0 ? ExitCode::kUnavailable : ExitCode::kOk;
}

Result<ExitCode> EntryList(const Context& context) {
  BOOST_OUTCOME_TRY(status, ReadEntry(context));
  Table table{
      {"uid", "state", "region", "data_centre", "data", "admin", "applied"},
      {}};
  for (const InstanceStatus& instance : status.instances) {
    if (instance.is_agent())
      continue;
    table.rows.push_back({instance.uid, instance.state, instance.region,
                          instance.data_centre, instance.data, instance.admin,
                          ToText(instance.applied)});
  }
  PrintTable(context.environment.out, context.arguments.output, table);
  return ExitCode::kOk;
}

Result<ExitCode> Stats(const Context& context) {
  Fields fields;
  if (context.arguments.target.has_value()) {
    BOOST_OUTCOME_TRY(status, ReadEntry(context));
    BOOST_OUTCOME_TRY(agent, FindTarget(status, *context.arguments.target));
    BOOST_OUTCOME_TRY(agent_status, ReadAgent(agent));
    fields = agent_status.stats;
  } else {
    BOOST_OUTCOME_TRY(text, GetAdmin(*context.arguments.entry, "/metrics"));
    fields = ParseMetrics(text);
  }
  PrintFields(context.environment.out, context.arguments.output, fields);
  return ExitCode::kOk;
}

}  // namespace skylarkshunt
