#ifndef SKYLARKSHUNT_LIB_AGENT_DIRECTORY_READER_H_
#define SKYLARKSHUNT_LIB_AGENT_DIRECTORY_READER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/platform/platform_client.h"

namespace skylarkshunt {

/// The platform thread of an agent: reads the directory of entries when asked.
/// It has its own thread because a call may wait longer than the time after
/// which the control thread would count as suspended. Request() and TryPop()
/// are thread-safe.
class DirectoryReader {
 public:
  struct Options {
    std::unique_ptr<PlatformClient> client;
    std::string region;
    uint64_t random_seed = 1;
    CounterRegistry* counters = nullptr;
    /// Runs after each successful read of the directory.
    std::function<void()> on_read;
  };

  explicit DirectoryReader(Options options);
  ~DirectoryReader();

  void Start();
  /// Requests one read; further requests before it begins count as one.
  void Request() { requests_.PushReplacingOldest(Command::kRead); }
  /// Returns the entries last read, if not yet taken.
  absl::optional<std::vector<Endpoint>> TryPop() { return entries_.TryPop(); }

 private:
  enum class Command { kRead, kStop };

  void Run();
  /// Waits after a failure; a request that arrives meanwhile is kept.
  void AwaitRetry(absl::Duration wait);
  /// Returns whether the directory was read.
  bool Read();

  Options options_;
  Counter& calls_;
  BoundedRing<Command> requests_;
  BoundedRing<std::vector<Endpoint>> entries_;
  bool reachable_ = true;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_DIRECTORY_READER_H_
