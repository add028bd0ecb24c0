#ifndef SKYLARKSHUNT_FORWARDING_OPENING_QUEUE_H_
#define SKYLARKSHUNT_FORWARDING_OPENING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// An opening packet that waits for a slot of the target.
struct WaitingOpening {
  FlowId flow;
  Endpoint entry;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// 0 is the most urgent.
  uint8_t priority = 0;
  /// An answer after this time has much less value for the client.
  absl::Time objective;
  /// From this time on the packet is kept only while a slot is expected in
  /// time. A refusal from then on leaves each attempt of the client an equal
  /// share of the request's deadline. After an earlier refusal the client would
  /// try again while the targets are still full.
  absl::Time evaluated_from = absl::InfiniteFuture();
  /// Time at which the client stops waiting for an answer to its opening
  /// packet.
  absl::Time client_deadline;
  std::vector<InstanceUid> declined;
  std::vector<uint8_t> packet;
};

/// Opening packets in the order in which they get a slot. Packets that can
/// still be answered within their objective come first, ordered by urgency and
/// then newest first. The others follow, ordered by the time at which their
/// client gives up. After an outage this order serves new clients in time
/// instead of all clients late. Not thread-safe.
class OpeningQueue {
 public:
  /// Adds `opening`. If the queue is full, removes and returns the opening
  /// packet that would be served last, which may be `opening`.
  absl::optional<WaitingOpening> Push(WaitingOpening opening, absl::Time now);

  /// Removes and returns the next opening packet. `answer_time` is the time
  /// from the assignment of a slot to the first byte at the client.
  absl::optional<WaitingOpening> Pop(absl::Time now,
                                     absl::Duration answer_time);
  /// Removes and returns the packets that cannot get a slot before their client
  /// gives up: those whose client gives up within kRefusalMargin, and those
  /// past `evaluated_from` whose expected slot comes later than that. The
  /// estimate uses the recent rate at which late packets got slots.
  /// `slot_interval` is the time between two free slots of the target.
  std::vector<WaitingOpening> TakeUnservable(absl::Time now,
                                             absl::Duration slot_interval);
  /// Removes and returns all packets.
  std::vector<WaitingOpening> TakeAll();

  bool Contains(const FlowId& flow) const;
  bool empty() const { return waiting_.empty(); }
  size_t size() const { return waiting_.size(); }
  /// Returns the number of packets that can still be answered within their
  /// objective.
  size_t CountInTime(absl::Time now, absl::Duration answer_time) const;

  /// Maximum number of waiting opening packets. At the slowest service times of
  /// the deployments a target serves fewer within the time that clients wait.
  static constexpr size_t kMaxWaiting = 256;
  /// A waiting opening packet is refused this long before its client gives up,
  /// so that the reset arrives in time.
  static constexpr absl::Duration kRefusalMargin = absl::Milliseconds(60);

 private:
  /// Share of the slots that went to late packets while some were waiting.
  double late_share_ = 1.0;
  std::vector<WaitingOpening> waiting_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_OPENING_QUEUE_H_
