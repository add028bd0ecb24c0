#include "flows/bindings.h"

#include <algorithm>

#include "flows/agent_limits.h"

namespace skylarkshunt {
int64_t ToIssuedMs(absl::Time time) {
  return absl::ToUnixMillis(time);
}

bool IsExpired(absl::Time now, int64_t issued_ms) {
  return now >= absl::FromUnixMillis(issued_ms) + kLedgerHorizon;
}

Bindings::Bindings(InstanceUid uid, Incarnation incarnation)
    : uid_(uid), incarnation_(incarnation) {}

Binding Bindings::Issue(absl::Time now) {
  // A binding issued in the same millisecond as a revocation must not count as
  // revoked.
  last_issued_ms_ =
      std::max({last_issued_ms_, ToIssuedMs(now), revoked_through_ms_ + 1});
  return Binding{uid_, incarnation_, last_issued_ms_};
}

Binding Bindings::IssueRefusal() const {
  return MakeRefusalBinding(uid_, incarnation_);
}

Bindings::State Bindings::Check(absl::Time now, const Binding& binding) const {
  const bool former = IsFormer(binding.incarnation);
  if (binding.target_uid != uid_ ||
      (binding.incarnation != incarnation_ && !former)) {
    return State::kForeign;
  }
  // This process has not issued a binding that is newer than its last one.
  if (IsExpired(now, binding.issued_ms) || binding.issued_ms > last_issued_ms_)
    return State::kExpired;
  if (former || binding.issued_ms <= revoked_through_ms_)
    return State::kRevoked;
  return State::kValid;
}

void Bindings::RevokeAll(absl::Time now) {
  revoked_through_ms_ =
      std::max({revoked_through_ms_, ToIssuedMs(now), last_issued_ms_});
}

void Bindings::TakeIncarnation(Incarnation incarnation) {
  former_.push_back(incarnation_);
  if (former_.size() > kMaxFormerIncarnations)
    former_.pop_front();
  incarnation_ = incarnation;
}

bool Bindings::IsFormer(Incarnation incarnation) const {
  return std::find(former_.begin(), former_.end(), incarnation) !=
         former_.end();
}

}  // namespace skylarkshunt
