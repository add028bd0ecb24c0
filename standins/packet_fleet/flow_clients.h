#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_CLIENTS_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_CLIENTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/packets/packet.h"
#include "standins/packet_fleet/flow_ledger.h"

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
  int refused = 0;   ///< Resets before the flow opened, after all attempts.
  int rejected = 0;  ///< Answers of a target whose queue was full.
  int cut = 0;       ///< Resets of open flows, after all attempts.
  int timed_out = 0;
  int wrong = 0;    ///< Answers of another request or service.
  int altered = 0;  ///< Packets with a wrong checksum.
  int kept = 0;     ///< Flows that were opened for many requests.
  /// Answered and asked by second, for the report.
  std::map<int64_t, std::pair<int, int>> by_second;
};

/// Clients that open flows for one request or for many and send every packet
/// through a node of the current rotation, as the platform's routers do: the
/// node follows from a hash modulo their number. Public methods are
/// thread-safe.
class FlowClients {
 public:
  struct Options {
    /// One address, and with it one socket, for each client.
    std::vector<uint32_t> addresses;
    /// Port of the clients' addresses, and of the entries' data address.
    uint16_t port = 0;
    std::vector<ClientRoute> routes;
    int requests_per_second = 100;
    /// Flows of a hundred that stay open for many requests.
    int kept_percent = 0;
    uint32_t seed = 1;
  };

  /// Precondition: `ledger` outlives the clients. Errors: kAddressInUse,
  /// kSystem.
  static Result<std::unique_ptr<FlowClients>> Start(const Options& options,
                                                    FlowLedger& ledger);
  ~FlowClients();

  /// The entries that get packets from now on.
  void SetRotation(std::vector<Endpoint> entries);
  /// The routes that new flows use from now on.
  void SetRoutes(std::vector<ClientRoute> routes);
  /// New flows come at this multiple of the usual rate.
  void SetRateFactor(int factor);
  /// Asks no more; requests that run are finished.
  void StopAsking();
  bool idle() const;
  ClientTally tally() const;

 private:
  /// kIdle: the flow is kept and waits for its next request.
  enum class Phase { kOpening, kOpen, kIdle };

  struct Attempt {
    size_t client = 0;
    ClientRoute route;
    uint64_t request = 0;
    FlowId flow;
    Phase phase = Phase::kOpening;
    int attempt = 1;
    int sent = 0;
    /// Sequence numbers of the request's first byte, and of the next byte that
    /// the client expects.
    uint32_t sequence = 0;
    uint32_t expects = 0;
    absl::Time next;
    absl::Time asked;
    absl::Time deadline;
    /// A kept flow is ended with its first answer after this.
    absl::Time kept_until = absl::InfinitePast();
  };

  FlowClients(const Options& options,
              FlowLedger& ledger,
              std::vector<UdpSocket> sockets,
              Wakeup wakeup);
  void Step();
  void Ask(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CountAsked(Attempt& attempt, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Open(Attempt attempt, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendAttempt(Attempt& attempt, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnPacket(const PacketHeader& header,
                absl::Span<const uint8_t> packet,
                absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnReset(Attempt& attempt,
               const PacketHeader& header,
               bool from_end,
               absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnAnswer(Attempt& attempt,
                const PacketHeader& header,
                const std::string& payload,
                absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Acknowledge(const Attempt& attempt, bool ending, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Retry(Attempt attempt, bool was_open, absl::Time now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendDue(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Send(const Attempt& attempt,
            const PacketHeader& header,
            const std::string& payload,
            uint32_t copies,
            absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Options options_;
  FlowLedger& ledger_;
  const std::shared_ptr<const PacketFormat> format_;
  std::vector<UdpSocket> sockets_;
  Wakeup wakeup_;
  mutable absl::Mutex mutex_;
  std::vector<Endpoint> rotation_ ABSL_GUARDED_BY(mutex_);
  std::vector<ClientRoute> routes_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<FlowId, Attempt> running_ ABSL_GUARDED_BY(mutex_);
  ClientTally tally_ ABSL_GUARDED_BY(mutex_);
  std::mt19937 random_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_request_ ABSL_GUARDED_BY(mutex_) = 1;
  uint16_t next_port_ ABSL_GUARDED_BY(mutex_);
  int rate_factor_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::Time next_ask_ ABSL_GUARDED_BY(mutex_);
  /// Packets that a step reads have arrived after the step before.
  absl::Time last_step_ ABSL_GUARDED_BY(mutex_);
  bool asking_ ABSL_GUARDED_BY(mutex_) = true;
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_FLOW_CLIENTS_H_
