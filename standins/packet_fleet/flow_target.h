#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_TARGET_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_TARGET_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "skylarkshunt/http/http_server.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/packets/packet.h"
#include "standins/packet_fleet/flow_ledger.h"

namespace skylarkshunt {

/// Service that clients ask for on routes that change their services.
inline constexpr char kAnyService[] = "any";

/// A target as the platform's protocol describes it: grants flows, runs the
/// requests of each flow one after another, as many at once as it has slots,
/// returns packets of flows that it does not hold, and reports itself to the
/// agent beside it. It crashes and starts again on demand. Its public methods
/// are thread-safe.
class FlowTarget {
 public:
  struct Options {
    /// Number of the target in the ledger.
    int index = 0;
    std::string service;
    /// Where the target takes packets and answers its health check.
    Endpoint app;
    /// Where its agent takes the target's packets and reports.
    Endpoint outbound;
    Endpoint reports;
    /// Mean time of a request; each one takes half to one and a half of it.
    absl::Duration work = absl::Milliseconds(15);
    size_t slots = 4;
    /// Requests that wait for a slot; others are answered as not run.
    size_t queue = 8;
    absl::Duration report_interval = absl::Milliseconds(300);
  };

  /// How a target starts again.
  struct Incarnation {
    /// Time until its first report.
    absl::Duration report_delay;
    /// Whether it has another id than before.
    bool new_id = false;
  };

  /// Precondition: `ledger` outlives the target. Errors: kAddressInUse,
  /// kSystem.
  static Result<std::unique_ptr<FlowTarget>> Start(const Options& options,
                                                   FlowLedger& ledger);
  ~FlowTarget();

  /// Loses all flows. Until Restart() it returns every packet, or drops it.
  void Crash(bool returns_packets);
  void Restart(const Incarnation& incarnation);
  void SetDraining(bool draining) { draining_.store(draining); }
  /// Reports that it leaves, and ends as planned.
  void Leave();

  /// How often each request ran here.
  std::map<uint64_t, int> runs() const;
  /// Requests that another service should have got.
  int misrouted() const { return misrouted_.load(); }
  /// Packets with a wrong checksum, and resets of the nodes' own.
  int altered() const { return altered_.load(); }
  const Options& options() const { return options_; }

 private:
  struct Flow {
    /// Sequence numbers of the opening packet, of the grant, of the client's
    /// next byte, and of the answer's first and next byte.
    uint32_t opening = 0;
    uint32_t granted = 0;
    uint32_t expects = 0;
    uint32_t sequence = 0;
    uint32_t next_sequence = 0;
    uint64_t request = 0;
    bool keep = false;
    /// Its request waits for a slot, or has one.
    bool queued = false;
    bool running = false;
    /// The target ends the flow with its answer.
    bool closing = false;
    bool unacknowledged = false;
    bool ended = false;
    /// Service that the client asked for.
    std::string service;
    std::string answer;
    int sent = 0;
    absl::Time next;
    absl::Time used;
  };

  FlowTarget(const Options& options,
             FlowLedger& ledger,
             UdpSocket socket,
             Wakeup wakeup);
  Result<void> Open();
  void Step();
  void OnPacket(const PacketHeader& header, absl::Span<const uint8_t> packet);
  void Grant(const FlowId& id, const PacketHeader& header)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnFlowPacket(const FlowId& id,
                    Flow& flow,
                    const PacketHeader& header,
                    const std::string& payload)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void TakeRequest(const FlowId& id, Flow& flow, const std::string& payload)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Answer(const FlowId& id, Flow& flow, const char* suffix)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendAnswer(const FlowId& id, Flow& flow)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendEnd(const FlowId& id, const Flow& flow, bool reset);
  void SendDue(absl::Time now);
  void StartWaiting(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Report();
  std::string id() const;

  const Options options_;
  FlowLedger& ledger_;
  const std::shared_ptr<const PacketFormat> format_;
  UdpSocket socket_;
  Wakeup wakeup_;
  std::atomic<bool> crashed_{false};
  std::atomic<bool> returns_packets_{true};
  std::atomic<bool> draining_{false};
  std::atomic<int> misrouted_{0};
  std::atomic<int> altered_{0};
  std::atomic<int64_t> started_ms_;
  std::atomic<int64_t> first_report_ms_{0};
  std::atomic<int> identity_{0};
  std::atomic<uint64_t> sequence_{0};
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<FlowId, Flow> flows_ ABSL_GUARDED_BY(mutex_);
  std::deque<FlowId> waiting_ ABSL_GUARDED_BY(mutex_);
  size_t running_ ABSL_GUARDED_BY(mutex_) = 0;
  std::map<uint64_t, int> runs_ ABSL_GUARDED_BY(mutex_);
  std::mt19937 random_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<HttpServer> health_;
  LoopThread packets_;
  Wakeup report_wakeup_;
  LoopThread reports_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_TARGET_H_
