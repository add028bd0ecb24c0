#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_AGENT_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_AGENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "skylarkshunt/forwarding/agent_forwarder.h"
#include "skylarkshunt/forwarding/configuration_exchange.h"
#include "skylarkshunt/forwarding/node_directory.h"
#include "standins/flow_simulation/simulated_process.h"
#include "standins/flow_simulation/simulated_target.h"

namespace skylarkshunt {

/// Port of the messages between nodes.
inline constexpr uint16_t kPeerPort = 7720;

InstanceUid AgentUid(size_t index);
/// Returns the agent with `uid`, for the course of a flow.
Actor AgentActor(InstanceUid uid);

/// An agent: the decisions of AgentForwarder and NodeDirectory, driven as in
/// lib/node/agent_loop.cc. Its target outlives it. Not thread-safe.
class SimulatedAgent : public SimulatedProcess {
 public:
  SimulatedAgent(SimulationContext& context,
                 size_t index,
                 size_t data_centre,
                 uint32_t address,
                 std::string service,
                 std::vector<uint32_t> seeds);

  uint32_t address() const { return address_; }
  SimulatedTarget& target() { return target_; }

  void OnMessage(uint32_t source, std::shared_ptr<const StoredMessage> message);

 private:
  struct MessageHandler;

  void OnStart() override;
  void OnTerminate() override;
  void OnTick() override;
  void OnSweep() override;
  bool IsEndComplete(absl::Duration leaving) const override;

  void OnTargetPacket(const PacketHeader& header);
  /// Returns whether the process runs and takes the report.
  bool OnTargetReport(const TargetReport& report);
  void OnTargetLeft(const std::string& id);
  void ProbeTarget();
  void FetchConfiguration(const ConfigurationId& offered);
  void SendConfiguration(absl::Span<const uint32_t> addresses);
  void Execute();
  void SendReports();

  const uint32_t address_;
  const size_t data_centre_;
  const std::string service_;
  const std::vector<uint32_t> seeds_;
  SimulatedTarget target_;
  AgentIdentity identity_;
  std::unique_ptr<AgentForwarder> forwarder_;
  std::unique_ptr<NodeDirectory> nodes_;
  AgentActions actions_;
  std::unique_ptr<ConfigurationExchange> exchange_;
  ConfigurationId fetching_;
  uint64_t sequence_ = 0;
  uint64_t incarnation_ = 0;
  bool probing_ = false;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_AGENT_H_
