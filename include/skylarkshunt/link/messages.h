#ifndef SKYLARKSHUNT_LINK_MESSAGES_H_
#define SKYLARKSHUNT_LINK_MESSAGES_H_

#include <cstdint>
#include <variant>

#include "absl/container/inlined_vector.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/edge/messages.h"

namespace skylarkshunt {

/// An agent that may serve a flow.
struct Candidate {
  InstanceUid uid{};
  Incarnation incarnation{};
  Endpoint data;

  friend bool operator==(const Candidate& a, const Candidate& b) {
    return a.uid == b.uid && a.incarnation == b.incarnation && a.data == b.data;
  }
};

/// Most candidates in a Forward.
inline constexpr size_t kMaxCandidates = 6;
using CandidateList = absl::InlinedVector<Candidate, kMaxCandidates>;

/// Most times a message is passed on between agents. The position in the
/// candidate list only grows, but for one step back to the lowest load and one
/// transfer.
inline constexpr uint8_t kMaxHops = 8;
/// Load of an agent that takes nothing.
inline constexpr uint16_t kLoadFull = 65535;

/// Names the agent that gave up a request it had not started, for another
/// agent to run it.
struct Transfer {
  InstanceUid from{};
  Incarnation from_incarnation{};
  /// The only agent incarnation that may run the request from now on.
  InstanceUid to{};
  Incarnation to_incarnation{};
};

/// A caller's message on its way from an entry to the agent that serves it.
struct Forward {
  /// Incarnation of the sending entry or agent.
  Incarnation sender{};
  ServiceUid service{};
  /// Revision of the service's configuration at the sender.
  Revision revision{};
  /// The caller as the entry saw it, and the entry that answers it.
  Endpoint caller;
  Endpoint entry;
  CandidateList candidates;
  /// Index in `candidates` of the receiver.
  uint8_t position = 0;
  uint8_t hops = 0;
  /// Lowest load of the agents that passed an opening request on, in
  /// thousandths of their slots, and their index; kLoadFull at the start.
  uint16_t lowest_load = kLoadFull;
  uint8_t lowest_index = 0;
  /// True when the receiver must settle the request and not pass it on.
  bool final_hop = false;
  absl::optional<Transfer> transfer;
  CallerMessage message;
};

/// An agent's answer on its way to the entry that answers the caller.
struct Reply {
  InstanceUid sender_uid{};
  Incarnation sender{};
  ServiceUid service{};
  Revision revision{};
  Endpoint caller;
  /// Running and queued requests per slot, in thousandths.
  uint16_t load = 0;
  Answer answer;
};

using LinkMessage = std::variant<Forward, Reply>;

/// Largest datagram between entry and agents, in bytes.
inline constexpr size_t kMaxLinkDatagramBytes = 1472;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LINK_MESSAGES_H_
