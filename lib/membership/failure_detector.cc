#include "skylarkshunt/membership/failure_detector.h"

#include <algorithm>

#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {

void FailureDetector::RecordMessage(absl::Time now, InstanceUid uid) {
  Subject& subject = subjects_[uid];
  subject.heard = now;
  subject.evidence = now;
  subject.probing = false;
}

void FailureDetector::Assign(absl::Time now, InstanceUid uid) {
  auto [it, added] = subjects_.try_emplace(uid);
  it->second.assigned = true;
  if (added)
    it->second.evidence = now;
}

void FailureDetector::Unassign(InstanceUid uid) {
  auto it = subjects_.find(uid);
  if (it == subjects_.end())
    return;
  it->second.assigned = false;
  if (it->second.heard == absl::InfinitePast())
    subjects_.erase(it);
}

void FailureDetector::OnProbesSent(absl::Time now,
                                   InstanceUid subject,
                                   absl::Span<const InstanceUid> relays) {
  auto it = subjects_.find(subject);
  if (it == subjects_.end())
    return;
  it->second.probing = true;
  it->second.probed = now;
  it->second.unanswered.assign(relays.begin(), relays.end());
}

void FailureDetector::OnProbeAnswer(absl::Time now,
                                    InstanceUid subject,
                                    InstanceUid relay,
                                    bool heard) {
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
  if (!heard) {
    s.unanswered.erase(
        std::remove(s.unanswered.begin(), s.unanswered.end(), relay),
        s.unanswered.end());
    return;
  }
  // The instance moved to another relay, which now monitors it.
  if (!s.assigned) {
    subjects_.erase(it);
    return;
  }
  s.probing = false;
  s.evidence = now;
}

FailureDetector::TickResult FailureDetector::Tick(absl::Time now) {
  TickResult verdicts;
  for (auto& [uid, subject] : subjects_) {
    if (!subject.probing) {
      if (now - subject.evidence >= kDetectionTimeout)
        verdicts.to_probe.push_back(uid);
      continue;
    }
    // An answer from every relay needs no further waiting.
    if (subject.unanswered.empty() ||
        now - subject.probed >= kProbeReplyTimeout)
      verdicts.dead.push_back(uid);
  }
  for (InstanceUid uid : verdicts.dead)
    subjects_.erase(uid);
  return verdicts;
}

void FailureDetector::Restart(absl::Time now) {
  for (auto& [uid, subject] : subjects_) {
    subject.evidence = now;
    subject.probing = false;
  }
}

bool FailureDetector::CanConfirmLiveness(absl::Time now,
                                         InstanceUid uid) const {
  auto it = subjects_.find(uid);
  return it != subjects_.end() && now - it->second.heard < kConfirmationAge;
}

absl::Time FailureDetector::LastConfirmed(InstanceUid uid) const {
  auto it = subjects_.find(uid);
  return it == subjects_.end() ? absl::InfinitePast() : it->second.evidence;
}

}  // namespace skylarkshunt
