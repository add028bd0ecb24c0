#ifndef SKYLARKSHUNT_FORWARDING_UNANSWERED_OPENINGS_H_
#define SKYLARKSHUNT_FORWARDING_UNANSWERED_OPENINGS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Opening packets that an entry has sent to agents, until the agents answer.
/// Pure and not thread-safe.
class UnansweredOpenings {
 public:
  struct Opening {
    FlowId flow;
    uint64_t id = 0;
    InstanceUid agent{};
    absl::Time sent;
    /// Its span is dangling; `packet` holds the bytes.
    ForwardedPacket message;
    std::vector<uint8_t> packet;
  };

  /// Stores an opening packet that goes to `agent`. Replaces an earlier one of
  /// the same flow. Ignored if kMaxOpenings are stored.
  void Store(const FlowId& flow,
             InstanceUid agent,
             const ForwardedPacket& message,
             absl::Time now);
  /// The agent has answered the opening packet of `flow`.
  void Erase(const FlowId& flow) { awaited_.erase(flow); }
  /// Removes and returns the packets whose agent did not answer in time.
  std::vector<Opening> TakeTimedOut(absl::Time now);
  /// Returns the time at which the next packet times out; the infinite future
  /// if there is none. Discards answered packets.
  absl::Time next_deadline();

  /// Maximum number of stored packets. Further ones rely on the client's
  /// retransmissions.
  static constexpr size_t kMaxOpenings = 4'096;

 private:
  /// Ordered by the time of sending. Answered packets are no longer in
  /// `awaited_` under their id.
  std::deque<Opening> openings_;
  absl::flat_hash_map<FlowId, uint64_t> awaited_;
  uint64_t next_id_ = 1;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_UNANSWERED_OPENINGS_H_
