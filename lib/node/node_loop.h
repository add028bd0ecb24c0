#ifndef SKYLARKSHUNT_LIB_NODE_NODE_LOOP_H_
#define SKYLARKSHUNT_LIB_NODE_NODE_LOOP_H_

#include <atomic>
#include <functional>
#include <vector>

#include "data_loop.h"
#include "decision_log.h"
#include "node_channel.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/forwarding/configuration_exchange.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Common part of the data threads of both roles: the thread, its two sockets,
/// the command queue, the detection of suspensions, and the state that other
/// threads read. Subclasses implement the decisions of a role. Non-public
/// methods run on the data thread only.
class NodeLoop : public DataLoop {
 public:
  void Start() override;
  void Stop() override { thread_.Stop(); }
  bool Command(DataCommand command) override {
    return commands_.TryPush(std::move(command));
  }
  bool is_ready() const override { return ready_.load(); }
  bool is_connected() const override { return connected_.load(); }
  size_t entry_rank() const override { return entry_rank_.load(); }
  bool ended() const override { return ended_.load(); }

 protected:
  /// `packets` receives the packets of clients or of the target. `suspended` is
  /// the event logged for a suspension, `regular_receivers` as in
  /// ConfigurationExchange.
  NodeLoop(const Options& options,
           UdpSocket packets,
           UdpSocket peers,
           Wakeup wakeup,
           EventId suspended,
           size_t regular_receivers);

  /// Returns when Round() must run even without a packet or a command.
  virtual absl::Time NextDeadline(absl::Time now) = 0;
  virtual void Take(const DataCommand& command, absl::Time now) = 0;
  /// Receives, decides and sends.
  virtual void Round(absl::Time now) = 0;
  /// Called about every second.
  virtual void Sweep(absl::Time now) = 0;
  /// Called when the process was suspended, before anything else is handled.
  virtual void OnSuspended(absl::Time /*now*/) {}
  /// Returns whether the node accepts new flows.
  virtual bool IsReady(absl::Time now) = 0;
  /// Returns whether a shutdown that began `leaving` ago is complete.
  virtual bool IsEndComplete(absl::Duration leaving, absl::Time now) = 0;

  /// Calls `handle` for up to kDatagramBatch packets of the packet socket.
  /// Malformed datagrams are counted.
  void ReceivePackets(
      const std::function<void(const PacketHeader&, absl::Span<const uint8_t>)>&
          handle);
  /// Returns the longest time for which the packets that ReceivePackets()
  /// handles may have waited in the socket.
  absl::Duration packet_delay(absl::Time now) const {
    return now - packets_empty_;
  }
  /// Calls `handle` for up to kDatagramBatch messages of other nodes.
  void ReceiveMessages(
      const std::function<void(Endpoint, const NodeMessage&)>& handle);
  /// Reads the header of a packet. Returns nothing if the packet is malformed,
  /// and counts it.
  absl::optional<PacketHeader> ReadPacket(absl::Span<const uint8_t> packet);
  void LogDecisions(const std::vector<Decision>& decisions, absl::Time now);
  const ConfigurationId& configuration() const { return exchange_.held(); }
  /// Records the configuration of this node and reports it to others.
  void SetConfiguration(const ConfigurationId& held,
                        NodeDirectory& nodes,
                        absl::Time now);
  void SendConfiguration(absl::Span<const uint32_t> addresses);
  void SendRegularConfiguration(const NodeDirectory& nodes, absl::Time now);
  void OnConfigurationReport(uint32_t address,
                             const ConfigurationReport& report);
  void RecordPeerMessage(absl::Time now) { last_seen_ = now; }
  void SetEntryRank(size_t rank) { entry_rank_.store(rank); }
  /// Begins the graceful shutdown. Returns false if it has already begun.
  bool BeginLeaving(absl::Time now);

  const Options options_;
  UdpSocket packets_;
  NodeChannel channel_;
  const absl::Time started_;
  bool leaving_ = false;
  /// Addresses of the nodes that get a report in this round.
  std::vector<uint32_t> due_;

 private:
  void Step();
  void DiscardStale(absl::Duration gap);

  Wakeup wakeup_;
  const EventId suspended_;
  DecisionLog log_;
  ConfigurationExchange exchange_;
  Counter& malformed_;
  Counter& received_;
  BoundedRing<DataCommand> commands_;
  /// Which sockets are read in this round.
  bool packets_readable_ = false;
  bool channel_readable_ = false;
  absl::Time last_round_;
  /// The packet socket was empty at this time or later.
  absl::Time packets_empty_;
  absl::Time next_sweep_;
  absl::Time last_seen_ = absl::InfinitePast();
  absl::Time leaving_since_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> connected_{false};
  std::atomic<size_t> entry_rank_{0};
  std::atomic<bool> ended_{false};
  /// Its steps use the members of the subclass, whose destructor must stop it.
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_NODE_LOOP_H_
