#include "skylarkshunt/edge/messages.h"

namespace skylarkshunt {

absl::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "ok";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kBind:
      return "bind";
    case Outcome::kOutcomeUnknown:
      return "outcome_unknown";
    case Outcome::kAnswerGone:
      return "answer_gone";
    case Outcome::kTargetError:
      return "target_error";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kPending:
      return "pending";
  }
  return "invalid";
}

absl::string_view ReasonName(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kDraining:
      return "draining";
    case Reason::kRebind:
      return "rebind";
    case Reason::kFlowUnknown:
      return "flow_unknown";
    case Reason::kUnknownService:
      return "unknown_service";
    case Reason::kUnknownKind:
      return "unknown_kind";
    case Reason::kNoTarget:
      return "no_target";
    case Reason::kTargetUnreachable:
      return "target_unreachable";
    case Reason::kWrongInstance:
      return "wrong_instance";
    case Reason::kExpiredBinding:
      return "expired_binding";
    case Reason::kLeaseLapsed:
      return "lease_lapsed";
    case Reason::kLedgerFull:
      return "ledger_full";
    case Reason::kConnectionLost:
      return "connection_lost";
    case Reason::kShuttingDown:
      return "shutting_down";
    case Reason::kFlowLimit:
      return "flow_limit";
  }
  return "invalid";
}

bool IsRefusalBinding(const Binding& binding) {
  return binding.issued_ms == kRefusalIssuedMs;
}

Binding MakeRefusalBinding(InstanceUid uid, Incarnation incarnation) {
  return Binding{uid, incarnation, kRefusalIssuedMs};
}

}  // namespace skylarkshunt
