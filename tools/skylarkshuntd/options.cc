#include "options.h"

#include <boost/program_options.hpp>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

constexpr char kUsage[] =
    "skylarkshuntd --settings FILE [--check]\n"
    "skylarkshuntd --node [--check]\n"
    "\n"
    "Runs one instance of the load balancer as entry or agent, as the "
    "settings\n"
    "say. With --node it forwards packet flows on the platform, which names "
    "the\n"
    "settings file in the environment, and logs to stdout. Otherwise it "
    "serves\n"
    "the product's own protocol. Logs to stderr; prints one JSON line with its "
    "addresses when ready.\n"
    "SIGTERM drains and ends it, SIGHUP reads the log settings again.\n"
    "\n"
    "Exit codes: 0 ended, 2 command line, 3 settings, 4 address taken,\n"
    "5 system, 6 ended before the drain was complete.\n"
    "\n"
    "Options";

po::options_description Options(CommandLine& line) {
  po::options_description options(kUsage);
  options.add_options()("settings",
                        po::value(&line.settings)->value_name("FILE"),
                        "settings file (JSON with comments)")(
      "node", "run with the settings that the platform provides")(
      "metrics-port", po::value(&line.metrics_port)->value_name("PORT"),
      "with --node: serve metrics on this port too")(
      "check", "check the settings and end")("version", "print the version")(
      "help", "print this text");
  return options;
}

}  // namespace

Result<CommandLine> ParseCommandLine(int argc, const char* const* argv) {
  CommandLine line;
  const po::options_description options = Options(line);
  po::variables_map values;
  try {
    const po::positional_options_description none;
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(none)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    return MakeError(ErrorKind::kInvalidArgument, error.what(),
                     "see skylarkshuntd --help");
  }
  if (values.count("help") != 0) {
    std::ostringstream help;
    help << options;
    line.help = help.str();
    line.action = CommandLine::Action::kHelp;
    return line;
  }
  if (values.count("version") != 0) {
    line.action = CommandLine::Action::kVersion;
    return line;
  }
  if (values.count("node") != 0) {
    line.action = values.count("check") != 0 ? CommandLine::Action::kCheckNode
                                             : CommandLine::Action::kRunNode;
    return line;
  }
  if (line.settings.empty()) {
    return MakeError(ErrorKind::kInvalidArgument, "--settings is missing",
                     "name the settings file: --settings FILE");
  }
  if (values.count("check") != 0)
    line.action = CommandLine::Action::kCheck;
  return line;
}

int ExitCodeOf(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kInvalidSettings:
    case ErrorKind::kNotFound:
    case ErrorKind::kInvalidArgument:
      return kExitSettings;
    case ErrorKind::kAddressInUse:
      return kExitAddressInUse;
    default:
      return kExitSystem;
  }
}

}  // namespace skylarkshunt
