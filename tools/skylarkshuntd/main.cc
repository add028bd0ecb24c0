#include <glog/logging.h>

#include <iostream>

#include "daemon.h"
#include "node_daemon.h"
#include "options.h"
#include "skylarkshunt/settings/settings.h"

namespace skylarkshunt {
namespace {

int Run(int argc, char** argv) {
  const Result<CommandLine> line = ParseCommandLine(argc, argv);
  if (!line.has_value()) {
    std::cerr << line.error().ToString() << "\n";
    return kExitUsage;
  }
  if (line.value().action == CommandLine::Action::kHelp) {
    std::cout << line.value().help;
    return kExitOk;
  }
  if (line.value().action == CommandLine::Action::kVersion) {
    std::cout << "skylarkshuntd " << SKYLARKSHUNT_VERSION << "\n";
    return kExitOk;
  }
  if (line.value().action == CommandLine::Action::kRunNode)
    return RunNodeDaemon(line.value().metrics_port);
  if (line.value().action == CommandLine::Action::kCheckNode)
    return CheckNodeSettings();
  const Result<Settings> settings = LoadSettings(line.value().settings);
  if (!settings.has_value()) {
    std::cerr << settings.error().ToString() << "\n";
    return ExitCodeOf(settings.error());
  }
  if (line.value().action == CommandLine::Action::kCheck) {
    std::cout << "the settings are valid\n";
    return kExitOk;
  }
  ApplyLogLevel(settings.value().log_level);
  return RunDaemon(settings.value(), line.value().settings);
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const int code = skylarkshunt::Run(argc, argv);
  google::ShutdownGoogleLogging();
  return code;
}
