#ifndef SKYLARKSHUNT_LIB_ENTRY_CONTROL_LOOP_H_
#define SKYLARKSHUNT_LIB_ENTRY_CONTROL_LOOP_H_

#include <atomic>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "data_plane.h"
#include "platform_loop.h"
#include "skylarkshunt/admin/status_board.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/control/entry_control.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/transport/control_transport.h"

namespace skylarkshunt {

/// Least time between two builds of the routing snapshot.
inline constexpr absl::Duration kSnapshotInterval = absl::Milliseconds(50);
/// Time between two publications of the status.
inline constexpr absl::Duration kStatusInterval = absl::Milliseconds(500);

/// The control thread of an entry: membership, configuration and the routing
/// snapshot. The parts it is given must outlive it.
class EntryControlLoop {
 public:
  struct Parts {
    std::unique_ptr<EntryControl> control;
    ControlTransport& transport;
    PlatformLoop& platform;
    EntryDataPlane& data;
    StatusBoard& board;
    CounterRegistry& counters;
    /// Notified by the transport and the platform loop.
    Wakeup& wakeup;
  };

  explicit EntryControlLoop(Parts parts);

  void Start();
  /// Announces that the entry leaves. Thread-safe.
  void BeginShutdown();

 private:
  void Step();
  void TakeTransportEvents();
  void TakePlatformEvents();
  void Execute(EntryControlActions actions);
  void Execute(EntryControlAction& action);
  void BuildSnapshot();
  void PublishStatus();
  absl::flat_hash_map<ServiceUid, std::string> ServiceNames(
      const std::vector<ConfigRecord>& config);

  struct KnownName {
    Revision revision{};
    ServiceUid uid{};
  };

  Parts parts_;
  Counter& builds_;
  Counter& services_;
  Counter& targets_;
  Counter& records_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  /// Uids of the services by name, so that a record is parsed once.
  absl::flat_hash_map<std::string, KnownName> names_;
  bool routing_changed_ = true;
  bool left_ = false;
  absl::Time next_tick_ = absl::InfinitePast();
  absl::Time next_build_ = absl::InfinitePast();
  absl::Time next_status_ = absl::InfinitePast();
  std::atomic<bool> shutdown_{false};
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_ENTRY_CONTROL_LOOP_H_
