#ifndef SKYLARKSHUNT_UNITTESTS_FLOW_PROOF_SIMULATED_SITE_H_
#define SKYLARKSHUNT_UNITTESTS_FLOW_PROOF_SIMULATED_SITE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "skylarkshunt/forwarding/agent_forwarder.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"

namespace skylarkshunt {

/// Entries, agents and their targets without network delays. Targets grant
/// every opening packet and return packets of flows that they do not hold.
class SimulatedSite {
 public:
  SimulatedSite(size_t entries, size_t agents);

  absl::Time now() const { return now_; }
  /// Advances the time; all timers run.
  void Pass(absl::Duration time);
  /// Sends a packet of a client through an entry, and all messages and packets
  /// that follow from it.
  void Send(size_t entry, const PacketHeader& header);
  void ReportTarget(size_t agent, const TargetReport& report);
  /// Sends the agent's report to one entry.
  void ReportAgent(size_t agent, size_t entry);
  /// Sends the reports of all agents to all entries.
  void ReportAgents();
  /// Replaces the agent by a new process without state. Its target keeps
  /// running.
  void RestartAgent(size_t agent);
  /// Ends the agent. It receives and sends nothing more.
  void EndAgent(size_t agent) { agents_[agent].forwarder = nullptr; }

  AgentForwarder& agent(size_t agent) { return *agents_[agent].forwarder; }
  /// Packets of open flows that the target received since its start.
  size_t received(size_t agent) const { return agents_[agent].received; }
  /// Resets that clients received.
  size_t resets() const { return resets_; }

 private:
  struct Agent {
    AgentIdentity identity;
    Endpoint endpoint;
    std::unique_ptr<AgentForwarder> forwarder;
    uint64_t reports = 0;
    absl::flat_hash_set<FlowId> held;
    size_t received = 0;
  };

  void Execute(size_t entry, EntryActions& actions);
  void Execute(size_t agent, AgentActions& actions);
  void DeliverToTarget(size_t agent, const AgentActions::ToTarget& delivery);
  const PacketHeader& HeaderOf(absl::Span<const uint8_t> packet) const;

  absl::Time now_;
  std::vector<std::unique_ptr<EntryForwarder>> entries_;
  std::vector<Agent> agents_;
  /// Headers of the packets sent so far; a packet's only byte is its index.
  std::vector<PacketHeader> headers_;
  size_t resets_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_FLOW_PROOF_SIMULATED_SITE_H_
