#ifndef SKYLARKSHUNT_LIB_ENTRY_DATA_PLANE_H_
#define SKYLARKSHUNT_LIB_ENTRY_DATA_PLANE_H_

#include <atomic>
#include <memory>

#include "absl/time/time.h"
#include "route_log.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/placement/router.h"

namespace skylarkshunt {

/// Datagrams taken from one socket before the other one is looked at.
inline constexpr int kDatagramBatch = 64;

/// The data thread of an entry: callers' datagrams to agents and replies back.
/// It uses one socket for callers and one for agents, so that the payload of a
/// caller is never taken for a message of an agent.
class EntryDataPlane {
 public:
  struct Options {
    Endpoint data;
    Incarnation incarnation{};
    PlacementPolicy policy = PlacementPolicy::kHunting;
    uint64_t random_seed = 1;
    uint32_t established_log_rate = 0;
    CounterRegistry* counters = nullptr;
    std::string region;
  };

  /// Opens both sockets. Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<EntryDataPlane>> Open(const Options& options);

  /// Starts the thread.
  void Start();
  Endpoint callers() const { return callers_.local(); }
  /// Routes by `snapshot` from now on; replaces one not yet taken. Thread-safe.
  void UseSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot);
  /// Time since the last valid datagram, or since Open(). Thread-safe.
  absl::Duration Quiet() const;
  void SetEstablishedLogRate(uint32_t rate) { log_.SetRate(rate); }

 private:
  EntryDataPlane(const Options& options,
                 UdpSocket callers,
                 UdpSocket agents,
                 Wakeup wakeup);

  void Step();
  void OnCallerDatagram(absl::Time now, const Datagram& datagram);
  void OnAgentDatagram(absl::Time now, const Datagram& datagram);
  void Execute(const RouteAction& action);
  void SendToAgent(const RouteToAgent& route);
  void SendToCaller(const RouteToCaller& route);
  void NoteTraffic(absl::Time now);

  UdpSocket callers_;
  UdpSocket agents_;
  Wakeup wakeup_;
  RouteLog log_;
  Counter& caller_malformed_;
  Counter& agent_malformed_;
  Counter& replies_;
  Counter& unsent_;
  Counter& snapshots_replaced_;
  BoundedRing<std::shared_ptr<const RoutingSnapshot>> snapshots_;
  std::unique_ptr<Router> router_;
  std::atomic<int64_t> last_traffic_ms_;
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_ENTRY_DATA_PLANE_H_
