#include "node_daemon.h"

#include <glog/logging.h>
#include <sys/random.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include "absl/time/clock.h"
#include "options.h"
#include "platform/adapter.h"
#include "platform/node_settings.h"
#include "signals.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/log_writer.h"
#include "skylarkshunt/node/node_process.h"

namespace skylarkshunt {
namespace {

constexpr EventId kNodeStarted{1020, "node_started"};
constexpr EventId kNodeStartFailed{1021, "node_start_failed"};
constexpr EventId kNodeStopping{1022, "node_stopping"};
constexpr EventId kNodeEnded{1023, "node_ended"};
constexpr EventId kNodeSettingsRead{1024, "node_settings_read"};
constexpr EventId kNodeSettingsRejected{1025, "node_settings_rejected"};

/// Wait for a signal while the node serves, and while it ends.
constexpr absl::Duration kServingWait = absl::Seconds(60);
constexpr absl::Duration kEndingWait = absl::Milliseconds(20);
/// Time for the last log lines: a part of the second that data loops keep free
/// of the grace time.
constexpr absl::Duration kLogLimit = absl::Milliseconds(400);

absl::string_view RoleName(Role role) {
  return role == Role::kEntry ? "entry" : "agent";
}

Result<NodeOptions> LoadOptions() {
  BOOST_OUTCOME_TRY(path, NodeSettingsPath());
  return LoadNodeSettings(path);
}

uint64_t RandomSeed() {
  uint64_t seed = 0;
  if (getrandom(&seed, sizeof(seed), 0) != static_cast<ssize_t>(sizeof(seed)))
    seed = static_cast<uint64_t>(absl::ToUnixNanos(absl::Now()));
  return seed;
}

/// Settings are checked and logged again at SIGHUP; a node's addresses, service
/// and store stay as they were at its start.
void Reload() {
  const Result<NodeOptions> options = LoadOptions();
  if (!options.has_value()) {
    LogLine(kNodeSettingsRejected, Severity::kError)
        .Field("error", options.error().ToString());
    return;
  }
  LogLine(kNodeSettingsRead)
      .Field("seeds", options.value().seeds.size())
      .Field("store", options.value().store.ToString());
}

void Supervise(NodeProcess& node) {
  bool ending = false;
  while (!node.ended()) {
    const int signal = WaitForSignal(ending ? kEndingWait : kServingWait);
    if (signal == SIGHUP)
      Reload();
    if (signal != SIGTERM && signal != SIGINT)
      continue;
    if (!ending)
      LogLine(kNodeStopping).Field("signal", signal);
    ending = true;
    node.BeginShutdown();
  }
}

}  // namespace

int RunNodeDaemon(uint16_t metrics_port) {
  FLAGS_logtostderr = false;
  FLAGS_logtostdout = true;
  BlockHandledSignals();
  std::unique_ptr<LogWriter> log = LogWriter::Start();
  const Result<NodeOptions> loaded = LoadOptions();
  if (!loaded.has_value()) {
    LogLine(kNodeStartFailed, Severity::kError)
        .Field("error", loaded.error().ToString());
    return ExitCodeOf(loaded.error());
  }
  CounterRegistry counters;
  NodeProcess::Options options;
  options.node = loaded.value();
  if (metrics_port != 0)
    options.node.metrics = {options.node.peers.address, metrics_port};
  options.adapter = MakePlatformAdapter();
  options.incarnation =
      Incarnation{static_cast<uint64_t>(absl::ToUnixMillis(absl::Now()))};
  options.counters = &counters;
  options.random_seed = RandomSeed();
  Result<std::unique_ptr<NodeProcess>> started = NodeProcess::Start(options);
  if (!started.has_value()) {
    LogLine(kNodeStartFailed, Severity::kError)
        .Field("error", started.error().ToString());
    return ExitCodeOf(started.error());
  }
  const NodeOptions& node = options.node;
  LogLine(kNodeStarted)
      .Field("name", node.name)
      .Field("role", RoleName(node.role))
      .Field("incarnation", ToNumber(options.incarnation))
      .Field("data_centre", node.data_centre)
      .Field("peers", node.peers.ToString())
      .Field("service", node.service.empty() ? "none" : node.service)
      .Field("seeds", node.seeds.size())
      .Field("store", node.store.ToString());
  Supervise(*started.value());
  LogLine(kNodeEnded).Field("incarnation", ToNumber(options.incarnation));
  // A call to the store may still wait for its time-out, longer than the
  // process may take to end. Nothing it could bring matters any more. Its
  // thread may log meanwhile, so that the writer must outlive it.
  static_cast<void>(log->Finish(kLogLimit));
  _exit(kExitOk);
}

int CheckNodeSettings() {
  const Result<NodeOptions> options = LoadOptions();
  if (!options.has_value()) {
    std::cerr << options.error().ToString() << "\n";
    return ExitCodeOf(options.error());
  }
  std::cout << "the settings are valid: " << options.value().name << " is an "
            << RoleName(options.value().role) << "\n";
  return kExitOk;
}

}  // namespace skylarkshunt
