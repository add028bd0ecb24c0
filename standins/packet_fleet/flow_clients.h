#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_CLIENTS_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_CLIENTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// A route of the fleet as clients use it.
struct ClientRoute {
  Endpoint address;
  std::string service;
  bool idempotent = true;
};

/// How requests ended, and what clients saw that must not be.
struct ClientTally {
  int asked = 0;
  int answered = 0;
  int refused = 0;  ///< Resets before the flow opened, after all attempts.
  int cut = 0;      ///< Resets of open flows, after all attempts.
  int timed_out = 0;
  int wrong = 0;  ///< Answers of another request or service.
  /// Resets of open flows, by the target that had granted them.
  std::map<uint8_t, std::vector<absl::Time>> cuts;
  /// Answered and asked by second, for the report.
  std::map<int64_t, std::pair<int, int>> by_second;
};

/// Clients that open a flow for each request and send every packet through a
/// node of the current rotation, as the platform's routers do: the node follows
/// from a hash modulo their number. Public methods are thread-safe.
class FlowClients {
 public:
  struct Options {
    /// One address, and with it one socket, for each client.
    std::vector<uint32_t> addresses;
    /// Port of the clients' addresses, and of the entries' data address.
    uint16_t port = 0;
    std::vector<ClientRoute> routes;
    int requests_per_second = 100;
    uint32_t seed = 1;
  };

  /// Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<FlowClients>> Start(const Options& options);
  ~FlowClients();

  /// The entries that get packets from now on.
  void SetRotation(std::vector<Endpoint> entries);
  /// Asks no more; requests that run are finished.
  void StopAsking();
  bool idle() const;
  ClientTally tally() const;

 private:
  enum class Phase { kOpening, kOpen };

  struct Attempt {
    size_t client = 0;
    ClientRoute route;
    uint64_t request = 0;
    FlowId flow;
    Phase phase = Phase::kOpening;
    int attempt = 1;
    int sent = 0;
    uint32_t granted = 0;
    absl::Time next;
    absl::Time opened;
    absl::Time deadline;
  };

  FlowClients(const Options& options,
              std::vector<UdpSocket> sockets,
              Wakeup wakeup);
  void Step();
  void Ask(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendAttempt(Attempt& attempt, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnPacket(const PacketHeader& header,
                absl::Span<const uint8_t> packet,
                absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Retry(Attempt attempt, bool was_open, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendDue(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Send(const Attempt& attempt,
            const PacketHeader& header,
            const std::string& payload,
            uint32_t copies) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Options options_;
  const std::shared_ptr<const PacketFormat> format_;
  std::vector<UdpSocket> sockets_;
  Wakeup wakeup_;
  mutable absl::Mutex mutex_;
  std::vector<Endpoint> rotation_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, Attempt> running_ ABSL_GUARDED_BY(mutex_);
  ClientTally tally_ ABSL_GUARDED_BY(mutex_);
  std::mt19937 random_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_request_ ABSL_GUARDED_BY(mutex_) = 1;
  uint16_t next_port_ ABSL_GUARDED_BY(mutex_) = 1024;
  absl::Time next_ask_ ABSL_GUARDED_BY(mutex_);
  bool asking_ ABSL_GUARDED_BY(mutex_) = true;
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_CLIENTS_H_
