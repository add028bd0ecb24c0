#include "standins/packet_fleet/flow_ledger.h"

#include <algorithm>

namespace skylarkshunt {
namespace {

/// Packets that are kept of each flow; more than a client sends in the time
/// that is looked at.
constexpr size_t kMostSent = 64;
/// An entry that took a packet this long before a reset may have caused it.
constexpr absl::Duration kCauseTime = absl::Seconds(2);

}  // namespace

const char* FlowFaultName(FlowFault fault) {
  switch (fault) {
    case FlowFault::kReset:
      return "reset";
    case FlowFault::kResetOutsideWindow:
      return "reset_outside_window";
    case FlowFault::kResetAfterGrant:
      return "reset_after_grant";
    case FlowFault::kForeignTargets:
      return "foreign_targets";
    case FlowFault::kForeignCopies:
      return "foreign_copies";
  }
  return "unknown";
}

void FlowLedger::RecordSent(const FlowId& flow,
                            Endpoint entry,
                            absl::Time now) {
  absl::MutexLock lock(&mutex_);
  const auto [known, added] = flows_.try_emplace(flow);
  if (added)
    known->second.judged = !removed_.contains(flow.service);
  std::deque<Sent>& sent = known->second.sent;
  sent.push_back({now, entry});
  if (sent.size() > kMostSent)
    sent.pop_front();
}

void FlowLedger::RecordGranted(const FlowId& flow, uint32_t sequence) {
  absl::MutexLock lock(&mutex_);
  Flow& known = flows_[flow];
  for (const auto& [target, granted] : known.grants) {
    if (granted == sequence)
      known.granted_by = target;
  }
}

void FlowLedger::RecordEnd(const FlowId& flow, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  const auto known = flows_.find(flow);
  if (known == flows_.end())
    return;
  CheckForeign(flow, known->second, now);
  flows_.erase(known);
}

ResetOutcome FlowLedger::RecordReset(const FlowId& flow,
                                     uint32_t sequence,
                                     uint32_t acknowledged,
                                     bool from_end,
                                     absl::Time earliest,
                                     absl::Time now) {
  absl::MutexLock lock(&mutex_);
  Flow& known = flows_[flow];
  if (known.granted_by < 0) {
    ++permitted_["before_grant"];
    return ResetOutcome::kEndsAttempt;
  }
  if (known.ended_by_target && from_end) {
    ++permitted_["by_target"];
    return ResetOutcome::kEndsFlow;
  }
  if (known.lost || !known.judged) {
    ++permitted_[known.lost ? "target_lost_flow" : "route_removed"];
    return ResetOutcome::kEndsFlow;
  }
  const auto distance =
      static_cast<int64_t>(static_cast<int32_t>(sequence - acknowledged));
  const bool inside = std::abs(distance) <= int64_t{kResetWindow};
  const bool open = known.owner >= 0 && known.opened <= earliest;
  FlowFinding finding;
  finding.fault = !open    ? FlowFault::kResetAfterGrant
                  : inside ? FlowFault::kReset
                           : FlowFault::kResetOutsideWindow;
  finding.flow = flow;
  finding.target = known.owner < 0 ? known.granted_by : known.owner;
  finding.opened = known.opened;
  finding.from = now;
  finding.to = now;
  finding.entries = EntriesBetween(known, now - kCauseTime, now);
  for (const Received& received : known.foreign)
    finding.foreign.push_back(received.target);
  findings_.push_back(finding);
  return finding.fault == FlowFault::kResetOutsideWindow
             ? ResetOutcome::kIgnored
             : ResetOutcome::kEndsFlow;
}

void FlowLedger::RecordGrant(const FlowId& flow,
                             int target,
                             uint32_t sequence) {
  absl::MutexLock lock(&mutex_);
  const auto known = flows_.find(flow);
  if (known != flows_.end())
    known->second.grants[target] = sequence;
}

void FlowLedger::RecordOpen(const FlowId& flow, int target, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  const auto known = flows_.find(flow);
  if (known == flows_.end() || known->second.owner >= 0)
    return;
  known->second.owner = target;
  known->second.opened = now;
  known->second.last_own = now;
  known->second.foreign.clear();
}

void FlowLedger::RecordReceived(const FlowId& flow,
                                int target,
                                absl::Time now) {
  absl::MutexLock lock(&mutex_);
  const auto known = flows_.find(flow);
  if (known == flows_.end() || known->second.owner < 0)
    return;
  if (target != known->second.owner) {
    known->second.foreign.push_back({now, target});
    return;
  }
  CheckForeign(flow, known->second, now);
  known->second.last_own = now;
  known->second.foreign.clear();
}

void FlowLedger::RecordEndedByTarget(const FlowId& flow,
                                     int target,
                                     absl::Time now) {
  absl::MutexLock lock(&mutex_);
  const auto known = flows_.find(flow);
  if (known == flows_.end() || known->second.owner != target)
    return;
  CheckForeign(flow, known->second, now);
  known->second.foreign.clear();
  known->second.ended_by_target = true;
}

void FlowLedger::RecordLost(int target, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  for (auto& [id, flow] : flows_) {
    flow.grants.erase(target);
    const bool granted_only = flow.owner < 0 && flow.granted_by == target;
    if (flow.owner != target && !granted_only)
      continue;
    CheckForeign(id, flow, now);
    flow.lost = true;
  }
}

void FlowLedger::RecordRouteRemoved(Endpoint service, absl::Time now) {
  absl::MutexLock lock(&mutex_);
  removed_.insert(service);
  for (auto& [id, flow] : flows_) {
    if (id.service != service)
      continue;
    CheckForeign(id, flow, now);
    flow.judged = false;
  }
}

void FlowLedger::RecordRouteAdded(Endpoint service) {
  absl::MutexLock lock(&mutex_);
  removed_.erase(service);
}

std::vector<FlowFinding> FlowLedger::findings() const {
  absl::MutexLock lock(&mutex_);
  return findings_;
}

std::map<std::string, int> FlowLedger::permitted() const {
  absl::MutexLock lock(&mutex_);
  return permitted_;
}

void FlowLedger::CheckForeign(const FlowId& id, Flow& flow, absl::Time end) {
  if (flow.owner < 0 || flow.lost || !flow.judged)
    return;
  const std::vector<Received>& foreign = flow.foreign;
  for (size_t i = 0; i + kForeignPackets <= foreign.size(); ++i) {
    const absl::Time last = foreign[i + kForeignPackets - 1].time;
    const absl::Time from = std::max(flow.last_own, last - kForeignTime);
    if (from > foreign[i].time || from + kForeignTime > end)
      continue;
    FlowFinding finding;
    finding.flow = id;
    finding.target = flow.owner;
    finding.opened = flow.opened;
    finding.from = from;
    finding.to = from + kForeignTime;
    finding.entries = EntriesBetween(flow, finding.from, finding.to);
    for (size_t k = i; k < i + kForeignPackets; ++k)
      finding.foreign.push_back(foreign[k].target);
    finding.sent = static_cast<int>(std::count_if(
        flow.sent.begin(), flow.sent.end(), [&finding](const Sent& sent) {
          return sent.time >= finding.from && sent.time <= finding.to;
        }));
    finding.fault = finding.sent < static_cast<int>(kForeignPackets)
                        ? FlowFault::kForeignCopies
                        : FlowFault::kForeignTargets;
    findings_.push_back(std::move(finding));
  }
}

std::vector<Endpoint> FlowLedger::EntriesBetween(const Flow& flow,
                                                 absl::Time from,
                                                 absl::Time to) {
  std::vector<Endpoint> entries;
  for (const Sent& sent : flow.sent) {
    const bool known =
        std::find(entries.begin(), entries.end(), sent.entry) != entries.end();
    if (sent.time >= from && sent.time <= to && !known)
      entries.push_back(sent.entry);
  }
  // A quiet flow is reset because of its last packet, or of none.
  if (entries.empty() && !flow.sent.empty())
    entries.push_back(flow.sent.back().entry);
  return entries;
}

}  // namespace skylarkshunt
