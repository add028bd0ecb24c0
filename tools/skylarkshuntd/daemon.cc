#include "daemon.h"

#include <glog/logging.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "options.h"
#include "signals.h"
#include "skylarkshunt/agent/agent_process.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/entry/entry_process.h"

namespace skylarkshunt {
namespace {

constexpr EventId kProcessStarted{1001, "process_started"};
constexpr EventId kStartFailed{1002, "start_failed"};
constexpr EventId kShutdownBegan{1003, "shutdown_began"};
constexpr EventId kProcessEnded{1004, "process_ended"};
constexpr EventId kEndForced{1005, "end_forced"};
constexpr EventId kSettingsReloaded{1006, "settings_reloaded"};
constexpr EventId kSettingsRejected{1007, "settings_rejected"};

/// Time between two looks whether the shutdown is complete.
constexpr absl::Duration kSignalWait = absl::Milliseconds(50);

ProcessOptions MakeOptions(const Settings& settings,
                           CounterRegistry& counters) {
  ProcessOptions options;
  options.settings = settings;
  options.incarnation =
      Incarnation{static_cast<uint64_t>(absl::ToUnixMillis(absl::Now()))};
  options.counters = &counters;
  std::random_device device;
  options.random_seed = (uint64_t{device()} << 32) | device();
  return options;
}

Result<std::unique_ptr<RoleProcess>> StartRole(const ProcessOptions& options) {
  if (options.settings.role == Role::kEntry)
    return StartEntry(options);
  return StartAgent(options);
}

void ReportReady(const ProcessOptions& options,
                 const ProcessAddresses& addresses) {
  const bool entry = options.settings.role == Role::kEntry;
  const char* role = entry ? "entry" : "agent";
  LogLine(kProcessStarted)
      .Field("role", role)
      .Field("incarnation", ToNumber(options.incarnation))
      .Field("data", addresses.data.ToString())
      .Field("control", entry ? addresses.control.ToString() : "none")
      .Field("admin", addresses.admin.ToString());
  nlohmann::json line{{"ready", true},
                      {"role", role},
                      {"data", addresses.data.ToString()},
                      {"admin", addresses.admin.ToString()}};
  if (entry)
    line["control"] = addresses.control.ToString();
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

void Reload(const std::string& file, RoleProcess& process) {
  const Result<Settings> settings = LoadSettings(file);
  if (!settings.has_value()) {
    LogLine(kSettingsRejected, Severity::kError)
        .Field("error", settings.error().ToString());
    return;
  }
  ApplyLogLevel(settings.value().log_level);
  process.SetEstablishedLogRate(settings.value().established_log_rate);
  LogLine(kSettingsReloaded)
      .Field("file", file)
      .Field("log_level", settings.value().log_level)
      .Field("established_log_rate", settings.value().established_log_rate);
}

/// Waits for signals until the role has ended.
void Supervise(RoleProcess& process, const std::string& file) {
  bool ending = false;
  while (!process.ended()) {
    const int signal = WaitForSignal(kSignalWait);
    if (signal == SIGHUP)
      Reload(file, process);
    if (signal != SIGTERM && signal != SIGINT)
      continue;
    if (ending) {
      LogLine(kEndForced, Severity::kWarning).Field("signal", signal);
      _exit(kExitForced);
    }
    ending = true;
    LogLine(kShutdownBegan).Field("signal", signal);
    process.BeginShutdown();
  }
}

}  // namespace

void ApplyLogLevel(const std::string& log_level) {
  FLAGS_minloglevel = google::GLOG_INFO;
  if (log_level == "warning")
    FLAGS_minloglevel = google::GLOG_WARNING;
  if (log_level == "error")
    FLAGS_minloglevel = google::GLOG_ERROR;
}

int RunDaemon(const Settings& settings, const std::string& file) {
  BlockHandledSignals();
  CounterRegistry counters;
  const ProcessOptions options = MakeOptions(settings, counters);
  Result<std::unique_ptr<RoleProcess>> started = StartRole(options);
  if (!started.has_value()) {
    LogLine(kStartFailed, Severity::kError)
        .Field("error", started.error().ToString());
    return ExitCodeOf(started.error());
  }
  const std::unique_ptr<RoleProcess> process = std::move(started).value();
  ReportReady(options, process->addresses());
  Supervise(*process, file);
  LogLine(kProcessEnded).Field("incarnation", ToNumber(options.incarnation));
  return kExitOk;
}

}  // namespace skylarkshunt
