#ifndef SKYLARKSHUNT_MEMBERSHIP_TIMING_H_
#define SKYLARKSHUNT_MEMBERSHIP_TIMING_H_

#include <cstddef>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Time between two heartbeats of an agent to one relay.
inline constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(500);
/// Time without evidence of life after which a monitor probes the other relays
/// about an instance.
inline constexpr absl::Duration kDetectionTimeout = absl::Milliseconds(2500);
/// How long a monitor waits for replies to its probes.
inline constexpr absl::Duration kProbeReplyTimeout = absl::Milliseconds(500);
/// A relay that received a message from an instance within this time confirms
/// that it is alive. Shorter than kDetectionTimeout, so two relays that both
/// lost an instance never confirm it to each other.
inline constexpr absl::Duration kConfirmationAge = absl::Milliseconds(1500);
/// Time between two pings of an entry by each of its monitors.
inline constexpr absl::Duration kPingInterval = absl::Milliseconds(500);
/// A longer time between two ticks means that the process was suspended.
inline constexpr absl::Duration kSuspensionThreshold = absl::Seconds(2);
/// How long a down record is kept.
inline constexpr absl::Duration kDownRetention = absl::Seconds(600);
/// How long a down record is propagated. Shorter than kDownRetention, so nodes
/// that have removed the record do not receive it again.
inline constexpr absl::Duration kDownPropagationPeriod = absl::Seconds(300);

/// Number of relays of an agent, and of monitors of an entry.
inline constexpr size_t kRelays = 3;
/// Number of other relays that a monitor probes: the regular ones, and as
/// many next ones in rendezvous order, to which the instance may have moved.
inline constexpr size_t kProbedRelays = 5;
/// Bound on the instance records that a node holds.
inline constexpr size_t kMaxInstances = 20000;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_TIMING_H_
