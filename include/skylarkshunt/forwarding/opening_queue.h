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
  /// An answer after this time is worth much less to the caller.
  absl::Time objective;
  /// From here on it is kept only while a slot is expected in time. Refused in
  /// time, its client has an equal share of the request's deadline for each
  /// attempt; refused earlier, it would ask again while targets are still full.
  absl::Time evaluated_from = absl::InfiniteFuture();
  /// The client stops waiting for an answer to its opening packet.
  absl::Time client_deadline;
  std::vector<InstanceUid> declined;
  std::vector<uint8_t> packet;
};

/// Opening packets in the order in which they get a slot: first those that can
/// still be answered within their objective, the more urgent and then the newer
/// ones first; then the others, those first whose client gives up first. After
/// an outage this serves new callers in time instead of all callers late. Not
/// thread-safe.
class OpeningQueue {
 public:
  /// Adds `opening`. When the queue is full, the opening packet that would be
  /// served last is returned, which may be the new one.
  absl::optional<WaitingOpening> Push(WaitingOpening opening, absl::Time now);

  /// Removes and returns the next one. `answer_time` is the time from a slot to
  /// the first byte at the caller.
  absl::optional<WaitingOpening> Pop(absl::Time now,
                                     absl::Duration answer_time);
  /// Removes those that get no slot before their client gives up: those whose
  /// client does so within kRefusalMargin, and those past `evaluated_from`
  /// whose turn comes later at the rate at which late ones got slots lately.
  /// `slot_interval` is the time between two free slots of the target.
  std::vector<WaitingOpening> TakeUnservable(absl::Time now,
                                             absl::Duration slot_interval);
  /// Removes all.
  std::vector<WaitingOpening> TakeAll();

  bool Contains(const FlowId& flow) const;
  bool empty() const { return waiting_.empty(); }
  size_t size() const { return waiting_.size(); }
  /// How many can still be answered within their objective.
  size_t CountInTime(absl::Time now, absl::Duration answer_time) const;

  /// Most opening packets that wait. At the slowest service times of the
  /// deployments a target serves fewer within the time that clients wait.
  static constexpr size_t kMaxWaiting = 256;
  /// A waiting opening packet is refused this much before its client gives up,
  /// so that the reset reaches it in time.
  static constexpr absl::Duration kRefusalMargin = absl::Milliseconds(60);

 private:
  /// Share of the slots that went to late ones while some waited.
  double late_share_ = 1.0;
  std::vector<WaitingOpening> waiting_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_OPENING_QUEUE_H_
