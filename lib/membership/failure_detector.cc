#include "skylarkshunt/membership/failure_detector.h"

#include <algorithm>

#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {

void FailureDetector::RecordMessage(absl::Time now, InstanceUid uid) {
  Subject& subject = subjects_[uid];
  subject.last_seen = now;
  subject.last_confirmed = now;
  subject.probing = false;
}

void FailureDetector::Assign(absl::Time now, InstanceUid uid) {
  auto [it, added] = subjects_.try_emplace(uid);
  it->second.assigned = true;
  if (added)
    it->second.last_confirmed = now;
}

void FailureDetector::Unassign(InstanceUid uid) {
  auto it = subjects_.find(uid);
  if (it == subjects_.end())
    return;
  it->second.assigned = false;
  if (it->second.last_seen == absl::InfinitePast())
    subjects_.erase(it);
}

void FailureDetector::OnProbesSent(absl::Time now,
                                   InstanceUid subject,
                                   absl::Span<const InstanceUid> relays) {
  auto it = subjects_.find(subject);
  if (it == subjects_.end())
    return;
  it->second.probing = true;
  it->second.probed_at = now;
  it->second.unanswered.assign(relays.begin(), relays.end());
}

void FailureDetector::OnProbeAnswer(absl::Time now,
                                    InstanceUid subject,
                                    InstanceUid relay,
                                    bool seen) {
  auto it = subjects_.find(subject);
  if (it == subjects_.end())
    return;
  Subject& s = it->second;
  if (relay == subject) {
    RecordMessage(now, subject);
    return;
  }
  if (!s.probing)
    return;
  if (!seen) {
    s.unanswered.erase(
        std::remove(s.unanswered.begin(), s.unanswered.end(), relay),
        s.unanswered.end());
    return;
  }
  // The instance moved to another relay, which monitors it now.
  if (!s.assigned) {
    subjects_.erase(it);
    return;
  }
  s.probing = false;
  s.last_confirmed = now;
}

FailureDetector::TickResult FailureDetector::Tick(absl::Time now) {
  TickResult result;
  for (auto& [uid, subject] : subjects_) {
    if (!subject.probing) {
      if (now - subject.last_confirmed >= kDetectionTimeout)
        result.to_probe.push_back(uid);
      continue;
    }
    // All probed relays have replied, so waiting longer cannot help.
    if (subject.unanswered.empty() ||
        now - subject.probed_at >= kProbeReplyTimeout)
      result.dead.push_back(uid);
  }
  for (InstanceUid uid : result.dead)
    subjects_.erase(uid);
  return result;
}

void FailureDetector::ResetTimeouts(absl::Time now) {
  for (auto& [uid, subject] : subjects_) {
    subject.last_confirmed = now;
    subject.probing = false;
  }
}

bool FailureDetector::CanConfirmLiveness(absl::Time now,
                                         InstanceUid uid) const {
  auto it = subjects_.find(uid);
  return it != subjects_.end() && now - it->second.last_seen < kConfirmationAge;
}

absl::Time FailureDetector::LastConfirmed(InstanceUid uid) const {
  auto it = subjects_.find(uid);
  return it == subjects_.end() ? absl::InfinitePast()
                               : it->second.last_confirmed;
}

}  // namespace skylarkshunt
