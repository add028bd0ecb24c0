#ifndef SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_OPTIONS_H_
#define SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_OPTIONS_H_

#include <cstdint>
#include <string>

#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Exit codes of skylarkshuntd.
inline constexpr int kExitOk = 0;
/// The command line is wrong.
inline constexpr int kExitUsage = 2;
/// The settings file is missing or wrong.
inline constexpr int kExitSettings = 3;
/// An address of the settings is taken by another process.
inline constexpr int kExitAddressInUse = 4;
/// A socket, thread or file descriptor could not be made.
inline constexpr int kExitSystem = 5;
/// A second SIGTERM ended the process before its drain was complete.
inline constexpr int kExitForced = 6;

/// What the command line asks for.
struct CommandLine {
  enum class Action { kRun, kRunNode, kCheck, kCheckNode, kVersion, kHelp };
  Action action = Action::kRun;
  std::string settings;
  /// Port of the operators' end point of a node beside the one in its settings;
  /// 0 for none.
  uint16_t metrics_port = 0;
  /// Text for kHelp.
  std::string help;
};

/// Reads the command line. Errors: kInvalidArgument.
Result<CommandLine> ParseCommandLine(int argc, const char* const* argv);

/// Returns the exit code of a failed start.
int ExitCodeOf(const Error& error);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_OPTIONS_H_
