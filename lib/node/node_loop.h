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
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// What the data threads of both roles share: the thread, its two sockets, the
/// commands of other threads, the notice of a suspension, and the state that
/// other threads ask for. A role adds its decisions. Methods that are not
/// public belong to the thread.
class NodeLoop : public DataLoop {
 public:
  void Start() override;
  void Stop() override { thread_.Stop(); }
  bool Command(DataCommand command) override {
    return commands_.TryPush(std::move(command));
  }
  bool is_ready() const override { return ready_.load(); }
  bool is_connected() const override { return connected_.load(); }
  bool ended() const override { return ended_.load(); }

 protected:
  /// `packets` takes the packets of clients or of the target. `suspended` is
  /// the event that a suspension is logged as.
  NodeLoop(const Options& options,
           UdpSocket packets,
           UdpSocket peers,
           Wakeup wakeup,
           EventId suspended);

  /// When Round() has something to do without a packet or a command.
  virtual absl::Time NextDeadline(absl::Time now) = 0;
  virtual void Take(const DataCommand& command, absl::Time now) = 0;
  /// Receives, decides and sends.
  virtual void Round(absl::Time now) = 0;
  /// Called about every second.
  virtual void Sweep(absl::Time now) = 0;
  /// Whether new flows should come here.
  virtual bool IsReady(absl::Time now) = 0;
  /// Whether an end that began `leaving` ago is complete.
  virtual bool IsEndComplete(absl::Duration leaving, absl::Time now) = 0;

  /// Hands up to kDatagramBatch packets of the first socket to `handle`; what
  /// is not a packet is counted.
  void ReceivePackets(
      const std::function<void(const PacketHeader&, absl::Span<const uint8_t>)>&
          handle);
  /// Hands up to kDatagramBatch messages of other nodes to `handle`.
  void ReceiveMessages(
      const std::function<void(Endpoint, const NodeMessage&)>& handle);
  /// Reads the packet inside a message; null where it is none, which is
  /// counted.
  absl::optional<PacketHeader> ReadPacket(absl::Span<const uint8_t> packet);
  void LogDecisions(const std::vector<Decision>& decisions, absl::Time now);
  void NoteHeard(absl::Time now) { last_heard_ = now; }
  /// Begins the graceful end; returns false when it has begun before.
  bool BeginLeaving(absl::Time now);

  const Options options_;
  UdpSocket packets_;
  NodeChannel channel_;
  const absl::Time started_;
  bool leaving_ = false;
  /// Addresses that get a report in this round.
  std::vector<uint32_t> due_;

 private:
  void Step();
  void DiscardOld(absl::Duration gap);

  Wakeup wakeup_;
  const EventId suspended_;
  DecisionLog log_;
  Counter& malformed_;
  Counter& received_;
  BoundedRing<DataCommand> commands_;
  /// Which sockets have datagrams in this round.
  bool packets_readable_ = false;
  bool channel_readable_ = false;
  absl::Time last_round_;
  absl::Time next_sweep_;
  absl::Time last_heard_ = absl::InfinitePast();
  absl::Time leaving_since_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> connected_{false};
  std::atomic<bool> ended_{false};
  /// Its steps use the members of the role: a role stops it in its destructor.
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_NODE_LOOP_H_
