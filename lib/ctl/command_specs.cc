#include "command_specs.h"

namespace skylarkshunt {
namespace {

constexpr absl::string_view kPlatform = "platform";
constexpr absl::string_view kEntry = "entry";

std::vector<CommandSpec> ServiceSpecs() {
  return {
      {CommandId::kServiceApply,
       "service apply",
       "FILE",
       1,
       1,
       {kPlatform, kEntry, "dry-run", "wait", "settle"},
       {kPlatform},
       "create or change the service of a questionnaire",
       "skylarkshuntctl --platform 127.0.0.1:9000 --entry 127.0.0.1:7002 "
       "service apply examples/dispatch.json --wait 9"},
      {CommandId::kServiceStatus,
       "service status",
       "NAME",
       1,
       1,
       {kPlatform, kEntry, "wait"},
       {kEntry},
       "show where the newest revision of a service is in force",
       "skylarkshuntctl --entry 127.0.0.1:7002 service status dispatch"},
      {CommandId::kServiceList,
       "service list",
       "",
       0,
       0,
       {kPlatform},
       {kPlatform},
       "list all services",
       "skylarkshuntctl --platform 127.0.0.1:9000 service list"},
      {CommandId::kServiceShow,
       "service show",
       "NAME",
       1,
       1,
       {kPlatform},
       {kPlatform},
       "show the configuration of a service",
       "skylarkshuntctl --platform 127.0.0.1:9000 --output json "
       "service show dispatch"},
      {CommandId::kServiceDiff,
       "service diff",
       "FILE",
       1,
       1,
       {kPlatform},
       {kPlatform},
       "show what an apply of a questionnaire would change",
       "skylarkshuntctl --platform 127.0.0.1:9000 "
       "service diff examples/dispatch.json"},
      {CommandId::kServiceRemove,
       "service remove",
       "NAME",
       1,
       1,
       {kPlatform, "settle"},
       {kPlatform},
       "remove a service; its flows end as in a drain",
       "skylarkshuntctl --platform 127.0.0.1:9000 service remove dispatch"},
  };
}

std::vector<CommandSpec> TargetSpecs() {
  return {
      {CommandId::kTargetList,
       "target list",
       "",
       0,
       0,
       {kEntry, "service"},
       {kEntry},
       "list targets and their agents",
       "skylarkshuntctl --entry 127.0.0.1:7002 target list --service dispatch"},
      {CommandId::kTargetDrain,
       "target drain",
       "UID",
       1,
       1,
       {kPlatform, kEntry, "settle"},
       {kPlatform},
       "send no new flows to a target; with --entry the uid is checked first",
       "skylarkshuntctl --platform 127.0.0.1:9000 --entry 127.0.0.1:7002 "
       "target drain 0123456789abcdef"},
      {CommandId::kTargetUndrain,
       "target undrain",
       "UID",
       1,
       1,
       {kPlatform, kEntry, "settle"},
       {kPlatform},
       "send new flows to a target again",
       "skylarkshuntctl --platform 127.0.0.1:9000 "
       "target undrain 0123456789abcdef"},
  };
}

std::vector<CommandSpec> ViewSpecs() {
  return {
      {CommandId::kFlowShow,
       "flow show",
       "[FLOW]",
       0,
       1,
       {kEntry, "service", "target"},
       {kEntry},
       "show flows (up to 1,000 per agent) of --target or --service",
       "skylarkshuntctl --entry 127.0.0.1:7002 flow show "
       "--target 0123456789abcdef"},
      {CommandId::kEntryList,
       "entry list",
       "",
       0,
       0,
       {kEntry},
       {kEntry},
       "list entries",
       "skylarkshuntctl --entry 127.0.0.1:7002 entry list"},
      {CommandId::kStats,
       "stats",
       "",
       0,
       0,
       {kEntry, "target"},
       {kEntry},
       "show the counters of the entry, or of the agent of --target",
       "skylarkshuntctl --entry 127.0.0.1:7002 stats "
       "--target 0123456789abcdef"},
      {CommandId::kNodeStatus,
       "node status",
       "",
       0,
       0,
       {kEntry},
       {kEntry},
       "list the nodes that forward packet flows, with load and configuration; "
       "--entry is the peer address of any of them",
       "skylarkshuntctl --entry 10.1.0.10:7720 node status"},
      {CommandId::kNodeWhy,
       "node why",
       "FLOW",
       1,
       1,
       {kEntry},
       {kEntry},
       "collect what all nodes decided about a flow, CLIENT:PORT>SERVICE:PORT",
       "skylarkshuntctl --entry 10.1.0.10:7720 node why "
       "'100.64.0.7:40001>198.18.0.1:443'"},
      {CommandId::kConfigCheck,
       "config check",
       "FILE",
       1,
       1,
       {},
       {},
       "check a settings file or a questionnaire without applying it",
       "skylarkshuntctl config check examples/entry.json"},
      {CommandId::kVersion,
       "version",
       "",
       0,
       0,
       {},
       {},
       "print the version",
       "skylarkshuntctl version"},
  };
}

std::vector<CommandSpec> AllSpecs() {
  std::vector<CommandSpec> specs = ServiceSpecs();
  for (const auto& more : {TargetSpecs(), ViewSpecs()})
    specs.insert(specs.end(), more.begin(), more.end());
  return specs;
}

}  // namespace

const std::vector<CommandSpec>& CommandSpecs() {
  static const auto& specs = *new std::vector<CommandSpec>(AllSpecs());
  return specs;
}

}  // namespace skylarkshunt
