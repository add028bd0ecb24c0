#include "target_pool.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "skylarkshunt/net/poller.h"
#include "target_call.h"

namespace skylarkshunt {
namespace {

/// Longest wait of a worker before it checks whether to end.
constexpr absl::Duration kJobWait = absl::Milliseconds(500);

RunResult NotSent() {
  RunResult result;
  result.kind = RunResult::Kind::kNotSent;
  return result;
}

}  // namespace

TargetPool::TargetPool(Endpoint target, std::function<void()> on_ended)
    : target_(target),
      jobs_(kRunRingSlots),
      ended_(kEndedRingSlots, std::move(on_ended)) {}

TargetPool::~TargetPool() {
  stop_.store(true);
  for (const std::unique_ptr<Worker>& worker : workers_)
    CloseCall(*worker);
  for (const std::unique_ptr<Worker>& worker : workers_)
    worker->thread.join();
}

void TargetPool::SetWorkers(size_t count) {
  while (workers_.size() < std::min(count, kMaxTargetWorkers)) {
    workers_.push_back(std::make_unique<Worker>());
    Worker& worker = *workers_.back();
    worker.thread = std::thread([this, &worker] { Work(worker); });
  }
}

bool TargetPool::Start(const StartRun& run) {
  return jobs_.TryPush(Job{run, MonotonicNow()});
}

void TargetPool::Cancel(RunId run) {
  for (const std::unique_ptr<Worker>& worker : workers_) {
    absl::MutexLock lock(&worker->mutex);
    if (worker->run != run)
      continue;
    worker->cancelled = true;
    if (worker->socket >= 0)
      shutdown(worker->socket, SHUT_RDWR);
    return;
  }
  absl::MutexLock lock(&cancelled_mutex_);
  cancelled_.push_back(run);
  if (cancelled_.size() > kRunRingSlots)
    cancelled_.erase(cancelled_.begin());
}

void TargetPool::Work(Worker& worker) {
  while (!stop_.load()) {
    const absl::optional<Job> job = jobs_.Pop(kJobWait);
    if (!job.has_value())
      continue;
    RunEnded ended{job->run.run, RunJob(worker, *job)};
    const bool kept = ended_.TryPush(std::move(ended));
    assert(kept && "the ring has room for every run under way");
    static_cast<void>(kept);
  }
}

RunResult TargetPool::RunJob(Worker& worker, const Job& job) {
  {
    absl::MutexLock lock(&worker.mutex);
    worker.run = job.run.run;
    worker.cancelled = false;
  }
  // After a suspension longer than the lease, the run no longer belongs to this
  // incarnation and must not start.
  const bool lapsed = MonotonicNow() - job.started > kAgentLease;
  RunResult result = NotSent();
  if (!lapsed && !TakeCancelled(job.run.run)) {
    result = CallTarget(target_, job.run,
                        [&](int socket) { KeepSocket(worker, socket); });
  }
  Release(worker);
  return result;
}

void TargetPool::KeepSocket(Worker& worker, int socket) {
  absl::MutexLock lock(&worker.mutex);
  if (worker.socket >= 0)
    close(worker.socket);
  worker.socket = fcntl(socket, F_DUPFD_CLOEXEC, 0);
  if (worker.socket >= 0 && (worker.cancelled || stop_.load()))
    shutdown(worker.socket, SHUT_RDWR);
}

void TargetPool::Release(Worker& worker) {
  absl::MutexLock lock(&worker.mutex);
  worker.run = RunId{};
  if (worker.socket >= 0)
    close(worker.socket);
  worker.socket = -1;
}

void TargetPool::CloseCall(Worker& worker) {
  absl::MutexLock lock(&worker.mutex);
  worker.cancelled = true;
  if (worker.socket >= 0)
    shutdown(worker.socket, SHUT_RDWR);
}

bool TargetPool::TakeCancelled(RunId run) {
  absl::MutexLock lock(&cancelled_mutex_);
  const auto it = std::find(cancelled_.begin(), cancelled_.end(), run);
  if (it == cancelled_.end())
    return false;
  cancelled_.erase(it);
  return true;
}

}  // namespace skylarkshunt
