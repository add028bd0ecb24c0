#ifndef SKYLARKSHUNT_LIB_CTL_ARGUMENTS_H_
#define SKYLARKSHUNT_LIB_CTL_ARGUMENTS_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// Every command of skylarkshuntctl.
enum class CommandId {
  kServiceApply,
  kServiceStatus,
  kServiceList,
  kServiceShow,
  kServiceDiff,
  kServiceRemove,
  kTargetList,
  kTargetDrain,
  kTargetUndrain,
  kFlowShow,
  kEntryList,
  kStats,
  kNodeStatus,
  kNodeWhy,
  kConfigCheck,
  kVersion,
};

/// How a command is written, for parsing and for --help.
struct CommandSpec {
  CommandId id;
  absl::string_view words;
  absl::string_view operands;
  size_t min_operands;
  size_t max_operands;
  /// Options allowed besides --output and --help.
  std::vector<absl::string_view> options;
  /// Options that must be given.
  std::vector<absl::string_view> required;
  absl::string_view summary;
  absl::string_view example;
};

enum class OutputFormat { kTable, kJson };

/// A checked command line.
struct Arguments {
  /// Null when only --help was asked for.
  const CommandSpec* command = nullptr;
  std::vector<std::string> operands;
  bool help = false;
  bool dry_run = false;
  OutputFormat output = OutputFormat::kTable;
  absl::optional<Endpoint> platform;
  absl::optional<Endpoint> entry;
  absl::optional<absl::Duration> wait;
  /// How long a lost answer is looked for.
  absl::Duration settle = absl::Seconds(10);
  std::string service;
  absl::optional<InstanceUid> target;
};

/// Checks a command line. Errors: kInvalidArgument, with the remedy.
/// Thread-safe.
Result<Arguments> ParseArguments(absl::Span<const std::string> args);

/// Returns the help of all commands that begin with `words`. Thread-safe.
std::string HelpText(absl::string_view words);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_ARGUMENTS_H_
