#ifndef SKYLARKSHUNT_LIB_ENTRY_PLATFORM_LOOP_H_
#define SKYLARKSHUNT_LIB_ENTRY_PLATFORM_LOOP_H_

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/platform/platform_client.h"
#include "skylarkshunt/process/backoff.h"
#include "skylarkshunt/process/watch_position.h"

namespace skylarkshunt {

/// Changes that a watch reported.
struct PlatformChanges {
  std::vector<ConfigRecord> changes;
};
/// A complete list of services and drains.
struct PlatformListed {
  Revision revision{};
  std::vector<ConfigRecord> objects;
};
/// The entries in the region's directory.
struct DirectoryRead {
  std::vector<Endpoint> entries;
};
using PlatformEvent =
    std::variant<PlatformChanges, PlatformListed, DirectoryRead>;

/// Events that wait for the control thread. A full ring drops the event, counts
/// it and lists the platform again.
inline constexpr size_t kPlatformRingSlots = 16;
/// Longest wait of one watch call. The thread watches services and drains in
/// turn, so that it bounds the delay of a change, of a directory write and of
/// the end of the process.
inline constexpr absl::Duration kWatchWait = absl::Milliseconds(500);
/// Time after which the revision that an answer to a watch names is trusted.
inline constexpr absl::Duration kWatchSettleTime = absl::Seconds(3);
/// Time between two lists while a watch goes on: the repair of a watch that
/// skipped a change.
inline constexpr absl::Duration kRelistInterval = absl::Seconds(60);
/// Time between two reads of the directory while no other entry is known.
inline constexpr absl::Duration kIsolatedReadInterval = absl::Seconds(5);
/// Least time between two writes of the directory.
inline constexpr absl::Duration kDirectoryWriteInterval = absl::Seconds(10);

/// The platform thread of an entry. The client belongs to it alone; all public
/// methods are thread-safe.
class PlatformLoop {
 public:
  struct Options {
    std::unique_ptr<PlatformClient> client;
    std::string region;
    uint64_t random_seed = 1;
    CounterRegistry* counters = nullptr;
    /// Runs after each new event.
    std::function<void()> on_event;
  };

  explicit PlatformLoop(Options options);
  ~PlatformLoop();

  void Start();
  /// Lists and watches from now on, or stops.
  void SetWatching(bool watching);
  /// While isolated, the directory is read again and again.
  void SetIsolated(bool isolated) { isolated_.store(isolated); }
  /// Writes the directory; replaces a write not yet begun.
  void WriteDirectory(std::vector<Endpoint> entries);
  absl::optional<PlatformEvent> TryPop() { return events_.TryPop(); }

 private:
  void Run();
  void Step();
  /// Returns the time until something is due, zero when it was done.
  absl::Duration ReadDirectoryWhenDue(absl::Time now);
  absl::Duration WriteDirectoryWhenDue(absl::Time now);
  absl::Duration ListWhenDue(absl::Time now);
  void WatchOnce();
  Result<ObjectList> ListAll();
  /// Reads the directory object and hands its entries on. Returns the revision
  /// of the object, 0 when there is none.
  Result<Revision> ReadDirectory(std::vector<Endpoint>& entries);
  bool Push(PlatformEvent event);
  void OnSuccess();
  void OnFailure(const Error& error, absl::string_view call);

  Options options_;
  Counter& calls_;
  Counter& failures_;
  Counter& overflow_;
  Backoff backoff_;
  BoundedRing<PlatformEvent> events_;
  /// Wakes the thread; a value is the newest directory to write.
  BoundedRing<std::vector<Endpoint>> writes_;
  BoundedRing<bool> wakes_;
  std::atomic<bool> watching_{false};
  std::atomic<bool> isolated_{true};
  std::atomic<bool> stop_{false};
  // Below: the thread's own.
  bool need_list_ = true;
  bool reachable_ = true;
  /// Where the watch of each prefix goes on, and the prefix that is next.
  std::array<WatchPosition, 2> watched_{WatchPosition(kWatchSettleTime),
                                        WatchPosition(kWatchSettleTime)};
  size_t next_prefix_ = 0;
  absl::Time not_before_ = absl::InfinitePast();
  absl::Time next_list_ = absl::InfinitePast();
  absl::Time next_read_ = absl::InfinitePast();
  absl::Time next_write_ = absl::InfinitePast();
  absl::optional<std::vector<Endpoint>> unwritten_;
  std::thread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_ENTRY_PLATFORM_LOOP_H_
