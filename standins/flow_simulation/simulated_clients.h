#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_CLIENTS_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_CLIENTS_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/packets/packet.h"
#include "standins/flow_simulation/client_packets.h"
#include "standins/flow_simulation/network.h"
#include "standins/flow_simulation/simulation_context.h"

namespace skylarkshunt {

/// Clients of all data centres. Each opens a flow for one request or for
/// several ones with pauses, and tries a request again from its next port. Not
/// thread-safe.
class SimulatedClients {
 public:
  /// `send` passes a packet of a client in a data centre to the router.
  SimulatedClients(
      SimulationContext& context,
      std::function<void(size_t data_centre, const PacketHeader&)> send);
  SimulatedClients(const SimulatedClients&) = delete;
  SimulatedClients& operator=(const SimulatedClients&) = delete;

  /// Sets the requests per second, spread over `services`. 0 starts no more.
  void SetRate(double rate, std::vector<Endpoint> services);

  void OnPacket(const PacketHeader& header);
  void OnReset(const SentReset& reset);

 private:
  enum class Phase : uint8_t { kOpening, kOpen, kEnding, kOver };

  struct Session {
    size_t address = 0;
    Endpoint service;
    int requests_left = 1;
    /// The client ends the flow after its last request, not the target.
    bool ends_flow = false;
    int attempts = 0;
    /// The client's first attempt at the current request.
    absl::Time requested;
    FlowId flow;
  };
  struct Connection {
    size_t session = 0;
    uint64_t number = 0;
    Phase phase = Phase::kOpening;
    absl::Time opened;
    ClientSequences sequences;
    /// Last packet with data or an end, until the target acknowledged it.
    PacketHeader unacknowledged;
    bool awaiting = false;
  };

  void ScheduleArrival();
  void StartSession();
  void Attempt(size_t session);
  void SendOpening(const FlowId& flow, uint64_t number, size_t copy);
  void ScheduleDeadline(const FlowId& flow,
                        uint64_t number,
                        absl::Time requested);
  void OnGrant(const FlowId& flow,
               Connection& connection,
               const PacketHeader& header);
  void OnAnswer(const FlowId& flow,
                Connection& connection,
                const PacketHeader& header);
  void SendRequest(const FlowId& flow, Connection& connection);
  void SendEnd(const FlowId& flow, Connection& connection);
  void SendReliably(const FlowId& flow,
                    Connection& connection,
                    const PacketHeader& header);
  void ScheduleRetransmission(const FlowId& flow,
                              uint64_t number,
                              uint32_t sequence,
                              absl::Duration delay,
                              int count);
  void Acknowledge(const FlowId& flow, const Connection& connection);
  /// The current attempt at the session's request has failed.
  void Fail(size_t session);
  void FinishRequest(size_t session, bool served);
  /// The target or a reset has ended an open flow.
  void EndOpenFlow(const FlowId& flow, Connection& connection);
  void Close(const FlowId& flow, Connection& connection);
  Connection* Find(const FlowId& flow, uint64_t number);
  void Send(const FlowId& flow, const PacketHeader& header);

  SimulationContext& context_;
  const std::function<void(size_t, const PacketHeader&)> send_;
  double rate_ = 0;
  uint64_t rate_number_ = 0;
  std::vector<Endpoint> services_;
  std::vector<uint16_t> ports_;
  std::vector<Session> sessions_;
  uint64_t next_number_ = 0;
  absl::flat_hash_map<FlowId, Connection> connections_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_CLIENTS_H_
