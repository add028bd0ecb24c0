#include "skylarkshunt/ctl/run.h"

#include "absl/strings/str_join.h"
#include "context.h"
#include "output.h"

namespace skylarkshunt {
namespace {

Result<ExitCode> PrintVersion(const Context& context) {
  PrintFields(context.environment.out, context.arguments.output,
              {{"skylarkshuntctl", SKYLARKSHUNT_VERSION}});
  return ExitCode::kOk;
}

Result<ExitCode> Dispatch(const Context& context) {
  switch (context.arguments.command->id) {
    case CommandId::kServiceApply:
      return ServiceApply(context);
    case CommandId::kServiceStatus:
      return ServiceStatus(context);
    case CommandId::kServiceList:
      return ServiceList(context);
    case CommandId::kServiceShow:
      return ServiceShow(context);
    case CommandId::kServiceDiff:
      return ServiceDiff(context);
    case CommandId::kServiceRemove:
      return ServiceRemove(context);
    case CommandId::kTargetList:
      return TargetList(context);
    case CommandId::kTargetDrain:
      return TargetDrain(context, true);
    case CommandId::kTargetUndrain:
      return TargetDrain(context, false);
    case CommandId::kFlowShow:
      return FlowShow(context);
    case CommandId::kEntryList:
      return EntryList(context);
    case CommandId::kStats:
      return Stats(context);
    case CommandId::kNodeStatus:
      return NodeStatusCommand(context);
    case CommandId::kNodeWhy:
      return NodeWhy(context);
    case CommandId::kConfigCheck:
      return ConfigCheck(context);
    case CommandId::kVersion:
      return PrintVersion(context);
  }
  return ExitCode::kUsage;
}

}  // namespace

ExitCode RunCtl(absl::Span<const std::string> args,
                const CtlEnvironment& environment) {
  Result<Arguments> arguments = ParseArguments(args);
  if (!arguments.has_value()) {
    PrintError(environment.err, OutputFormat::kTable, arguments.error());
    return ExitCodeFor(arguments.error().kind);
  }
  if (arguments.value().help) {
    environment.out << HelpText(absl::StrJoin(arguments.value().operands, " "));
    return ExitCode::kOk;
  }
  Result<ExitCode> code = Dispatch({environment, arguments.value()});
  if (code.has_value())
    return code.value();
  PrintError(environment.err, arguments.value().output, code.error());
  return ExitCodeFor(code.error().kind);
}

}  // namespace skylarkshunt
