#include "skylarkshunt/flows/agent_core.h"

#include <utility>

#include "flows/agent_core_impl.h"

namespace skylarkshunt {
namespace {

/// Bits of a run number below the uid of the core, which keeps the run numbers
/// of all cores of a process distinct.
constexpr int kRunNumberBits = 32;

}  // namespace

Result<std::unique_ptr<AgentCore>> AgentCore::Create(Options options) {
  return CreateAgentCore(options, AgentLimits{});
}

Result<std::unique_ptr<AgentCore>> CreateAgentCore(AgentCore::Options options,
                                                   AgentLimits limits) {
  if (options.uid == InstanceUid{} || options.incarnation == Incarnation{}) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the agent's uid or incarnation is zero",
                     "create the core after the uid and incarnation are known");
  }
  std::unique_ptr<AgentCore> core =
      std::make_unique<AgentCoreImpl>(options, limits);
  return core;
}

AgentCoreImpl::AgentCoreImpl(const Options& options, AgentLimits limits)
    : options_(options),
      queue_(model_, options.policy.first_come_first_served),
      bindings_(options.uid, options.incarnation),
      ledger_(limits.ledger_entries),
      answers_(limits.answer_bytes),
      next_run_((ToNumber(options.uid) << kRunNumberBits) + 1),
      random_(options.random_seed) {}

void AgentCoreImpl::BeginEvent(absl::Time now) {
  actions_.clear();
  const bool first = now_ == absl::InfinitePast();
  const bool paused = !first && now - now_ > kAgentLease;
  now_ = std::max(now_, now);
  if (paused) {
    ++stats_.lease_lapses;
    TakeIncarnation(Incarnation{ToNumber(incarnation()) + 1});
  }
  RemoveExpired();
  UpdateDrain();
  UpdateSlots();
}

AgentActions AgentCoreImpl::EndEvent() {
  StartQueuedRequests();
  UpdateState();
  UpdateShutdown();
  return std::exchange(actions_, {});
}

void AgentCoreImpl::RemoveExpired() {
  ledger_.RemoveExpired(now_);
  answers_.RemoveExpired(now_);
  flows_.RemoveIdle(now_);
}

AgentActions AgentCoreImpl::OnTick(absl::Time now) {
  BeginEvent(now);
  if (health_.OnTick(now_))
    OnHealthChanged();
  CancelTimedOutRuns();
  return EndEvent();
}

AgentActions AgentCoreImpl::OnConfig(absl::Time now,
                                     Revision revision,
                                     const ServiceConfig& config) {
  BeginEvent(now);
  // A service that is removed and created again under the same name gets a new
  // core.
  if (config.uid != options_.service)
    return EndEvent();
  if (config_.has_value() && revision <= revision_)
    return EndEvent();
  if (!config_.has_value())
    warm_up_start_ = now_;
  config_ = config;
  revision_ = revision;
  service_removed_ = false;
  kinds_.clear();
  for (const KindConfig& kind : config.kinds)
    kinds_.emplace(kind.name, kind);
  model_.Configure(config.kinds);
  flows_.SetCapacity(config.connections);
  UpdateDrain();
  UpdateSlots();
  RecordDecision(Decision::kConfigApplied, {}, {});
  return EndEvent();
}

AgentActions AgentCoreImpl::OnServiceRemoved(absl::Time now,
                                             Revision revision) {
  BeginEvent(now);
  if (revision <= revision_)
    return EndEvent();
  revision_ = revision;
  service_removed_ = true;
  UpdateDrain();
  return EndEvent();
}

AgentActions AgentCoreImpl::OnForward(absl::Time now, const Forward& forward) {
  BeginEvent(now);
  if (const auto* request = std::get_if<Request>(&forward.message))
    OnRequest(forward, *request);
  else if (const auto* fetch = std::get_if<Fetch>(&forward.message))
    OnFetch(forward, *fetch);
  else if (const auto* done = std::get_if<Done>(&forward.message))
    OnDone(forward, *done);
  else if (const auto* close = std::get_if<Close>(&forward.message))
    OnClose(forward, *close);
  return EndEvent();
}

const KindConfig* AgentCoreImpl::FindKind(absl::string_view name) const {
  const auto found = kinds_.find(name);
  return found == kinds_.end() ? nullptr : &found->second;
}

void AgentCoreImpl::RecordDecision(Decision kind,
                                   const RequestId& id,
                                   FlowKey flow,
                                   Reason reason,
                                   InstanceUid other) {
  actions_.push_back(AgentDecision{kind, id, flow, reason, other, Load()});
}

std::vector<OpenFlow> AgentCoreImpl::Flows(size_t limit) const {
  return flows_.MostRecent(now_, limit);
}

AgentStats AgentCoreImpl::Stats() const {
  AgentStats stats = stats_;
  stats.flows = flows_.size();
  stats.running = queue_.running();
  stats.queued = queue_.queued();
  stats.ledger_entries = ledger_.size();
  stats.retained_answer_bytes = answers_.bytes();
  stats.effective_slots = queue_.slots();
  return stats;
}

}  // namespace skylarkshunt
