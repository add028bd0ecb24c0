#include "skylarkshunt/forwarding/agent_directory.h"

#include <algorithm>
#include <limits>

#include "absl/container/inlined_vector.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/forwarding/load_model.h"

namespace skylarkshunt {
namespace {

constexpr uint32_t kNoLimit = std::numeric_limits<uint32_t>::max();
/// Sent packets count as unreported load for this long; an agent that took one
/// answers within a few milliseconds.
constexpr absl::Duration kUnreportedLifetime = absl::Milliseconds(100);
/// Cost of leaving the data centre, in microseconds: the round trip, and bytes
/// between data centres that callers gain nothing from.
constexpr uint64_t kRemoteCostUs = 3000;
/// Spreads flows over targets with free slots; a full target costs this much
/// more than an empty one, in microseconds.
constexpr uint64_t kOccupancyCostUs = 4000;
/// Service times within this ratio of the fastest count as equal, since they
/// are estimates; thousandths.
constexpr uint64_t kEqualServiceTimeMilli = 1600;
/// What a failed request costs its caller, in microseconds: about the time
/// until the next attempt is answered. It is a cost and not an exclusion, so
/// that a service stays up when all its targets look bad.
constexpr uint64_t kFailureCostUs = 200'000;
/// Failing shares that are less than this above the median of the service do
/// not count, since few outcomes decide them; thousandths.
constexpr uint64_t kToleratedFailingPermille = 100;
/// An agent may be this much worse than the second best before it declines, in
/// microseconds: two hops between data centres.
constexpr uint32_t kDeclineMarginUs = 2000;
/// Reports that may be missing before an agent gets no new flow.
constexpr int kMissedReports = 3;
/// What each entry adds to the time between two reports.
constexpr absl::Duration kIntervalPerEntry = absl::Milliseconds(8);
/// An agent that is silent for three of these is noticed within the time that
/// a client waits for its second copy to be answered elsewhere.
constexpr absl::Duration kLongestReportInterval = absl::Seconds(1);
/// Opening packets without an answer after which an agent counts as silent: one
/// may be a lost datagram.
constexpr uint32_t kUnansweredUntilSilent = 2;
/// Most agents whose failing share decides the median.
constexpr size_t kMedianAgents = 64;
constexpr uint64_t kTieSeed = 0x746965;

struct Candidate {
  AgentView* agent = nullptr;
  uint64_t cost_us = 0;
  uint32_t wait_us = 0;
  uint64_t tie = 0;

  bool operator<(const Candidate& other) const {
    return cost_us != other.cost_us ? cost_us < other.cost_us : tie < other.tie;
  }
};

uint32_t Unreported(const AgentView& agent, absl::Time now) {
  return now - agent.last_sent < kUnreportedLifetime ? agent.unreported : 0;
}

bool IsCandidate(const AgentView& agent,
                 const PlacementRequest& request,
                 absl::Time now) {
  return agent.load.accepts_flows() && IsHeard(agent, now) &&
         std::find(request.declined.begin(), request.declined.end(),
                   agent.identity.uid) == request.declined.end();
}

/// Returns the median of the failing shares. Fewer than half of the targets can
/// stand out, so that a burst or a fault behind all of them excludes nobody.
uint64_t UsualFailingPermille(AgentDirectory& directory,
                              const PlacementRequest& request,
                              absl::Time now) {
  absl::InlinedVector<uint16_t, kMedianAgents> shares;
  uint16_t largest = 0;
  for (const AgentView& agent : directory.OfService(request.service)) {
    if (!IsCandidate(agent, request, now) || shares.size() == kMedianAgents)
      continue;
    shares.push_back(agent.load.failing_permille);
    largest = std::max(largest, agent.load.failing_permille);
  }
  if (largest <= kToleratedFailingPermille)
    return 0;
  const auto median = shares.begin() + (shares.size() - 1) / 2;
  std::nth_element(shares.begin(), median, shares.end());
  return *median;
}

}  // namespace

absl::Duration AgentReportInterval(size_t entries) {
  return std::min(std::max(kAgentReportInterval, kIntervalPerEntry * entries),
                  kLongestReportInterval);
}

bool IsHeard(const AgentView& agent, absl::Time now) {
  return now - agent.heard < agent.suspect_after &&
         agent.unanswered < kUnansweredUntilSilent;
}

void NoteUnanswered(AgentView& agent, absl::Time sent) {
  if (agent.heard <= sent)
    ++agent.unanswered;
}

AgentNews AgentDirectory::Update(const AgentIdentity& agent,
                                 const AgentLoad& load,
                                 Endpoint endpoint,
                                 absl::Time now) {
  AgentView* known = Find(agent.uid);
  if (known == nullptr) {
    service_of_[agent.uid] = agent.service;
    AgentView view;
    view.identity = agent;
    view.endpoint = endpoint;
    view.load = load;
    view.heard = now;
    agents_[agent.service].push_back(view);
    return AgentNews::kAppeared;
  }
  if (agent.incarnation < known->identity.incarnation)
    return AgentNews::kNone;
  const bool restarted = agent.incarnation != known->identity.incarnation;
  const bool state = load.state != known->load.state;
  if (restarted) {
    known->sequence = 0;
    known->unreported = 0;
  }
  known->identity = agent;
  known->endpoint = endpoint;
  known->load = load;
  known->heard = now;
  known->unanswered = 0;
  if (known->unreported > 0)
    --known->unreported;
  if (restarted)
    return AgentNews::kRestarted;
  return state ? AgentNews::kState : AgentNews::kNone;
}

AgentNews AgentDirectory::UpdateFromReport(const AgentReport& report,
                                           Endpoint endpoint,
                                           absl::Time now) {
  const AgentView* known = Find(report.agent.uid);
  const bool repeated =
      known != nullptr &&
      known->identity.incarnation == report.agent.incarnation &&
      report.sequence <= known->sequence;
  if (repeated)
    return AgentNews::kNone;
  const AgentNews news = Update(report.agent, report.load, endpoint, now);
  AgentView* agent = Find(report.agent.uid);
  if (agent->identity.incarnation == report.agent.incarnation) {
    agent->sequence = report.sequence;
    agent->configuration = report.configuration;
    agent->suspect_after =
        std::max(kAgentSuspectAfter,
                 kMissedReports * absl::Milliseconds(report.interval_ms));
  }
  return news;
}

std::vector<AgentView> AgentDirectory::ForgetSilent(absl::Time now) {
  std::vector<AgentView> forgotten;
  for (auto& [service, agents] : agents_) {
    const auto silent = std::stable_partition(
        agents.begin(), agents.end(), [now](const AgentView& agent) {
          return now - agent.heard < kAgentForgottenAfter;
        });
    for (auto agent = silent; agent != agents.end(); ++agent) {
      service_of_.erase(agent->identity.uid);
      forgotten.push_back(*agent);
    }
    agents.erase(silent, agents.end());
  }
  return forgotten;
}

AgentView* AgentDirectory::Find(InstanceUid uid) {
  const auto service = service_of_.find(uid);
  if (service == service_of_.end())
    return nullptr;
  for (AgentView& agent : agents_[service->second]) {
    if (agent.identity.uid == uid)
      return &agent;
  }
  return nullptr;
}

absl::Span<AgentView> AgentDirectory::OfService(ServiceUid service) {
  const auto agents = agents_.find(service);
  if (agents == agents_.end())
    return {};
  return absl::MakeSpan(agents->second);
}

bool AgentDirectory::IsComplete(ServiceUid service, absl::Time now) {
  const absl::Span<AgentView> agents = OfService(service);
  return std::all_of(agents.begin(), agents.end(), [now](const AgentView& a) {
    return a.load.state == InstanceState::kDown || IsHeard(a, now);
  });
}

absl::optional<Placement> PlaceFlow(AgentDirectory& directory,
                                    const PlacementRequest& request,
                                    absl::Time now) {
  uint64_t fastest_us = kNoLimit;
  const uint64_t usual_failing = UsualFailingPermille(directory, request, now);
  for (const AgentView& agent : directory.OfService(request.service)) {
    if (agent.load.service_time_us != 0 && IsCandidate(agent, request, now))
      fastest_us = std::min<uint64_t>(fastest_us, agent.load.service_time_us);
  }
  const uint64_t tolerated_us = fastest_us * kEqualServiceTimeMilli / 1000;
  Candidate best;
  Candidate second;
  for (AgentView& agent : directory.OfService(request.service)) {
    if (!IsCandidate(agent, request, now) || agent.load.slots == 0)
      continue;
    const uint32_t unreported = Unreported(agent, now);
    Candidate candidate;
    candidate.agent = &agent;
    candidate.wait_us = ExpectedWaitUs(agent.load, unreported);
    candidate.tie =
        StableHash(ToNumber(agent.identity.uid) ^ request.flow_hash, kTieSeed);
    candidate.cost_us = candidate.wait_us;
    if (agent.load.service_time_us > tolerated_us)
      candidate.cost_us += agent.load.service_time_us - fastest_us;
    if (agent.identity.data_centre != request.data_centre)
      candidate.cost_us += kRemoteCostUs;
    const uint64_t failing = agent.load.failing_permille;
    if (failing > usual_failing + kToleratedFailingPermille)
      candidate.cost_us += kFailureCostUs * (failing - usual_failing) / 1000;
    candidate.cost_us += kOccupancyCostUs *
                         (uint64_t{agent.load.busy} + unreported) /
                         agent.load.slots;
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
                kNoLimit - 1, second.cost_us + kDeclineMarginUs));
  return placement;
}

}  // namespace skylarkshunt
