#ifndef SKYLARKSHUNT_FORWARDING_LINK_SHARE_H_
#define SKYLARKSHUNT_FORWARDING_LINK_SHARE_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Share of a node's link that messages of one purpose may use. Pure logic. Not
/// thread-safe.
class LinkShare {
 public:
  /// `bytes_per_second` is the rate of the share; 0 disables the limit.
  explicit LinkShare(uint64_t bytes_per_second) : rate_(bytes_per_second) {}

  /// Whether the messages that were charged so far leave room for another one.
  bool HasRoom(absl::Time now) const {
    return rate_ == 0 || within_rate_from_ <= now + kBurstTime;
  }
  /// Counts `bytes` that are sent at `now`.
  void Charge(size_t bytes, absl::Time now) {
    if (rate_ == 0)
      return;
    within_rate_from_ =
        std::max(within_rate_from_, now) +
        absl::Seconds(static_cast<double>(bytes) / static_cast<double>(rate_));
  }

 private:
  /// Messages may be sent ahead of the rate by this time. Packets of clients
  /// then wait no longer in the link's queue, and the flows of many clients can
  /// be looked up at once when the routers change their entry.
  static constexpr absl::Duration kBurstTime = absl::Milliseconds(100);

  uint64_t rate_;
  /// Time from which the bytes sent so far are within the rate.
  absl::Time within_rate_from_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_LINK_SHARE_H_
