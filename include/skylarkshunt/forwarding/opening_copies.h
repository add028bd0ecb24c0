#ifndef SKYLARKSHUNT_FORWARDING_OPENING_COPIES_H_
#define SKYLARKSHUNT_FORWARDING_OPENING_COPIES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Records which copies of an opening packet, the first one and its
/// retransmissions, an entry has received. Routers may send each copy to
/// another entry. An entry knows what became of a flow only if it has received
/// every copy that the client may have sent. Pure and not thread-safe.
class OpeningCopies {
 public:
  /// What is known of the copies of one flow.
  struct Copies {
    /// Bit i is set if copy i was received.
    uint8_t received = 0;
    /// Earliest time at which the client may have sent the first copy.
    absl::Time first_sent = absl::InfinitePast();
  };

  /// Records the opening packet with `header`, which arrived between `oldest`
  /// and `now`. Replaces the record of an earlier flow with the same
  /// addresses and ports.
  /// Preconditions: `header.opening`, and `oldest` <= `now`.
  void Record(const PacketHeader& header, absl::Time oldest, absl::Time now);

  /// Returns what is known of the copies of `flow`; without any copy if the
  /// flow is not recorded.
  Copies Find(const FlowId& flow) const;

  /// Records that `agent` got a copy and did not answer in time. Ignored for a
  /// flow that is not recorded, as are the two following records.
  void RecordUnanswered(const FlowId& flow, InstanceUid agent);
  /// Records that `agent` returned a copy that its target did not accept.
  void RecordDeclined(const FlowId& flow, InstanceUid agent);
  /// Records that a target got a copy and did not answer in time. It may still
  /// grant the flow, whatever its agent answers to further copies.
  void RecordUnansweredByTarget(const FlowId& flow);

  /// Whether the client may have sent a copy that was not received, or sends
  /// one before a reset reaches it. Returns true for a flow that is not
  /// recorded.
  bool MayHaveMissedOne(const FlowId& flow, absl::Time now) const;
  /// Whether an agent or a target that got a copy has not answered and may have
  /// opened the flow.
  bool HasUnanswered(const FlowId& flow) const;

  /// Removes the records of flows whose attempt has ended. Call it every
  /// second.
  void Expire(absl::Time now);

  size_t size() const { return flows_.size(); }

  /// Maximum number of recorded flows. Flows beyond it count as not recorded.
  static constexpr size_t kMaxFlows = 65'536;
  /// Maximum number of copies of an opening packet.
  static constexpr size_t kMaxCopies = 4;
  /// Time allowed for the network between a client and an entry, both ways
  /// together.
  static constexpr absl::Duration kNetworkTime = absl::Milliseconds(50);

 private:
  struct Flow {
    Copies copies;
    /// By copy: time from the first copy to the next one.
    std::array<absl::Duration, kMaxCopies> next_after{};
    /// Agents that got a copy and have not answered.
    absl::InlinedVector<InstanceUid, 2> unanswered;
    bool unanswered_by_target = false;
    uint32_t sequence = 0;
    absl::Time used;
  };

  absl::flat_hash_map<FlowId, Flow> flows_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_OPENING_COPIES_H_
