#include "skylarkshunt/forwarding/opening_copies.h"

#include <algorithm>

namespace skylarkshunt {
namespace {

/// Time for which a flow is recorded after its last copy; longer than the
/// attempt of a client.
constexpr absl::Duration kLifetime = absl::Seconds(3);

}  // namespace

void OpeningCopies::Record(const PacketHeader& header,
                           absl::Time oldest,
                           absl::Time now) {
  const FlowId id = header.flow_from_client();
  if (flows_.size() >= kMaxFlows && !flows_.contains(id))
    return;
  Flow& flow = flows_[id];
  if (flow.sequence != header.sequence || now - flow.used > kLifetime) {
    flow = Flow();
    flow.sequence = header.sequence;
  }
  flow.used = now;
  const size_t copy = std::min<size_t>(header.opening_copy, kMaxCopies - 1);
  flow.copies.received |= static_cast<uint8_t>(1U << copy);
  flow.copies.first_sent = std::max(flow.copies.first_sent,
                                    oldest - header.opening_age - kNetworkTime);
  flow.next_after[copy] = header.opening_next_age;
}

OpeningCopies::Copies OpeningCopies::Find(const FlowId& flow) const {
  const auto found = flows_.find(flow);
  return found == flows_.end() ? Copies() : found->second.copies;
}

void OpeningCopies::RecordUnanswered(const FlowId& id, InstanceUid agent) {
  const auto found = flows_.find(id);
  if (found == flows_.end())
    return;
  auto& unanswered = found->second.unanswered;
  if (std::find(unanswered.begin(), unanswered.end(), agent) ==
      unanswered.end())
    unanswered.push_back(agent);
}

void OpeningCopies::RecordDeclined(const FlowId& id, InstanceUid agent) {
  const auto found = flows_.find(id);
  if (found == flows_.end())
    return;
  auto& unanswered = found->second.unanswered;
  unanswered.erase(std::remove(unanswered.begin(), unanswered.end(), agent),
                   unanswered.end());
}

void OpeningCopies::RecordUnansweredByTarget(const FlowId& id) {
  const auto found = flows_.find(id);
  if (found != flows_.end())
    found->second.unanswered_by_target = true;
}

bool OpeningCopies::HasUnanswered(const FlowId& id) const {
  const auto found = flows_.find(id);
  return found != flows_.end() && (!found->second.unanswered.empty() ||
                                   found->second.unanswered_by_target);
}

bool OpeningCopies::MayHaveMissedOne(const FlowId& id, absl::Time now) const {
  const auto found = flows_.find(id);
  if (found == flows_.end())
    return true;
  const Flow& flow = found->second;
  size_t copy = 0;
  while (copy < kMaxCopies && (flow.copies.received >> copy & 1U) != 0)
    ++copy;
  // Without the first copy, or with a gap, another entry has got the others.
  if (copy == 0 || flow.copies.received >> copy != 0)
    return true;
  return now >= flow.copies.first_sent + flow.next_after[copy - 1];
}

void OpeningCopies::Expire(absl::Time now) {
  absl::erase_if(flows_, [now](const auto& flow) {
    return now - flow.second.used > kLifetime;
  });
}

}  // namespace skylarkshunt
