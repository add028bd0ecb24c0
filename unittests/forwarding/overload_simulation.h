#ifndef SKYLARKSHUNT_UNITTESTS_FORWARDING_OVERLOAD_SIMULATION_H_
#define SKYLARKSHUNT_UNITTESTS_FORWARDING_OVERLOAD_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/forwarding/agent_forwarder.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"

namespace skylarkshunt {

/// Clients, entries, agents and targets of one service in one data centre, for
/// tests and experiments under load. Entries and agents run the forwarding
/// decisions under a simulated clock. A client opens a flow per request, ends
/// an attempt when it is refused or its patience is over, and opens the next
/// one at once from its next port. Runs with the same options give the same
/// outcome.
class OverloadSimulation {
 public:
  struct Options {
    size_t entries = 3;
    size_t agents = 6;
    uint32_t slots = 3;
    /// Mean of the work of a request; a lognormal distribution.
    absl::Duration work = absl::Milliseconds(24);
    double work_spread = 0.5;
    size_t client_addresses = 60;
    absl::Duration client_delay = absl::Milliseconds(1);
    absl::Duration node_delay = absl::Microseconds(700);
    absl::Duration objective = absl::Milliseconds(120);
    absl::Duration deadline = absl::Seconds(2);
    int attempts = 3;
    uint32_t seed = 1;
    /// Warm-up of a target after RestartAgents().
    absl::Duration warmup = absl::ZeroDuration();
    double warmup_per_second = 0;
    /// Work of a request during the warm-up, as a multiple of the usual one.
    double warmup_factor = 1.0;
    double warmup_excess = 0;
    double warmup_slack = 0;
  };

  enum class Outcome : uint8_t { kPending, kInTime, kLate, kFailed };

  struct Request {
    uint32_t client_address = 0;
    absl::Time start;
    int attempt = 0;
    FlowId flow;
    Outcome outcome = Outcome::kPending;
    absl::Time end;
    /// The last attempt ended without an answer or a refusal.
    bool unanswered = false;
  };

  explicit OverloadSimulation(const Options& options);

  /// Runs for `time` while requests arrive at `load` times the rate that the
  /// slots can serve.
  void Run(absl::Duration time, double load);
  /// Runs without new requests until all have an outcome.
  void Finish();
  /// Stops all nodes and targets for `time`. Their state is lost, and the
  /// targets are slower by `cold_factor` for two seconds after that.
  void LosePower(absl::Duration time, double cold_factor);

  /// Stops the first `count` agents and their targets for `time`. The targets
  /// are cold afterwards.
  void RestartAgents(size_t count, absl::Duration time);

  absl::Time now() const { return now_; }
  /// Times at which the cold target of an agent got opening packets.
  const std::vector<absl::Time>& cold_openings(size_t agent) const {
    return agents_[agent].cold_openings;
  }
  const std::vector<Request>& requests() const { return requests_; }
  /// Times from an opening packet to its refusal.
  const std::vector<absl::Duration>& refusal_times() const {
    return refusal_times_;
  }
  /// Requests that the slots can serve in `time`.
  double Capacity(absl::Duration time) const;
  /// Number of requests with `outcome` that started in [from, to).
  size_t Count(Outcome outcome, absl::Time from, absl::Time to) const;

 private:
  struct Target {
    uint32_t running = 0;
    std::deque<FlowId> waiting;
  };
  struct Agent {
    std::unique_ptr<AgentForwarder> forwarder;
    Target target;
    Endpoint endpoint;
    AgentIdentity identity;
    uint64_t sequence = 0;
    uint64_t starts = 0;
    absl::Time down_until = absl::InfinitePast();
    absl::Time warm_at = absl::InfinitePast();
    std::vector<absl::Time> cold_openings;
  };
  struct Entry {
    std::unique_ptr<EntryForwarder> forwarder;
    Endpoint endpoint;
  };
  struct Event {
    absl::Time time;
    uint64_t number = 0;
    std::function<void()> run;

    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };

  void After(absl::Duration delay, std::function<void()> run);
  void RunUntil(absl::Time end);
  void ScheduleArrival();
  void ScheduleTick();
  void ScheduleReport(size_t agent);
  void StartEntry(size_t entry);
  void StartAgent(size_t agent);
  void ReportTarget(Agent& agent);
  bool IsDown(size_t agent) const;
  void Attempt(size_t request);
  void SendOpening(size_t request, int attempt, int copy);
  void EndAttempt(size_t request, int attempt, bool refused);
  void SendFromClient(const PacketHeader& header);
  void Execute(size_t entry, EntryActions& actions);
  void Execute(size_t agent, AgentActions& actions);
  void ToTarget(size_t agent, const PacketHeader& header);
  void StartWork(size_t agent);
  void FromTarget(size_t agent, const PacketHeader& header);
  void ToClient(const PacketHeader& header);
  void OnReset(const FlowId& flow);

  const Options options_;
  std::shared_ptr<const RouteTable> routes_;
  std::mt19937 random_;
  absl::Time now_;
  absl::Time dark_until_ = absl::InfinitePast();
  double cold_factor_ = 1.0;
  double rate_ = 0;
  uint64_t next_event_ = 0;
  uint64_t arrivals_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
  std::vector<uint16_t> ports_;
  std::vector<Request> requests_;
  absl::flat_hash_map<FlowId, std::pair<size_t, int>> attempts_;
  absl::flat_hash_map<FlowId, absl::Time> opened_;
  std::vector<absl::Duration> refusal_times_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_FORWARDING_OVERLOAD_SIMULATION_H_
