#ifndef SKYLARKSHUNT_LIB_AGENT_TARGET_POOL_H_
#define SKYLARKSHUNT_LIB_AGENT_TARGET_POOL_H_

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// Maximum number of workers, and so of concurrent requests at the target.
inline constexpr size_t kMaxTargetWorkers = 64;
/// Capacity for runs that wait for a worker. A full ring refuses the run, which
/// then was not sent.
inline constexpr size_t kRunRingSlots = 128;
/// Capacity for ended runs that wait for the data thread. It covers every run
/// that can be in progress, so no result is lost.
inline constexpr size_t kEndedRingSlots = kRunRingSlots + 2 * kMaxTargetWorkers;

/// The result of one ended run.
struct RunEnded {
  RunId run{};
  RunResult result;
};

/// The worker threads that send requests to the target. SetWorkers(), Start(),
/// Cancel() and TryPop() are for the data thread only.
class TargetPool {
 public:
  /// `on_ended` runs on a worker after each ended run.
  TargetPool(Endpoint target, std::function<void()> on_ended);
  /// Ends the calls in progress by shutting down their connections.
  ~TargetPool();

  /// Adds workers up to `count`, at most kMaxTargetWorkers. Idle workers cost
  /// little and are never removed.
  void SetWorkers(size_t count);
  /// Queues the run for a worker. Returns false when the ring is full; the run
  /// was then not sent.
  bool Start(const StartRun& run);
  /// Shuts down the run's connection, or prevents a run that has not begun.
  void Cancel(RunId run);
  absl::optional<RunEnded> TryPop() { return ended_.TryPop(); }

 private:
  struct Job {
    StartRun run;
    absl::Time started;
  };
  struct Worker {
    absl::Mutex mutex;
    RunId run ABSL_GUARDED_BY(mutex){};
    bool cancelled ABSL_GUARDED_BY(mutex) = false;
    /// A duplicate of the call's socket, or -1. The call closes the original at
    /// any time, so only a duplicate can be shut down safely.
    int socket ABSL_GUARDED_BY(mutex) = -1;
    std::thread thread;
  };

  void Work(Worker& worker);
  RunResult RunJob(Worker& worker, const Job& job);
  void KeepSocket(Worker& worker, int socket);
  void Release(Worker& worker);
  void CloseCall(Worker& worker);
  bool TakeCancelled(RunId run);

  const Endpoint target_;
  BoundedRing<Job> jobs_;
  BoundedRing<RunEnded> ended_;
  std::atomic<bool> stop_{false};
  absl::Mutex cancelled_mutex_;
  /// Cancelled runs that wait for a worker; at most kRunRingSlots.
  std::vector<RunId> cancelled_ ABSL_GUARDED_BY(cancelled_mutex_);
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_TARGET_POOL_H_
