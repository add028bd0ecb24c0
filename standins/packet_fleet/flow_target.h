#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_TARGET_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_TARGET_H_

#include <atomic>
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

namespace skylarkshunt {

/// A target as the platform's protocol describes it: grants flows, runs one
/// request a flow, returns packets of flows that it does not hold, and reports
/// itself to the agent beside it. It crashes and starts again on demand. Its
/// public methods are thread-safe.
class FlowTarget {
 public:
  struct Options {
    /// Index of the target, the highest byte of its sequence numbers.
    uint8_t index = 0;
    std::string service;
    /// Where the target takes packets and answers its health check.
    Endpoint app;
    /// Where its agent takes the target's packets and reports.
    Endpoint outbound;
    Endpoint reports;
    absl::Duration work = absl::Milliseconds(15);
    absl::Duration report_interval = absl::Milliseconds(300);
  };

  /// Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<FlowTarget>> Start(const Options& options);
  ~FlowTarget();

  /// Forgets all flows and returns every packet until Restart().
  void Crash();
  void Restart();
  void SetDraining(bool draining) { draining_.store(draining); }

  /// How often each request ran here.
  std::map<uint64_t, int> runs() const;
  /// Requests that another service should have got.
  int misrouted() const { return misrouted_.load(); }
  const Options& options() const { return options_; }

 private:
  struct Flow {
    uint32_t sequence = 0;
    uint64_t request = 0;
    bool answered = false;
    int sent = 0;
    absl::Time next;
  };

  FlowTarget(const Options& options, UdpSocket socket, Wakeup wakeup);
  Result<void> Open();
  void Step();
  void OnPacket(const PacketHeader& header, absl::Span<const uint8_t> packet);
  void SendDue(absl::Time now);
  void Send(const PacketHeader& header, const std::string& payload);
  void Report();

  const Options options_;
  const std::shared_ptr<const PacketFormat> format_;
  UdpSocket socket_;
  Wakeup wakeup_;
  std::atomic<bool> crashed_{false};
  std::atomic<bool> draining_{false};
  std::atomic<int> misrouted_{0};
  std::atomic<int64_t> started_ms_;
  std::atomic<uint64_t> sequence_{0};
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<FlowId, Flow> flows_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, int> runs_ ABSL_GUARDED_BY(mutex_);
  std::mt19937 random_;
  std::unique_ptr<HttpServer> health_;
  LoopThread packets_;
  Wakeup report_wakeup_;
  LoopThread reports_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_TARGET_H_
