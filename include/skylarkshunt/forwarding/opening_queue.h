#ifndef SKYLARKSHUNT_FORWARDING_OPENING_QUEUE_H_
#define SKYLARKSHUNT_FORWARDING_OPENING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/slot_forecast.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// An opening packet that waits for a slot of the target.
struct WaitingOpening {
  FlowId flow;
  Endpoint entry;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// The client's first sequence number.
  uint32_t sequence = 0;
  /// 0 is the most urgent.
  uint8_t priority = 0;
  /// An answer after this time has much less value for the client.
  absl::Time objective;
  /// Time at which the client sent the first opening packet of the flow.
  absl::Time opened;
  /// Time at which the client ends the attempt, because of the opening packet
  /// or because the attempt's share of the request's deadline is over.
  absl::Time client_deadline;
  std::vector<InstanceUid> declined;
  std::vector<uint8_t> packet;
};

/// State of a queue and its target as operators see it.
struct AdmissionState {
  /// Waiting opening packets, and those of them that can be answered within
  /// their objective.
  uint32_t waiting = 0;
  uint32_t in_time = 0;
  absl::Duration overloaded_for;
};

/// Opening packets that wait for a slot, their order and their refusal.
///
/// A client gives an answer within the latency objective its full value, a
/// later one much less, and none at all to an answer after its deadline. It
/// tries a refused request again at once, a few times. Under overload the slots
/// cannot serve all requests, so the policy has three parts:
///
/// - Order. A packet is in time if its turn comes early enough for an answer
///   within its objective. Turns go by priority and then by objective, and a
///   packet that cannot be in time leaves its turn to those behind it. Packets
///   in time get all slots before the others, which are late. The slots thus
///   serve as many requests in time as they can, and an outage leaves no
///   backlog that makes all new clients late.
/// - Admission. Late packets get the slots that packets in time leave free, in
///   the order in which their clients end their attempts. The share of slots
///   that late packets got recently shows how soon their turns come.
/// - Refusal. A late packet whose turn comes after the end of its attempt is
///   refused at once, so that its client can try another target or report the
///   failure. It waits only while the overload is expected to end within the
///   attempt. After a short overload, such as a restart of all nodes, slots are
///   free soon, and refusals would use up the client's attempts before that.
///
/// An overload is expected to last in proportion to the time that it has
/// lasted. No part of the policy depends on the service times of a deployment.
/// Not thread-safe.
class OpeningQueue {
 public:
  /// Adds `opening`. If the queue is full, removes and returns the opening
  /// packet that would be served last, which may be `opening`.
  absl::optional<WaitingOpening> Push(WaitingOpening opening,
                                      absl::Time now,
                                      const SlotForecast& forecast);

  /// Removes and returns the next opening packet.
  absl::optional<WaitingOpening> Pop(absl::Time now,
                                     const SlotForecast& forecast);
  /// Removes and returns the late packets that cannot get a slot before their
  /// client gives up.
  std::vector<WaitingOpening> TakeUnservable(absl::Time now,
                                             const SlotForecast& forecast);
  /// Removes and returns all packets.
  std::vector<WaitingOpening> TakeAll();

  /// Removes the packet of the flow, if any.
  void Remove(const FlowId& flow);

  bool Contains(const FlowId& flow) const;
  /// Calls `visit` with the packets that are expected to be answered within
  /// their objective, in the order of their turns.
  template <typename Visitor>
  void ForEachInTime(const Visitor& visit) const {
    for (size_t i = 0; i < in_time_; ++i)
      visit(waiting_[i]);
  }
  bool empty() const { return waiting_.empty(); }
  size_t size() const { return waiting_.size(); }
  /// Number of packets that were expected to be answered within their objective
  /// at the last call of a method above.
  size_t in_time() const { return in_time_; }

  /// Maximum number of waiting opening packets. At the slowest service times of
  /// the deployments a target serves fewer within the time that clients wait.
  static constexpr size_t kMaxWaiting = 256;
  /// A waiting opening packet is refused this long before its client gives up,
  /// so that the reset arrives in time.
  static constexpr absl::Duration kRefusalMargin = absl::Milliseconds(60);

 private:
  /// Sorts the packets into the order in which they get a slot.
  void Arrange(absl::Time now, const SlotForecast& forecast);

  /// Share of the slots that went to late packets while some were waiting.
  double late_share_ = 1.0;
  std::vector<WaitingOpening> waiting_;
  /// Number of packets at the front of `waiting_` that are in time.
  size_t in_time_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_OPENING_QUEUE_H_
