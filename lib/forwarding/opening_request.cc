#include "skylarkshunt/forwarding/opening_request.h"

#include <algorithm>
#include <limits>

namespace skylarkshunt {
namespace {

constexpr uint32_t kNoLimit = std::numeric_limits<uint32_t>::max();
/// Clients divide a request's deadline among their attempts. After refusals
/// within milliseconds the last attempts get a larger share, up to this one.
constexpr double kMaxAttemptShare = 0.5;

uint32_t ToMilliseconds(absl::Duration time) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(time), 0,
                          std::numeric_limits<uint32_t>::max()));
}

}  // namespace

ForwardedPacket MakeOpeningRequest(const Route& route,
                                   const FlowId& flow,
                                   const Attempt& attempt,
                                   absl::Time opened,
                                   absl::Span<const uint8_t> packet) {
  ForwardedPacket message;
  message.mode = ForwardMode::kOpening;
  message.service = ChooseService(route, flow);
  message.kind = route.kind;
  message.priority =
      static_cast<uint8_t>(std::min<uint32_t>(route.priority, kMaxPriority));
  const absl::Duration elapsed = opened - attempt.requested;
  message.objective_ms = ToMilliseconds(route.latency_objective - elapsed);
  const int attempts_left = std::max(1, kMaxAttempts - attempt.refused);
  message.attempt_ms =
      ToMilliseconds(std::min((route.deadline - elapsed) / attempts_left,
                              kMaxAttemptShare * route.deadline));
  message.wait_limit_us = kNoLimit;
  message.packet = packet;
  return message;
}

void MarkForced(ForwardedPacket& message) {
  message.declined.resize(kMaxDeclines);
  message.wait_limit_us = kNoLimit;
}

bool IsForced(const ReturnedPacket& returned) {
  return returned.declined.size() >= kMaxDeclines;
}

}  // namespace skylarkshunt
