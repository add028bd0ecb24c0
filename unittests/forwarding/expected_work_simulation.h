#ifndef SKYLARKSHUNT_UNITTESTS_FORWARDING_EXPECTED_WORK_SIMULATION_H_
#define SKYLARKSHUNT_UNITTESTS_FORWARDING_EXPECTED_WORK_SIMULATION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "packets.h"
#include "skylarkshunt/forwarding/agent_directory.h"
#include "skylarkshunt/forwarding/load_model.h"
#include "skylarkshunt/forwarding/work_model.h"

namespace skylarkshunt {

/// Entries that place requests on targets of different speeds, with the
/// product's placement, load models and declines. Messages take time and are
/// not lost. The same seed gives the same requests for all rules of placement.
class ExpectedWorkSimulation {
 public:
  struct Options {
    uint32_t seed = 1;
    size_t entries = 8;
    size_t agents = 12;
    size_t data_centres = 2;
    /// Every n-th agent reports its pending work; 0 for the present rule.
    size_t reporting = 1;
    /// Factor by which every third report is too high, and every third one too
    /// low.
    double lie = 1.0;
    double load = 0.8;
    std::array<double, 3> speeds = {0.6, 1.0, 1.6};
    /// Work of the two routes at the usual speed.
    std::array<absl::Duration, 2> work = {absl::Milliseconds(10),
                                          absl::Milliseconds(40)};
    double work_spread = 0.25;
    double long_share = 0.03;
    /// Requests of a burst on the second route in the middle of the run.
    size_t burst = 0;
    /// Factor of the work at the second target in the second half of the run.
    double slow_factor = 1.0;
    absl::Duration time = absl::Seconds(12);
  };
  struct Result {
    size_t requests = 0;
    /// Time from the opening packet to the start of the work.
    absl::Duration mean;
    absl::Duration p95;
    absl::Duration p99;
    /// Time from the opening packet to the answer.
    absl::Duration mean_answer;
    absl::Duration p99_answer;
    size_t remote = 0;
    size_t declines = 0;
    WaitAccuracy accuracy;
  };

  static Result Run(const Options& options);

 private:
  struct Request {
    size_t entry = 0;
    Endpoint route;
    absl::Duration work;
    absl::Time opened;
    WorkModel::Token token = 0;
    uint32_t busy_before = 0;
    absl::Time arrived;
    std::vector<InstanceUid> declined;
    uint64_t hash = 0;
  };
  struct Agent {
    AgentIdentity identity;
    double speed = 1.0;
    WorkModel work;
    ServiceTimeModel service_time;
    uint32_t busy = 0;
    uint32_t running = 0;
    std::deque<size_t> waiting;
    uint64_t sequence = 0;
  };
  struct Event {
    absl::Time time;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  explicit ExpectedWorkSimulation(const Options& options);
  void After(absl::Duration delay, std::function<void()> run);
  void Arrive();
  void Add(size_t route);
  void Place(size_t request);
  void OnOpening(size_t agent, size_t request, uint32_t limit_us);
  void StartWork(size_t agent);
  void Answer(size_t agent, size_t request);
  void Report(size_t agent);
  AgentLoad Load(size_t agent);
  absl::Duration DelayBetween(size_t entry, size_t agent) const;
  Result Summary();

  const Options options_;
  std::mt19937 arrivals_;
  double rate_ = 0;
  absl::Time now_ = kStart;
  absl::Time end_;
  std::priority_queue<Event> events_;
  uint64_t next_event_ = 0;
  std::vector<AgentDirectory> entries_;
  std::vector<Agent> agents_;
  std::vector<Request> requests_;
  std::vector<absl::Duration> waits_;
  std::vector<absl::Duration> answers_;
  Result result_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_FORWARDING_EXPECTED_WORK_SIMULATION_H_
