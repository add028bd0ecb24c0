#include <algorithm>
#include <utility>
#include <vector>

#include "flows/agent_core_impl.h"

namespace skylarkshunt {
namespace {

/// Load in thousandths of a slot.
constexpr size_t kLoadPerSlot = 1000;

}  // namespace

AgentActions AgentCoreImpl::OnNewIncarnation(absl::Time now,
                                             Incarnation incarnation) {
  BeginEvent(now);
  if (incarnation > bindings_.incarnation())
    TakeIncarnation(incarnation);
  return EndEvent();
}

// Queued requests belong to the former incarnation and never run. Running
// requests continue, and their results stay in the ledger.
void AgentCoreImpl::TakeIncarnation(Incarnation incarnation) {
  bindings_.TakeIncarnation(incarnation);
  actions_.push_back(StateChanged{announced_, incarnation});
  RecordDecision(Decision::kLeaseLapsed, {}, {}, Reason::kLeaseLapsed);
  for (const RequestId& id : queue_.TakeAll())
    RefuseActive(*TakeActive(id), Reason::kLeaseLapsed);
}

AgentActions AgentCoreImpl::OnDrainOrder(absl::Time now, bool drain) {
  BeginEvent(now);
  drain_ordered_ = drain;
  UpdateDrain();
  return EndEvent();
}

AgentActions AgentCoreImpl::BeginShutdown(absl::Time now) {
  BeginEvent(now);
  shutting_down_ = true;
  UpdateDrain();
  return EndEvent();
}

bool AgentCoreImpl::draining() const {
  return drain_ordered_ || service_removed_ || shutting_down_;
}

bool AgentCoreImpl::drain_limit_passed() const {
  return draining() && drain_limit_passed_;
}

void AgentCoreImpl::UpdateDrain() {
  if (!draining()) {
    if (drain_began_ != absl::InfiniteFuture())
      RecordDecision(Decision::kDrainEnded, {}, {});
    drain_began_ = absl::InfiniteFuture();
    drain_limit_passed_ = false;
    return;
  }
  if (drain_began_ == absl::InfiniteFuture()) {
    drain_began_ = now_;
    RecordDecision(Decision::kDrainBegan, {}, {}, Reason::kDraining);
  }
  const absl::Duration limit =
      config_.has_value() ? config_->drain_limit : absl::ZeroDuration();
  if (!drain_limit_passed_ && now_ >= drain_began_ + limit)
    OnDrainLimitPassed();
}

void AgentCoreImpl::OnDrainLimitPassed() {
  drain_limit_passed_ = true;
  bindings_.RevokeAll(now_);
  RecordDecision(Decision::kBindingsRevoked, {}, {}, Reason::kDraining);
  for (const RequestId& id : queue_.TakeAll()) {
    const std::unique_ptr<ActiveRequest> active = TakeActive(id);
    if (active->idempotent)
      MoveOrRefuse(*active, Reason::kDraining);
    else
      RefuseActive(*active, Reason::kRebind);
  }
}

void AgentCoreImpl::UpdateSlots() {
  if (!config_.has_value())
    return;
  size_t slots = std::max<size_t>(config_->slots, 1);
  if (config_->warm_up_step > absl::ZeroDuration()) {
    const int64_t steps = (now_ - warm_up_start_) / config_->warm_up_step;
    slots = std::min(slots, static_cast<size_t>(steps) + 1);
  }
  if (health_.state() == TargetHealth::State::kProbing)
    slots = 1;
  queue_.SetSlots(slots);
}

void AgentCoreImpl::UpdateState() {
  InstanceState state = InstanceState::kServing;
  if (shutdown_complete_)
    state = InstanceState::kLeaving;
  else if (draining())
    state = InstanceState::kDraining;
  else if (health_.state() == TargetHealth::State::kEjected)
    state = InstanceState::kEjected;
  if (state == announced_)
    return;
  announced_ = state;
  actions_.push_back(StateChanged{state, incarnation()});
}

void AgentCoreImpl::UpdateShutdown() {
  if (!shutting_down_ || shutdown_complete_)
    return;
  if (flows_.size() > 0 && !drain_limit_passed())
    return;
  if (!active_.empty() || answers_.newest() + kShutdownAnswerRetention > now_)
    return;
  shutdown_complete_ = true;
  UpdateState();
  actions_.push_back(ShutdownComplete{});
}

AgentActions AgentCoreImpl::OnHealthHint(absl::Time now, bool healthy) {
  BeginEvent(now);
  health_.OnHint(now_, healthy);
  return EndEvent();
}

void AgentCoreImpl::RecordResult(bool succeeded) {
  if (health_.OnResult(now_, succeeded))
    OnHealthChanged();
}

void AgentCoreImpl::OnHealthChanged() {
  switch (health_.state()) {
    case TargetHealth::State::kEjected:
      RecordDecision(Decision::kEjected, {}, {}, Reason::kTargetUnreachable);
      for (const RequestId& id : queue_.TakeAll())
        MoveOrRefuse(*TakeActive(id), Reason::kTargetUnreachable);
      break;
    case TargetHealth::State::kProbing:
      break;
    case TargetHealth::State::kHealthy:
      // A target that failed has usually restarted and needs a new warm-up.
      warm_up_start_ = now_;
      RecordDecision(Decision::kRestored, {}, {});
      break;
  }
  UpdateSlots();
}

bool AgentCoreImpl::TakesNewFlows() const {
  return config_.has_value() && !draining() && !flows_.full() &&
         health_.state() != TargetHealth::State::kEjected;
}

uint16_t AgentCoreImpl::Load() const {
  if (!TakesNewFlows())
    return kLoadFull;
  const size_t load =
      (queue_.running() + queue_.queued()) * kLoadPerSlot / queue_.slots();
  return static_cast<uint16_t>(std::min<size_t>(load, kLoadFull - 1));
}

}  // namespace skylarkshunt
