#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_NETWORK_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_NETWORK_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/packets/packet.h"
#include "standins/flow_simulation/course.h"
#include "standins/flow_simulation/event_queue.h"
#include "standins/flow_simulation/flow_judge.h"

namespace skylarkshunt {

/// The forwarders pass packets on unread, so a packet is the bytes of its
/// header. The result is valid as long as `header`.
absl::Span<const uint8_t> BytesOf(const PacketHeader& header);
PacketHeader HeaderOf(absl::Span<const uint8_t> bytes);

/// A message between nodes with its own copy of the packet inside.
class StoredMessage {
 public:
  explicit StoredMessage(NodeMessage original);
  StoredMessage(const StoredMessage&) = delete;
  StoredMessage& operator=(const StoredMessage&) = delete;

  /// Its packet points into this object.
  const NodeMessage& message() const { return message_; }

 private:
  NodeMessage message_;
  PacketHeader header_;
};

/// Links between clients, nodes and data centres, with delay and loss. Not
/// thread-safe.
class SimulatedNetwork {
 public:
  struct Receivers {
    std::function<void(uint32_t source,
                       uint32_t address,
                       std::shared_ptr<const StoredMessage>)>
        node;
    std::function<void(const PacketHeader&)> client;
    std::function<void(const SentReset&)> client_reset;
    std::function<void(size_t entry, const PacketHeader&)> entry;
  };

  /// `events` and `random` must outlive the network.
  SimulatedNetwork(EventQueue& events, SimulatedRandom& random)
      : events_(events), random_(random) {}

  void SetReceivers(Receivers receivers) { receivers_ = std::move(receivers); }

  static uint32_t EntryAddress(size_t data_centre, size_t index);
  static uint32_t AgentAddress(size_t data_centre, size_t index);

  /// Loses `share` of the datagrams from and to `address` until `until`.
  void SetLoss(uint32_t address, double share, absl::Time until);

  void SendMessage(uint32_t source, uint32_t address, NodeMessage message);
  void SendToEntry(size_t entry, uint32_t address, const PacketHeader& header);
  void SendToClient(uint32_t source, const PacketHeader& header);
  void SendReset(uint32_t source, const SentReset& reset);

 private:
  struct Loss {
    double share = 0;
    absl::Time until;
  };

  bool IsLost(uint32_t address);
  absl::Duration Delay(uint32_t from, uint32_t to);

  EventQueue& events_;
  SimulatedRandom& random_;
  Receivers receivers_;
  absl::flat_hash_map<uint32_t, Loss> losses_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_NETWORK_H_
