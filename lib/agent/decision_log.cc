#include "decision_log.h"

#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

using Kind = AgentDecision::Kind;

constexpr EventId kFlowAccepted{3001, "flow_accepted"};
constexpr EventId kRequestQueued{3002, "request_queued"};
constexpr EventId kRequestStarted{3003, "request_started"};
constexpr EventId kRequestRefused{3004, "request_refused"};
constexpr EventId kPassedOn{3005, "passed_on"};
constexpr EventId kTransferred{3006, "transferred"};
constexpr EventId kBindingIssued{3007, "binding_issued"};
constexpr EventId kRepeatIgnored{3008, "repeat_ignored"};
constexpr EventId kOutcomeUnknown{3009, "outcome_unknown"};
constexpr EventId kLeaseLapsed{3010, "lease_lapsed"};
constexpr EventId kEjected{3011, "target_ejected"};
constexpr EventId kRestored{3012, "target_restored"};
constexpr EventId kBindingsRevoked{3013, "bindings_revoked"};
constexpr EventId kDrainBegan{3014, "drain_began"};
constexpr EventId kDrainEnded{3015, "drain_ended"};
constexpr EventId kConfigInForce{3016, "config_in_force"};

EventId EventOf(Kind kind) {
  switch (kind) {
    case Kind::kFlowAccepted:
      return kFlowAccepted;
    case Kind::kRequestQueued:
      return kRequestQueued;
    case Kind::kRequestStarted:
      return kRequestStarted;
    case Kind::kRequestRefused:
      return kRequestRefused;
    case Kind::kForwarded:
      return kPassedOn;
    case Kind::kTransferred:
      return kTransferred;
    case Kind::kBindingIssued:
      return kBindingIssued;
    case Kind::kRetransmissionIgnored:
      return kRepeatIgnored;
    case Kind::kOutcomeUnknown:
      return kOutcomeUnknown;
    case Kind::kLeaseLapsed:
      return kLeaseLapsed;
    case Kind::kEjected:
      return kEjected;
    case Kind::kRestored:
      return kRestored;
    case Kind::kBindingsRevoked:
      return kBindingsRevoked;
    case Kind::kDrainBegan:
      return kDrainBegan;
    case Kind::kDrainEnded:
      return kDrainEnded;
    case Kind::kConfigApplied:
      return kConfigInForce;
  }
  return kConfigInForce;
}

}  // namespace

DecisionLog::DecisionLog(CounterRegistry& counters, uint32_t established_rate)
    : not_logged_(counters.Find("skylarkshunt_decision_logs_dropped_total",
                                "Decisions beyond the log limit.")),
      rate_(established_rate) {}

void DecisionLog::Record(absl::Time now, const AgentDecision& decision) {
  if (!Sampled(decision.kind))
    return;
  if (!WithinLimit(now)) {
    not_logged_.Increment();
    return;
  }
  LogLine(EventOf(decision.kind))
      .Field("request", ToHex(decision.request_id))
      .Field("flow", ToHex(ToNumber(decision.flow)))
      .Field("reason", ReasonName(decision.reason))
      .Field("other", ToHex(ToNumber(decision.other)))
      .Field("load", decision.load);
}

bool DecisionLog::Sampled(Kind kind) {
  const bool step = kind == Kind::kRequestQueued ||
                    kind == Kind::kRequestStarted ||
                    kind == Kind::kRetransmissionIgnored;
  if (!step)
    return true;
  const uint32_t rate = rate_.load(std::memory_order_relaxed);
  return rate != 0 && ++established_ % rate == 0;
}

bool DecisionLog::WithinLimit(absl::Time now) {
  if (now - second_ >= absl::Seconds(1)) {
    second_ = now;
    logged_ = 0;
  }
  return ++logged_ <= kMaxDecisionLogsPerSecond;
}

}  // namespace skylarkshunt
