#include "skylarkshunt/forwarding/retry_history.h"

#include <algorithm>
#include <limits>

namespace skylarkshunt {
namespace {

/// Longest age of a request that another entry may report. No deadline of the
/// deployments is longer.
constexpr uint16_t kMaxReportedAgeMs = 30'000;
/// Time for which a refusal is kept. The first packet of the retry that arrives
/// may be a retransmission, which clients send up to 600 ms later.
constexpr absl::Duration kRefusalLifetime = absl::Seconds(1);

}  // namespace

absl::optional<RefusedRequest> RetryHistory::RecordRefused(
    const FlowId& flow,
    const Attempt& attempt,
    absl::Time now) {
  if (attempt.is_last())
    return absl::nullopt;
  Attempt refused = attempt;
  ++refused.refused;
  Add({flow.client.address, flow.service}, refused, now);
  RefusedRequest report;
  report.client_address = flow.client.address;
  report.service = flow.service;
  report.age_ms = static_cast<uint16_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(now - attempt.requested), 0,
                          kMaxReportedAgeMs));
  report.refused = refused.refused;
  return report;
}

void RetryHistory::RecordReported(const RefusedRequest& refused,
                                  absl::Time now) {
  if (refused.refused == 0 || refused.refused >= kMaxAttempts ||
      refused.age_ms > kMaxReportedAgeMs) {
    return;
  }
  Add({refused.client_address, refused.service},
      {now - absl::Milliseconds(refused.age_ms), refused.refused}, now);
}

void RetryHistory::Add(const Key& key, const Attempt& attempt, absl::Time now) {
  if (size_ >= kMaxRefusals)
    return;
  std::deque<Refusal>& refusals = refusals_[key];
  refusals.push_back({now, attempt});
  ++size_;
  if (refusals.size() > kMaxPerClient) {
    refusals.pop_front();
    --size_;
  }
}

Attempt RetryHistory::TakeAttempt(const FlowId& flow, absl::Time opened) {
  const Attempt first{opened, 0};
  const auto found = refusals_.find({flow.client.address, flow.service});
  if (found == refusals_.end())
    return first;
  std::deque<Refusal>& refusals = found->second;
  const auto match = std::find_if(
      refusals.begin(), refusals.end(), [opened](const Refusal& refusal) {
        return refusal.time <= opened && opened - refusal.time <= kRetryWindow;
      });
  if (match == refusals.end())
    return first;
  const Attempt attempt = match->attempt;
  refusals.erase(match);
  --size_;
  if (refusals.empty())
    refusals_.erase(found);
  return attempt;
}

void RetryHistory::Expire(absl::Time now) {
  absl::erase_if(refusals_, [this, now](auto& entry) {
    std::deque<Refusal>& refusals = entry.second;
    while (!refusals.empty() &&
           now - refusals.front().time > kRefusalLifetime) {
      refusals.pop_front();
      --size_;
    }
    return refusals.empty();
  });
}

}  // namespace skylarkshunt
