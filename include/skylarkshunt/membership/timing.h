#ifndef SKYLARKSHUNT_MEMBERSHIP_TIMING_H_
#define SKYLARKSHUNT_MEMBERSHIP_TIMING_H_

#include <cstddef>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Time between two heartbeats of an agent to one relay.
inline constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(500);
/// Silence after which a monitor asks the others about an instance.
inline constexpr absl::Duration kDetectionTimeout = absl::Milliseconds(2500);
/// How long a monitor waits for the others' answers.
inline constexpr absl::Duration kProbeReplyTimeout = absl::Milliseconds(500);
/// A relay that heard an instance within this time vouches for it. It is
/// shorter than the detection interval, so that two relays that both lost an
/// instance never vouch for it to each other.
inline constexpr absl::Duration kConfirmationAge = absl::Milliseconds(1500);
/// Time between two pings of an entry by each of its monitors.
inline constexpr absl::Duration kPingInterval = absl::Milliseconds(500);
/// A longer time between two ticks means that the process was paused.
inline constexpr absl::Duration kSuspensionThreshold = absl::Seconds(2);
/// How long a down record is kept.
inline constexpr absl::Duration kDownRetention = absl::Seconds(600);
/// How long a down record is handed on. It is shorter than the retention, so
/// that nodes that dropped the record do not receive it again.
inline constexpr absl::Duration kDownPropagationPeriod = absl::Seconds(300);

/// Relays of an agent, and monitors of an entry.
inline constexpr size_t kRelays = 3;
/// Other relays that a monitor asks: the regular ones, and as many of the next
/// in order to which the instance may have moved.
inline constexpr size_t kProbedRelays = 5;
/// Records of instances that a node holds.
inline constexpr size_t kMaxInstances = 20000;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_MEMBERSHIP_TIMING_H_
