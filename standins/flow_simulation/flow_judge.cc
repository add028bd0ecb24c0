#include "standins/flow_simulation/flow_judge.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

/// Time without disruption after which a machine is in touch
/// (`stable-window-ms` of the rules).
constexpr absl::Duration kInTouchWindow = absl::Seconds(4);
/// Time and number of packets of the second part of rule FLOW.
constexpr absl::Duration kMisdirectedTime = absl::Seconds(2);
constexpr size_t kMisdirectedPackets = 3;
/// Arrivals at other targets closer than this are copies of one packet: a
/// client sends a packet again after 200 ms at the earliest.
constexpr absl::Duration kCopiesSpan = absl::Milliseconds(100);
constexpr absl::string_view kRemovedRouteReason = "no_route";
constexpr std::array<absl::string_view, kDisruptions> kDisruptionNames = {
    "kill", "stall", "loss"};
constexpr std::array<absl::string_view, 3> kViolationNames = {
    "reset honoured", "reset ignored", "misdirected"};

}  // namespace

absl::string_view ViolationName(ViolationKind kind) {
  return kViolationNames[static_cast<size_t>(kind)];
}

void FlowJudge::RecordDisruption(Actor machine,
                                 Disruption kind,
                                 absl::Time until) {
  auto& ends =
      disrupted_
          .try_emplace({machine.kind == ActorKind::kEntry, machine.index},
                       std::array<absl::Time, kDisruptions>{
                           absl::InfinitePast(), absl::InfinitePast(),
                           absl::InfinitePast()})
          .first->second;
  absl::Time& end = ends[static_cast<size_t>(kind)];
  end = std::max(end, until);
}

void FlowJudge::OnOpening(const FlowId& flow) {
  Flow opening;
  opening.removed = removed_.contains(flow.service);
  flows_.insert_or_assign(flow, opening);
}

void FlowJudge::OnRouteRemoved(Endpoint route) {
  removed_.insert(route);
  for (auto& [id, flow] : flows_)
    flow.removed = flow.removed || id.service == route;
}

void FlowJudge::OnTaken(const FlowId& flow, size_t entry) {
  const auto found = flows_.find(flow);
  if (found != flows_.end())
    found->second.entry = entry;
}

void FlowJudge::OnOpened(const FlowId& flow, size_t target) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.open)
    return;
  found->second.open = true;
  found->second.target = target;
  found->second.number = ++opened_;
  found->second.own_packet = events_.now();
  found->second.foreign.clear();
}

void FlowJudge::OnClosed(const FlowId& flow) {
  flows_.erase(flow);
}

void FlowJudge::OnTargetEnded(size_t target) {
  absl::erase_if(flows_, [target](const auto& flow) {
    return flow.second.open && flow.second.target == target;
  });
}

absl::optional<size_t> FlowJudge::TargetOf(const FlowId& flow) const {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || !found->second.open)
    return absl::nullopt;
  return found->second.target;
}

void FlowJudge::OnDelivered(const FlowId& id, size_t target) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || !found->second.open)
    return;
  Flow& flow = found->second;
  const absl::Time now = events_.now();
  if (flow.target == target) {
    flow.own_packet = now;
    flow.foreign.clear();
    return;
  }
  RecordForeign(id, flow, now);
}

void FlowJudge::RecordForeign(const FlowId& id, Flow& flow, absl::Time now) {
  // A search sends copies of one packet to several targets, which arrive within
  // a few milliseconds.
  if (flow.foreign.empty() || now - flow.foreign.back() >= kCopiesSpan) {
    flow.foreign.push_back(now);
    flow.copies = 1;
  } else if (++flow.copies == kMisdirectedPackets) {
    ++searches_;
  }
  if (flow.foreign.size() < kMisdirectedPackets)
    return;
  const absl::Time first =
      flow.foreign[flow.foreign.size() - kMisdirectedPackets];
  if (now - first > kMisdirectedTime)
    return;
  events_.At(first + kMisdirectedTime,
             [this, id, number = flow.number, own = flow.own_packet] {
               const auto later = flows_.find(id);
               if (later == flows_.end() || later->second.number != number ||
                   later->second.own_packet != own || later->second.misdirected)
                 return;
               later->second.misdirected = true;
               Add(ViolationKind::kMisdirected, id, later->second, {});
             });
}

void FlowJudge::OnReset(const SentReset& reset, bool honoured) {
  const auto found = flows_.find(reset.flow);
  if (found == flows_.end() || !found->second.open)
    return;
  Add(honoured ? ViolationKind::kResetHonoured : ViolationKind::kResetIgnored,
      reset.flow, found->second, reset);
}

void FlowJudge::Add(ViolationKind kind,
                    const FlowId& id,
                    const Flow& flow,
                    const SentReset& reset) {
  // Any other reason must be true for the flows of a removed route, too.
  if (flow.removed && (kind == ViolationKind::kMisdirected ||
                       reset.reason == kRemovedRouteReason))
    return;
  Violation violation;
  violation.kind = kind;
  violation.flow = id;
  violation.time = events_.now();
  violation.reason = reset.reason;
  violation.holder = reset.holder;
  violation.sender = reset.sender;
  violation.entry = {ActorKind::kEntry, flow.entry};
  violation.target = {ActorKind::kTarget, flow.target};
  violation.excuse = Excuse(flow, reset.sender);
  violations_.push_back(std::move(violation));
}

std::string FlowJudge::Excuse(const Flow& flow, Actor sender) const {
  std::array<bool, kDisruptions> kinds{};
  const auto check = [&](bool entry, size_t index) {
    const auto found = disrupted_.find(std::make_pair(entry, index));
    if (found == disrupted_.end())
      return;
    for (size_t i = 0; i < kDisruptions; ++i)
      kinds[i] |= events_.now() - found->second[i] < kInTouchWindow;
  };
  check(true, flow.entry);
  check(false, flow.target);
  if (sender.kind != ActorKind::kNone)
    check(sender.kind == ActorKind::kEntry, sender.index);
  std::string text;
  for (size_t i = 0; i < kDisruptions; ++i) {
    if (kinds[i])
      absl::StrAppend(&text, text.empty() ? "" : "+", kDisruptionNames[i]);
  }
  return text;
}

size_t FlowJudge::broken() const {
  return static_cast<size_t>(
      std::count_if(violations_.begin(), violations_.end(),
                    [](const Violation& v) { return v.excuse.empty(); }));
}

}  // namespace skylarkshunt
