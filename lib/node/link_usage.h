#ifndef SKYLARKSHUNT_LIB_NODE_LINK_USAGE_H_
#define SKYLARKSHUNT_LIB_NODE_LINK_USAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// What the datagrams of a node's link are for.
enum class LinkPurpose : uint8_t {
  kClientPacket = 0,  ///< Packets from routers, and to clients.
  kForwarded = 1,     ///< Clients' packets on their way to the agent.
  kSearch = 2,        ///< Packets, queries and answers of searches.
  kReturned = 3,      ///< Opening packets that an agent did not accept.
  kPlaced = 4,        ///< Notices that an agent holds a flow.
  kReport = 5,        ///< Reports of agents and entries.
};
inline constexpr size_t kLinkPurposes = 6;

/// Returns what a message between nodes is for. Thread-safe.
LinkPurpose PurposeOf(const NodeMessage& message);

/// Counts the bytes of a node's datagrams by purpose, with the headers of IP
/// and UDP. Shows an operator which traffic fills a slow link. Not thread-safe.
class LinkUsage {
 public:
  /// `counters` outlives this object.
  explicit LinkUsage(CounterRegistry& counters);

  /// `bytes` is the size of the datagram's payload.
  void RecordSent(LinkPurpose purpose, size_t bytes) {
    sent_[static_cast<size_t>(purpose)]->Add(bytes + kHeaderBytes);
  }
  void RecordReceived(LinkPurpose purpose, size_t bytes) {
    received_[static_cast<size_t>(purpose)]->Add(bytes + kHeaderBytes);
  }

 private:
  /// Headers of IPv4 and UDP.
  static constexpr size_t kHeaderBytes = 28;

  std::array<Counter*, kLinkPurposes> sent_{};
  std::array<Counter*, kLinkPurposes> received_{};
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_LINK_USAGE_H_
