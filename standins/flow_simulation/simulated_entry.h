#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_ENTRY_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_ENTRY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/strings/string_view.h"
#include "skylarkshunt/forwarding/configuration_exchange.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"
#include "skylarkshunt/forwarding/entry_peers.h"
#include "skylarkshunt/forwarding/node_directory.h"
#include "standins/flow_simulation/simulated_process.h"

namespace skylarkshunt {

/// An entry: the decisions of EntryForwarder, EntryPeers and NodeDirectory,
/// driven as in lib/node/entry_loop.cc. Not thread-safe.
class SimulatedEntry : public SimulatedProcess {
 public:
  SimulatedEntry(SimulationContext& context,
                 size_t index,
                 size_t data_centre,
                 uint32_t address,
                 std::vector<uint32_t> seeds);

  uint32_t address() const { return address_; }
  size_t data_centre() const { return data_centre_; }
  /// Whether its readiness check succeeds.
  bool IsReady() const;

  void OnClientPacket(const PacketHeader& header);
  void OnMessage(uint32_t source, std::shared_ptr<const StoredMessage> message);
  /// The store has a new configuration, which the entry has read after `delay`.
  void OnConfigurationChange(absl::Duration delay);

 private:
  struct MessageHandler;

  void OnStart() override;
  void OnTerminate() override;
  void OnTick() override;
  void OnSweep() override;
  bool IsEndComplete(absl::Duration leaving) const override;

  void Execute();
  /// Describes what the entry knows of the agent of the flow's target.
  absl::string_view HolderOf(const FlowId& flow);
  /// Reads the configuration and the addresses of the nodes.
  void ReadStore();
  void FetchConfiguration(uint64_t version, absl::Duration delay);
  void SetConfiguration(uint64_t version);
  void SendConfiguration(absl::Span<const uint32_t> addresses);
  void RecordNode(NodeAddress node, uint16_t interval_ms);
  void SendReports();
  void SendToPeers(const EntryPeers::Outgoing& outgoing);
  bool HasAgents() const;

  const uint32_t address_;
  const size_t data_centre_;
  const std::vector<uint32_t> seeds_;
  std::unique_ptr<EntryForwarder> forwarder_;
  std::unique_ptr<EntryPeers> peers_;
  std::unique_ptr<NodeDirectory> nodes_;
  std::unique_ptr<ConfigurationExchange> exchange_;
  EntryReport self_;
  EntryActions actions_;
  uint64_t incarnation_ = 0;
  uint64_t fetching_ = 0;
  absl::Time last_packet_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_SIMULATED_ENTRY_H_
