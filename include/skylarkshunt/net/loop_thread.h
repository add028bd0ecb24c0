#ifndef SKYLARKSHUNT_NET_LOOP_THREAD_H_
#define SKYLARKSHUNT_NET_LOOP_THREAD_H_

#include <atomic>
#include <functional>
#include <thread>

#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {

/// The thread of one duty: runs a step again and again until it is stopped.
/// Declare it after everything that the step uses, so that the thread ends
/// first.
class LoopThread {
 public:
  /// `wakeup` ends a wait inside the step, and must outlive this object.
  explicit LoopThread(const Wakeup& wakeup) : wakeup_(wakeup) {}
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;
  /// Stops the thread and waits for its end.
  ~LoopThread();

  /// Runs `step` in a loop on a thread of its own. Precondition: not started
  /// before. Not thread-safe.
  void Start(std::function<void()> step);

  /// Stops the thread and waits for its end; repeated calls change nothing. Not
  /// thread-safe.
  void Stop();

 private:
  const Wakeup& wakeup_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_NET_LOOP_THREAD_H_
