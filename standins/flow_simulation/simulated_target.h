#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_TARGET_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/forwarding/target_report.h"
#include "skylarkshunt/packets/packet.h"
#include "standins/flow_simulation/simulation_context.h"

namespace skylarkshunt {

/// Payload of a request; the second one asks the target to end the flow.
inline constexpr uint16_t kRequestBytes = 200;
inline constexpr uint16_t kLastRequestBytes = 201;
/// Payload of an answer, and of one to a request that has not run.
inline constexpr uint16_t kAnswerBytes = 500;
inline constexpr uint16_t kRejectionBytes = 60;

/// A target: grants flows, runs requests in its slots and reports to its agent.
/// A new life has no state of the one before. Not thread-safe.
class SimulatedTarget {
 public:
  /// Time between two reports.
  static constexpr absl::Duration kReportInterval = absl::Seconds(1);

  struct Outputs {
    std::function<void(const PacketHeader&)> packet;
    /// Returns whether the report was acknowledged.
    std::function<bool(const TargetReport&)> report;
    std::function<void(const std::string& id)> left;
  };

  SimulatedTarget(SimulationContext& context,
                  size_t index,
                  std::string service,
                  Outputs outputs);
  SimulatedTarget(const SimulatedTarget&) = delete;
  SimulatedTarget& operator=(const SimulatedTarget&) = delete;

  bool is_running() const { return running_; }
  const std::string& service() const { return service_; }

  /// Starts a life whose first report is sent after `first_report`.
  void Start(absl::Duration first_report);
  /// Ends the process at once. Its address returns all packets.
  void Crash();
  /// Reports that it drains, then leaves and ends after `time`.
  void Drain(absl::Duration time);
  /// Takes a packet from the agent.
  void Receive(const PacketHeader& header);

 private:
  struct Flow {
    /// Sequence of the client's opening packet, which identifies the flow among
    /// those of the same ports.
    uint32_t client_sequence = 0;
    uint32_t client_next = 0;
    uint32_t next = 0;
    uint32_t acknowledged = 0;
    bool open = false;
    bool client_ended = false;
    bool ended = false;
    int retransmissions = 0;
    /// Sent packets that the client has not acknowledged.
    std::deque<PacketHeader> unacknowledged;
    uint64_t number = 0;
  };
  struct Request {
    FlowId flow;
    uint64_t number = 0;
    bool last = false;
  };

  void OnPacket(const PacketHeader& header);
  void OnOpening(const FlowId& id, const PacketHeader& header);
  void OnAcknowledgement(Flow& flow, const PacketHeader& header);
  void SetEnded(Flow& flow);
  void OnRequest(const FlowId& id, Flow& flow, const PacketHeader& header);
  void StartWork();
  void Answer(const Request& request, uint16_t payload_bytes);
  void Send(const FlowId& id, Flow& flow, PacketHeader header);
  void ScheduleRetransmission(const FlowId& id,
                              uint64_t number,
                              absl::Duration delay);
  void SendBare(const FlowId& id, const Flow& flow, bool reset);
  void Return(PacketHeader header);
  void ScheduleReport(absl::Duration delay);
  /// Runs `run` after `delay` unless this life has ended.
  void AfterInThisLife(absl::Duration delay, std::function<void()> run);

  SimulationContext& context_;
  const Actor actor_;
  const std::string service_;
  const Outputs outputs_;
  bool running_ = false;
  bool draining_ = false;
  uint64_t life_ = 0;
  uint64_t id_ = 0;
  int64_t born_ms_ = 0;
  uint64_t report_sequence_ = 0;
  uint64_t next_number_ = 0;
  uint32_t working_ = 0;
  /// Granted flows that have not ended.
  size_t granted_ = 0;
  std::deque<Request> waiting_;
  absl::flat_hash_map<FlowId, Flow> flows_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_TARGET_H_
