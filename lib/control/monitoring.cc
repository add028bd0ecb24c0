#include "monitoring.h"

#include <algorithm>

#include "skylarkshunt/control/timing.h"
#include "skylarkshunt/membership/rendezvous.h"

namespace skylarkshunt {

void Monitoring::RecordMessage(absl::Time now, const InstanceRecord& sender) {
  if (sender.region != state_.self.region || sender.uid == state_.self.uid)
    return;
  // Any entry may gossip with this one; only the assigned ones are monitored.
  const bool assigned =
      sender.role == Role::kAgent ||
      std::find(pinged_.begin(), pinged_.end(), sender.uid) != pinged_.end();
  if (assigned)
    detector_.RecordMessage(now, sender.uid);
}

void Monitoring::OnRecord(absl::Time now, const InstanceRecord& record) {
  if (record.region != state_.self.region || record.uid == state_.self.uid)
    return;
  if (record.state == InstanceState::kDown) {
    detector_.Forget(record.uid);
    return;
  }
  if (!IsAssigned(record))
    return;
  detector_.Assign(now, record.uid);
  if (record.role == Role::kEntry &&
      std::find(pinged_.begin(), pinged_.end(), record.uid) == pinged_.end()) {
    pinged_.push_back(record.uid);
  }
}

ProbeReply Monitoring::Answer(absl::Time now, const Probe& probe) const {
  const InstanceUid own = state_.self.uid;
  const bool heard =
      probe.subject == own || detector_.CanConfirmLiveness(now, probe.subject);
  return {state_.self.incarnation, own, probe.subject, heard};
}

void Monitoring::OnProbeReply(absl::Time now, const ProbeReply& reply) {
  detector_.OnProbeAnswer(now, reply.subject, reply.relay, reply.heard);
}

std::vector<InstanceUid> Monitoring::Tick(absl::Time now,
                                          EntryControlActions& actions) {
  if (now >= next_assign_ && assigned_version_ != state_.region_version()) {
    next_assign_ = now + kMonitorAssignmentInterval;
    AssignAll(now);
  }
  Ping(now, actions);
  FailureDetector::TickResult verdicts = detector_.Tick(now);
  for (InstanceUid subject : verdicts.to_probe)
    SendProbes(now, subject, actions);
  return std::move(verdicts.dead);
}

std::vector<const InstanceRecord*> Monitoring::Monitors(
    const InstanceRecord& subject,
    size_t count) {
  const std::vector<const InstanceRecord*>& entries = state_.RegionEntries();
  if (subject.role == Role::kAgent)
    return RankEntries(RelayKey(subject), entries, count);
  std::vector<const InstanceRecord*> others;
  for (const InstanceRecord* entry : entries) {
    if (entry->uid != subject.uid)
      others.push_back(entry);
  }
  return RankEntries(RelayKey(subject), others, count);
}

bool Monitoring::IsOutranked(const InstanceRecord& subject) {
  if (neighbours_version_ != state_.region_version()) {
    neighbours_version_ = state_.region_version();
    neighbours_.clear();
    for (const InstanceRecord* entry : state_.RegionEntries()) {
      if (entry->data_centre == state_.self.data_centre &&
          entry->uid != state_.self.uid) {
        neighbours_.push_back(entry->uid);
      }
    }
  }
  const uint64_t key = RelayKey(subject);
  const uint64_t own = RendezvousScore(key, state_.self.uid);
  size_t better = 0;
  for (InstanceUid neighbour : neighbours_) {
    if (neighbour == subject.uid || RendezvousScore(key, neighbour) <= own)
      continue;
    if (++better >= kRelays)
      return true;
  }
  return false;
}

bool Monitoring::IsAssigned(const InstanceRecord& subject) {
  if (IsOutranked(subject))
    return false;
  for (const InstanceRecord* monitor : Monitors(subject, kRelays)) {
    if (monitor->uid == state_.self.uid)
      return true;
  }
  return false;
}

void Monitoring::AssignAll(absl::Time now) {
  assigned_version_ = state_.region_version();
  pinged_.clear();
  state_.table.ForEach([this, now](const InstanceRecord& record) {
    if (record.region != state_.self.region || record.uid == state_.self.uid ||
        record.state == InstanceState::kDown) {
      return;
    }
    if (!IsAssigned(record)) {
      detector_.Unassign(record.uid);
      if (record.role == Role::kEntry)
        detector_.Forget(record.uid);
      return;
    }
    detector_.Assign(now, record.uid);
    if (record.role == Role::kEntry)
      pinged_.push_back(record.uid);
  });
}

void Monitoring::Ping(absl::Time now, EntryControlActions& actions) {
  if (now < next_ping_)
    return;
  next_ping_ = now + kPingInterval;
  for (InstanceUid uid : pinged_) {
    const InstanceRecord* entry = state_.table.Find(uid);
    if (entry == nullptr || entry->state == InstanceState::kDown)
      continue;
    actions.push_back(
        SendControl{entry->control, Probe{state_.self.incarnation, uid}});
  }
}

void Monitoring::SendProbes(absl::Time now,
                            InstanceUid subject,
                            EntryControlActions& actions) {
  const InstanceRecord* record = state_.table.Find(subject);
  if (record == nullptr || record->state == InstanceState::kDown) {
    detector_.Forget(subject);
    return;
  }
  std::vector<InstanceUid> asked;
  for (const InstanceRecord* relay : Monitors(*record, kProbedRelays + 1)) {
    if (relay->uid == state_.self.uid || asked.size() >= kProbedRelays)
      continue;
    asked.push_back(relay->uid);
    actions.push_back(
        SendControl{relay->control, Probe{state_.self.incarnation, subject}});
  }
  detector_.OnProbesSent(now, subject, asked);
}

}  // namespace skylarkshunt
