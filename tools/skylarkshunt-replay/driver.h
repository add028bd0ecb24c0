#ifndef TOOLS_SKYLARKSHUNT_REPLAY_DRIVER_H_
#define TOOLS_SKYLARKSHUNT_REPLAY_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/optional.h"
#include "replay.h"
#include "skylarkshunt/placement/router.h"
#include "standins/caller/caller_session.h"

namespace skylarkshunt {

/// Region of all instances.
inline constexpr absl::string_view kReplayRegion = "replay";

/// Runs one trace: the event queue, the datagrams between callers, entries and
/// agents, and the spread of control knowledge. Not thread-safe.
class ReplayDriver {
 public:
  ReplayDriver(const Trace& trace, const ReplayOptions& options);

  Result<RunRecord> Run();

 private:
  struct Service {
    ServiceConfig config;
    Revision revision{};
    std::vector<size_t> agents;
  };
  struct Agent {
    std::string service;
    std::unique_ptr<AgentCore> core;
    InstanceRecord record;
    bool alive = true;
    absl::Time paused_until;
    /// Raised when the agent is killed, so that its runs end unseen.
    uint64_t generation = 0;
    std::set<RunId> runs;
    absl::Duration served;
    /// No event of the trace concerned this target.
    bool undisturbed = true;
    absl::optional<absl::Time> drained_at;
  };
  struct Entry {
    std::unique_ptr<Router> router;
    Endpoint data;
    bool alive = true;
    /// Whether the fabric sends packets to it.
    bool sprayed = true;
    std::map<InstanceUid, InstanceRecord> instances;
    std::map<std::string, ConfigRecord> config;
    std::shared_ptr<const RoutingSnapshot> snapshot;
  };
  struct Call {
    size_t request = 0;
    CallPlan plan;
  };
  struct Flow {
    CallerSession session;
    std::string service;
    /// Requests of the trace that have not ended.
    size_t left = 0;
    absl::Time wake = absl::InfiniteFuture();
    absl::flat_hash_map<RequestId, Call> calls;
  };
  /// What is known of one request id.
  struct Runs {
    bool idempotent = false;
    uint32_t count = 0;
    bool said_not_run = false;
  };

  // driver.cc: events of the trace and agents.
  void At(absl::Duration delay, std::function<void()> event);
  void OnLine(size_t index);
  void OnEvent(const TraceRequest& event);
  void OnEvent(const TraceConfiguration& event);
  void OnEvent(const TraceAgentEvent& event);
  void OnEvent(const TraceEntryEvent& event);
  void OnEvent(const TracePhase& event);
  void AddAgent(const std::string& service, size_t number);
  void StartAgent(size_t index);
  void KillAgent(size_t index, absl::Duration restart_after);
  void PauseAgent(size_t index, absl::Duration length);
  void TickAgents();
  void CountOutcome();
  double Draw();

  // knowledge.cc: entries and what they know.
  void AddEntry();
  void EndEntry(const TraceEntryEvent& event);
  void Publish(const InstanceRecord& record);
  void Publish(const ConfigRecord& record);
  void Learn(Entry& entry, const InstanceRecord& record);
  void Rebuild(Entry& entry);
  absl::Duration ControlDelay();

  // traffic.cc: datagrams, runs and callers.
  void Send(absl::Duration latency, const std::function<void()>& deliver);
  void SendFromCaller(size_t flow, const CallerMessage& message);
  void DeliverToEntry(size_t entry, size_t flow, const CallerMessage& message);
  void DeliverReply(size_t entry, const Reply& reply);
  void DeliverToAgent(size_t agent, const Forward& forward);
  void DeliverToCaller(size_t flow, const Answer& answer);
  void Apply(size_t agent, const AgentActions& actions);
  void ApplyOne(size_t agent, const AgentAction& action);
  void StartTargetRun(size_t agent, const StartRun& start);
  void EndTargetRun(size_t agent, RunId run, const RunResult& result);
  size_t FindFlow(const TraceRequest& event);
  void StartCall(size_t flow, const Call& call);
  void OnCallerOutput(size_t flow, const CallerOutput& output);
  void OnFinished(size_t flow, const FinishedRequest& finished);
  void WakeLater(size_t flow);
  bool Resubmit(size_t flow, const Call& call, const FinishedRequest& finished);

  const Trace& trace_;
  const ReplayOptions& options_;
  std::mt19937_64 random_;
  absl::Time now_;
  /// Time 0 of the trace.
  absl::Time origin_;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::map<std::string, Service> services_;
  std::vector<Agent> agents_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<Flow> flows_;
  std::map<std::pair<std::string, uint64_t>, size_t> flow_index_;
  absl::flat_hash_map<RequestId, Runs> runs_;
  uint64_t revision_ = 0;
  size_t lines_left_ = 0;
  size_t requests_open_ = 0;
  std::string problem_;
  RunRecord record_;
};

}  // namespace skylarkshunt

#endif  // TOOLS_SKYLARKSHUNT_REPLAY_DRIVER_H_
