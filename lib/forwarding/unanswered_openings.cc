#include "skylarkshunt/forwarding/unanswered_openings.h"

#include <utility>

namespace skylarkshunt {
namespace {

/// Timeout of an agent for an opening packet, after which the packet goes to
/// another agent. A round trip between data centres takes a few milliseconds,
/// and an agent that has used up its processor share is suspended for up to 100
/// ms. The client's first retransmission arrives after 200 ms.
constexpr absl::Duration kAgentAnswerTime = absl::Milliseconds(60);

}  // namespace

void UnansweredOpenings::Store(const FlowId& flow,
                               InstanceUid agent,
                               const ForwardedPacket& message,
                               absl::Time now) {
  if (openings_.size() >= kMaxOpenings)
    return;
  Opening& opening = openings_.emplace_back();
  opening.flow = flow;
  opening.id = next_id_++;
  opening.agent = agent;
  opening.sent = now;
  opening.message = message;
  opening.packet.assign(message.packet.begin(), message.packet.end());
  awaited_[flow] = opening.id;
}

std::vector<UnansweredOpenings::Opening> UnansweredOpenings::TakeTimedOut(
    absl::Time now) {
  std::vector<Opening> timed_out;
  while (next_deadline() <= now) {
    timed_out.push_back(std::move(openings_.front()));
    openings_.pop_front();
    awaited_.erase(timed_out.back().flow);
  }
  return timed_out;
}

absl::Time UnansweredOpenings::next_deadline() {
  while (!openings_.empty()) {
    const Opening& first = openings_.front();
    const auto awaited = awaited_.find(first.flow);
    if (awaited != awaited_.end() && awaited->second == first.id)
      return first.sent + kAgentAnswerTime;
    openings_.pop_front();
  }
  return absl::InfiniteFuture();
}

}  // namespace skylarkshunt
