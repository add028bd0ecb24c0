#include "skylarkshunt/forwarding/agent_directory.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "absl/container/inlined_vector.h"
#include "skylarkshunt/forwarding/load_model.h"

namespace skylarkshunt {
namespace {

constexpr uint32_t kNoLimit = std::numeric_limits<uint32_t>::max();
/// Time for which sent packets count as unreported load. An agent that accepted
/// one answers within a few milliseconds.
constexpr absl::Duration kUnreportedLifetime = absl::Milliseconds(100);
/// Cost of a target in another data centre, in microseconds: the round trip,
/// and traffic between data centres that brings clients no benefit.
constexpr uint64_t kRemoteCostUs = 3000;
/// The same for a target that reports its pending work. A precise estimate
/// finds small differences between the data centres all the time. A flow leaves
/// its own one only for a gain of about half a usual service time.
constexpr uint64_t kRemoteWorkCostUs = 12'000;
/// Additional cost of a full target over an empty one, in microseconds. Spreads
/// flows over targets with free slots.
constexpr uint64_t kOccupancyCostUs = 4000;
/// Service times up to this multiple of the fastest count as equal, since they
/// are estimates. In thousandths.
constexpr uint64_t kEqualServiceTimeMilli = 1600;
/// Cost of a failed request for its client, in microseconds: about the time
/// until the next attempt is answered. Failing targets are not excluded, so
/// that a service stays available when all its targets seem to fail.
constexpr uint64_t kFailureCostUs = 200'000;
/// Failing shares up to this much above the median of the service are ignored,
/// since they are based on few outcomes. In thousandths.
constexpr uint64_t kToleratedFailingPermille = 100;
/// An agent declines a flow only if it is worse than the second best agent by
/// more than this, in microseconds: two hops between data centres.
constexpr uint32_t kDeclineMarginUs = 2000;
/// The same for an agent that reports its pending work. It declines because of
/// requests that have come from other entries since its report, so that a
/// smaller margin costs many round trips for little shorter waits.
constexpr uint32_t kWorkDeclineMarginUs = 8000;
/// Number of missed reports after which an agent gets no new flow.
constexpr int kMissedReports = 3;
/// Time that each entry adds to the interval between two reports.
constexpr absl::Duration kIntervalPerEntry = absl::Milliseconds(8);
/// Fleets with more entries also have more agents, all of which report to each
/// entry. Above this number of entries the interval grows with its square,
/// which keeps the rate of reports at each entry constant.
constexpr size_t kManyEntries = 50;
/// Only agents that an entry does not use depend on reports. The others send
/// their load with each answer, and unanswered opening packets show that they
/// are unresponsive.
constexpr absl::Duration kLongestReportInterval = absl::Seconds(5);
/// Number of unanswered opening packets after which an agent counts as
/// unresponsive. A single one may be a lost datagram.
constexpr uint32_t kUnansweredUntilUnresponsive = 2;
/// Maximum number of agents that the median of the failing shares is computed
/// from.
constexpr size_t kMedianAgents = 64;
/// Age up to which a report's busy slots count as current; about the longest
/// report interval in small fleets. In an older report the target has made
/// progress since.
constexpr absl::Duration kMaxFreshLoadAge = absl::Milliseconds(150);

struct Candidate {
  AgentView* agent = nullptr;
  uint64_t cost_us = 0;
  uint32_t wait_us = 0;
  uint64_t tie = 0;

  bool operator<(const Candidate& other) const {
    return cost_us != other.cost_us ? cost_us < other.cost_us : tie < other.tie;
  }
};

/// Returns the rank of an agent in the order of a flow. The hash is cheap,
/// since it is computed for each agent of the service, and the same on every
/// node and release.
uint64_t OrderOf(InstanceUid agent, uint64_t flow_hash) {
  uint64_t mixed = ToNumber(agent) ^ flow_hash;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31);
}

absl::Duration ExpiryTimeoutOf(const AgentView& agent) {
  return std::max(kAgentExpiryTimeout, 2 * agent.suspect_timeout);
}

uint32_t Unreported(const AgentView& agent, absl::Time now) {
  return now - agent.last_sent < kUnreportedLifetime ? agent.unreported : 0;
}

/// Returns the load with the number of requests expected at the target now,
/// since it has answered some of those in an old message. Without this an agent
/// that was full in its last report would get no flow until the next one. The
/// pending work is a time, so it shrinks with its age. Where it does too fast,
/// because other entries have placed flows there, the agent declines the next
/// one and reports its load with that.
AgentLoad PresentLoad(const AgentView& agent, absl::Time now) {
  AgentLoad load = agent.load;
  if (load.pending_work_us != 0) {
    const int64_t left_us =
        load.pending_work_us - absl::ToInt64Microseconds(now - agent.last_seen);
    load.pending_work_us =
        static_cast<uint32_t>(std::max<int64_t>(kPendingWorkUnitUs, left_us));
  }
  const absl::Duration stale = now - agent.last_seen - kMaxFreshLoadAge;
  if (stale <= absl::ZeroDuration() || load.busy == 0)
    return load;
  const double answered =
      load.slots *
      absl::FDivDuration(stale, absl::Microseconds(ServiceTimeUs(load)));
  load.busy =
      answered >= load.busy ? 0 : static_cast<uint16_t>(load.busy - answered);
  return load;
}

uint64_t RemoteCostUs(const AgentLoad& load) {
  return load.pending_work_us != 0 ? kRemoteWorkCostUs : kRemoteCostUs;
}

uint32_t DeclineMarginUs(const AgentLoad& load) {
  return load.pending_work_us != 0 ? kWorkDeclineMarginUs : kDeclineMarginUs;
}

bool IsCandidate(const AgentView& agent,
                 const PlacementRequest& request,
                 absl::Time now) {
  return agent.load.accepts_flows() && IsResponsive(agent, now) &&
         std::find(request.declined.begin(), request.declined.end(),
                   agent.identity.uid) == request.declined.end() &&
         !std::binary_search(request.evacuated.begin(), request.evacuated.end(),
                             agent.identity.data_centre);
}

/// Returns the median of the failing shares. Fewer than half of the targets can
/// exceed it by far. A burst or a fault that affects all targets therefore
/// penalizes none of them.
uint64_t UsualFailingPermille(absl::Span<AgentView* const> agents,
                              const PlacementRequest& request,
                              absl::Time now) {
  absl::InlinedVector<uint16_t, kMedianAgents> shares;
  uint16_t largest = 0;
  for (const AgentView* agent : agents) {
    if (!IsCandidate(*agent, request, now) || shares.size() == kMedianAgents)
      continue;
    shares.push_back(agent->load.failing_permille);
    largest = std::max(largest, agent->load.failing_permille);
  }
  if (largest <= kToleratedFailingPermille)
    return 0;
  const auto median = shares.begin() + (shares.size() - 1) / 2;
  std::nth_element(shares.begin(), median, shares.end());
  return *median;
}

/// Places a flow on one of `agents`.
absl::optional<Placement> PlaceAmong(absl::Span<AgentView* const> agents,
                                     const PlacementRequest& request,
                                     absl::Time now) {
  uint64_t fastest_us = kNoLimit;
  const uint64_t usual_failing = UsualFailingPermille(agents, request, now);
  for (const AgentView* agent : agents) {
    if (agent->load.service_time_us != 0 && IsCandidate(*agent, request, now))
      fastest_us = std::min<uint64_t>(fastest_us, agent->load.service_time_us);
  }
  const uint64_t tolerated_us = fastest_us * kEqualServiceTimeMilli / 1000;
  Candidate best;
  Candidate second;
  for (AgentView* agent : agents) {
    if (!IsCandidate(*agent, request, now) || agent->load.slots == 0)
      continue;
    const uint32_t unreported = Unreported(*agent, now);
    const AgentLoad load = PresentLoad(*agent, now);
    Candidate candidate;
    candidate.agent = agent;
    candidate.wait_us = ExpectedWaitUs(load, unreported);
    candidate.tie = OrderOf(agent->identity.uid, request.flow_hash);
    candidate.cost_us = candidate.wait_us;
    if (load.service_time_us > tolerated_us)
      candidate.cost_us += load.service_time_us - fastest_us;
    if (agent->identity.data_centre != request.data_centre)
      candidate.cost_us += RemoteCostUs(load);
    const uint64_t failing = load.failing_permille;
    if (failing > usual_failing + kToleratedFailingPermille)
      candidate.cost_us += kFailureCostUs * (failing - usual_failing) / 1000;
    candidate.cost_us +=
        kOccupancyCostUs * (uint64_t{load.busy} + unreported) / load.slots;
    if (best.agent == nullptr || candidate < best) {
      second = best;
      best = candidate;
    } else if (second.agent == nullptr || candidate < second) {
      second = candidate;
    }
  }
  if (best.agent == nullptr)
    return absl::nullopt;
  Placement placement;
  placement.agent = best.agent;
  placement.wait_us = best.wait_us;
  placement.wait_limit_us =
      second.agent == nullptr || request.declined.size() >= kMaxDeclines
          ? kNoLimit
          : static_cast<uint32_t>(std::min<uint64_t>(
                kNoLimit - 1,
                second.cost_us + DeclineMarginUs(best.agent->load)));
  return placement;
}

}  // namespace

absl::Duration AgentReportInterval(size_t entries) {
  const size_t factor = std::max(entries, kManyEntries);
  return std::min(std::max(kAgentReportInterval,
                           kIntervalPerEntry * entries * factor / kManyEntries),
                  kLongestReportInterval);
}

bool IsResponsive(const AgentView& agent, absl::Time now) {
  return now - agent.last_seen < agent.suspect_timeout &&
         agent.unanswered < kUnansweredUntilUnresponsive;
}

void RecordUnanswered(AgentView& agent, absl::Time sent) {
  if (agent.last_seen <= sent)
    ++agent.unanswered;
}

AgentChange AgentDirectory::Update(const AgentIdentity& agent,
                                   const AgentLoad& load,
                                   Endpoint endpoint,
                                   absl::Time now) {
  AgentView* known = Find(agent.uid);
  if (known == nullptr) {
    auto view = std::make_unique<AgentView>();
    view->identity = agent;
    view->endpoint = endpoint;
    view->load = load;
    view->last_seen = now;
    of_service_[agent.service].push_back(view.get());
    agents_[agent.uid] = std::move(view);
    last_appeared_[agent.service] = now;
    return AgentChange::kAppeared;
  }
  if (agent.incarnation < known->identity.incarnation)
    return AgentChange::kNone;
  const bool restarted = agent.incarnation != known->identity.incarnation;
  const bool state = load.state != known->load.state;
  if (restarted) {
    known->sequence = 0;
    known->unreported = 0;
    known->answers_queries = false;
  }
  known->identity = agent;
  known->endpoint = endpoint;
  known->load = load;
  known->last_seen = now;
  known->unanswered = 0;
  if (known->unreported > 0)
    --known->unreported;
  if (restarted)
    return AgentChange::kRestarted;
  return state ? AgentChange::kState : AgentChange::kNone;
}

AgentChange AgentDirectory::UpdateFromReport(const AgentReport& report,
                                             Endpoint endpoint,
                                             absl::Time now) {
  const AgentView* known = Find(report.agent.uid);
  const bool repeated =
      known != nullptr &&
      known->identity.incarnation == report.agent.incarnation &&
      report.sequence <= known->sequence;
  if (repeated)
    return AgentChange::kNone;
  const AgentChange change = Update(report.agent, report.load, endpoint, now);
  AgentView* agent = Find(report.agent.uid);
  if (agent->identity.incarnation == report.agent.incarnation) {
    agent->sequence = report.sequence;
    agent->suspect_timeout =
        std::max(kAgentSuspectTimeout,
                 kMissedReports * absl::Milliseconds(report.interval_ms));
  }
  return change;
}

void AgentDirectory::RecordConfiguration(uint32_t address,
                                         const ConfigurationId& held) {
  for (const auto& [uid, agent] : agents_) {
    if (agent->endpoint.address == address)
      agent->configuration = held;
  }
}

std::vector<AgentView> AgentDirectory::RemoveUnresponsive(absl::Time now) {
  std::vector<AgentView> removed;
  for (auto& [service, agents] : of_service_) {
    const auto unresponsive = std::stable_partition(
        agents.begin(), agents.end(), [now](const AgentView* agent) {
          return now - agent->last_seen < ExpiryTimeoutOf(*agent);
        });
    for (auto agent = unresponsive; agent != agents.end(); ++agent) {
      removed.push_back(**agent);
      if ((*agent)->load.state != InstanceState::kDown)
        last_lost_[service] = now;
    }
    agents.erase(unresponsive, agents.end());
  }
  for (const AgentView& agent : removed)
    agents_.erase(agent.identity.uid);
  return removed;
}

AgentView* AgentDirectory::Find(InstanceUid uid) {
  const auto found = agents_.find(uid);
  return found == agents_.end() ? nullptr : found->second.get();
}

absl::Span<AgentView* const> AgentDirectory::AgentsOfService(
    ServiceUid service) const {
  const auto agents = of_service_.find(service);
  if (agents == of_service_.end())
    return {};
  return agents->second;
}

std::vector<ServiceUid> AgentDirectory::Services() const {
  std::vector<ServiceUid> services;
  services.reserve(of_service_.size());
  for (const auto& [service, agents] : of_service_)
    services.push_back(service);
  return services;
}

absl::Time AgentDirectory::last_appeared(ServiceUid service) const {
  const auto appeared = last_appeared_.find(service);
  return appeared == last_appeared_.end() ? absl::InfinitePast()
                                          : appeared->second;
}

bool AgentDirectory::IsComplete(ServiceUid service, absl::Time now) const {
  const absl::Duration since_appeared = now - last_appeared(service);
  const absl::Span<AgentView* const> agents = AgentsOfService(service);
  return std::all_of(
      agents.begin(), agents.end(), [since_appeared, now](const AgentView* a) {
        return since_appeared >= a->suspect_timeout &&
               (a->load.state == InstanceState::kDown || IsResponsive(*a, now));
      });
}

absl::Time AgentDirectory::last_lost(ServiceUid service) const {
  const auto lost = last_lost_.find(service);
  return lost == last_lost_.end() ? absl::InfinitePast() : lost->second;
}

bool AgentDirectory::IsAnyLeaving(ServiceUid service) const {
  const absl::Span<AgentView* const> agents = AgentsOfService(service);
  return std::any_of(agents.begin(), agents.end(), [](const AgentView* a) {
    return a->load.state == InstanceState::kLeaving;
  });
}

absl::Duration AgentDirectory::ExpiryTimeout(ServiceUid service) const {
  absl::Duration longest = kAgentExpiryTimeout;
  for (const AgentView* agent : AgentsOfService(service))
    longest = std::max(longest, ExpiryTimeoutOf(*agent));
  return longest;
}

void AppendCandidates(absl::Span<AgentView* const> agents,
                      uint64_t flow_hash,
                      uint32_t data_centre,
                      size_t per_side,
                      std::vector<AgentView*>& candidates) {
  if (agents.size() <= 2 * per_side) {
    candidates.insert(candidates.end(), agents.begin(), agents.end());
    return;
  }
  // The first agents of the local data centre and of the others so far, as
  // max-heaps by rank.
  using Ordered = std::pair<uint64_t, AgentView*>;
  std::array<absl::InlinedVector<Ordered, kSearchedPerSide + 1>, 2> sides;
  for (AgentView* agent : agents) {
    auto& side = sides[agent->identity.data_centre == data_centre ? 0 : 1];
    const uint64_t order = OrderOf(agent->identity.uid, flow_hash);
    if (side.size() == per_side && order >= side.front().first)
      continue;
    side.emplace_back(order, agent);
    std::push_heap(side.begin(), side.end());
    if (side.size() > per_side) {
      std::pop_heap(side.begin(), side.end());
      side.pop_back();
    }
  }
  for (const auto& side : sides) {
    for (const Ordered& ordered : side)
      candidates.push_back(ordered.second);
  }
}

absl::optional<Placement> PlaceFlow(AgentDirectory& directory,
                                    const PlacementRequest& request,
                                    absl::Time now) {
  const absl::Span<AgentView* const> agents =
      directory.AgentsOfService(request.service);
  std::vector<AgentView*> candidates;
  candidates.reserve(2 * kCandidatesPerSide);
  AppendCandidates(agents, request.flow_hash, request.data_centre,
                   kCandidatesPerSide, candidates);
  const absl::optional<Placement> placement =
      PlaceAmong(candidates, request, now);
  if (placement.has_value() || candidates.size() == agents.size())
    return placement;
  return PlaceAmong(agents, request, now);
}

}  // namespace skylarkshunt
