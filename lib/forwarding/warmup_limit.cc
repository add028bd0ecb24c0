#include "skylarkshunt/forwarding/warmup_limit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace skylarkshunt {

WarmupLimit::WarmupLimit(double excess, double slack, absl::Time started)
    : excess_(excess), slack_(slack), started_(started) {
  assert(excess >= 0 && slack >= 0 && "limits are not negative");
}

void WarmupLimit::SetRate(double per_second) {
  assert(per_second >= 0 && "a rate is not negative");
  if (is_rate_known_ && per_second == per_second_)
    return;
  is_rate_known_ = true;
  per_second_ = per_second;
  caught_up_ = absl::InfinitePast();
}

bool WarmupLimit::is_in_force() const {
  return (excess_ > 0 || slack_ > 0) && (!is_rate_known_ || per_second_ > 0);
}

size_t WarmupLimit::most_per_second() const {
  const double most = std::floor(per_second_ * excess_ + slack_);
  return static_cast<size_t>(std::min(most, static_cast<double>(kMaxCounted)));
}

double WarmupLimit::rate() const {
  const auto most = static_cast<double>(most_per_second());
  return is_rate_known_ ? std::min(per_second_, most) : most;
}

size_t WarmupLimit::assumed() const {
  if (!is_rate_known_)
    return most_per_second();
  return std::min(most_per_second(),
                  kBurst + static_cast<size_t>(std::ceil(rate())));
}

absl::Duration WarmupLimit::interval() const {
  const double per_second = rate();
  return per_second > 0
             ? std::min(absl::Seconds(1 / per_second), kLongestInterval)
             : kLongestInterval;
}

absl::Time WarmupLimit::NextDelivery() const {
  const size_t most = most_per_second();
  if (most == 0)
    return absl::InfiniteFuture();
  absl::Time next = caught_up_ - (kBurst - 1) * interval();
  if (delivered_.size() >= most)
    next = std::max(next, delivered_[delivered_.size() - most] + kWindow);
  // Deliveries after the start leave the window later than those assumed before
  // it. Once these have left, the condition above applies alone.
  if (delivered_.size() + assumed() >= most)
    next = std::max(next, started_ + kWindow);
  return next;
}

void WarmupLimit::Record(bool is_cold, absl::Time now) {
  while (!delivered_.empty() && delivered_.front() + kWindow <= now)
    delivered_.pop_front();
  if (delivered_.size() == kMaxCounted)
    delivered_.pop_front();
  delivered_.push_back(now);
  if (is_cold)
    caught_up_ = std::max(caught_up_, now) + interval();
}

}  // namespace skylarkshunt
