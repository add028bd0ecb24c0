#include "decision_log.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "decision_fields.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

constexpr EventId kFlowPlaced{2101, "flow_placed"};
constexpr EventId kFlowPlacedAgain{2102, "flow_placed_again"};
constexpr EventId kFlowRefused{2103, "flow_refused"};
constexpr EventId kOpeningDeferred{2104, "opening_held_back"};
constexpr EventId kFlowSearched{2105, "flow_searched"};
constexpr EventId kFlowFound{2106, "flow_found"};
constexpr EventId kFlowReset{2107, "flow_cut"};
constexpr EventId kFlowAccepted{3151, "flow_accepted_at_target"};
constexpr EventId kPacketReturned{3152, "packet_given_back"};
constexpr EventId kFlowAnswered{3153, "flow_answered"};
constexpr EventId kFlowHeldTwice{2115, "flow_held_twice"};
constexpr EventId kDecisionsOmitted{2108, "decisions_left_out"};

struct KindInfo {
  EventId event;
  /// Limit of log lines per second. It is high enough for one line per flow at
  /// an entry and at an agent under normal load, and keeps a flood of packets
  /// from flooding the log.
  uint32_t lines_per_second;
};

/// In the order of DecisionKind.
constexpr std::array<KindInfo, kDecisionKinds> kKinds = {{
    {kFlowPlaced, 150},
    {kFlowPlacedAgain, 50},
    {kFlowRefused, 200},
    {kOpeningDeferred, 20},
    {kFlowSearched, 50},
    {kFlowFound, 50},
    {kFlowReset, 200},
    {kFlowAccepted, 150},
    {kPacketReturned, 50},
    {kFlowAnswered, 150},
    {kFlowHeldTwice, 20},
}};

/// Attempts of a client at a request, with 0 for an unknown one.
constexpr size_t kAttemptNumbers = kMaxAttempts + 1;

constexpr char kFirstByteHelp[] =
    "Time from a request to the first packet of its answer, at the agent.";

}  // namespace

absl::string_view DecisionName(DecisionKind kind) {
  return kKinds[static_cast<size_t>(kind)].event.name;
}

DecisionLog::DecisionLog(CounterRegistry& counters, DecisionHistory& history)
    : history_(history),
      counters_(counters),
      first_byte_{{{counters, "skylarkshunt_first_byte", kFirstByteHelp,
                    "kind=\"idempotent\""},
                   {counters, "skylarkshunt_first_byte", kFirstByteHelp,
                    "kind=\"non_idempotent\""},
                   {counters, "skylarkshunt_first_byte", kFirstByteHelp,
                    "kind=\"download\""}}},
      view_age_(counters,
                "skylarkshunt_view_age",
                "Age of the load report behind a placement.",
                ""),
      placement_wait_(counters,
                      "skylarkshunt_placement_wait",
                      "Expected wait for a slot of a placement.",
                      ""),
      refusal_wait_(counters,
                    "skylarkshunt_refusal_wait",
                    "Time from an opening packet to its refusal, at the agent.",
                    "") {
  for (size_t i = 0; i < kAttemptNumbers; ++i) {
    attempts_[i] = &counters.Find(
        "skylarkshunt_placed_attempts_total",
        "Placed flows by probable attempt of the client at its request.",
        MetricType::kCounter, absl::StrCat("attempt=\"", i, "\""));
  }
  for (size_t i = 0; i < kDecisionKinds; ++i) {
    kinds_[i].total =
        &counters.Find("skylarkshunt_decisions_total",
                       "Decisions about flows by kind.", MetricType::kCounter,
                       absl::StrCat("kind=\"", kKinds[i].event.name, "\""));
  }
}

void DecisionLog::Record(absl::Time now, const Decision& decision) {
  Kind& kind = kinds_[static_cast<size_t>(decision.kind)];
  const KindInfo& info = kKinds[static_cast<size_t>(decision.kind)];
  kind.total->Increment();
  Count(decision);
  history_.Add(now, decision);
  if (now - second_ >= absl::Seconds(1))
    ReportOmitted(now);
  if (kind.logged >= info.lines_per_second) {
    ++kind.omitted;
    return;
  }
  ++kind.logged;
  LogLine line(info.event);
  line.Field("flow", decision.flow.ToString())
      .Field("reason", decision.reason)
      .Field("agent", ToHex(ToNumber(decision.agent)))
      .Field("busy", decision.busy)
      .Field("slots", decision.slots)
      .Field("time_us", absl::ToInt64Microseconds(decision.time))
      .Field("view_age_ms", absl::ToInt64Milliseconds(decision.view_age))
      .Field("hops", decision.hops)
      .Field("configuration", decision.configuration)
      .Field("waited_ms", absl::ToInt64Milliseconds(decision.waited))
      .Field("attempt", uint32_t{decision.attempt});
  WriteEvidence(decision, [&line](const char* name, const auto& value) {
    line.Field(name, value);
  });
}

void DecisionLog::Count(const Decision& decision) {
  switch (decision.kind) {
    case DecisionKind::kAnswered:
      first_byte_[static_cast<size_t>(decision.request_kind)].Record(
          decision.time);
      return;
    case DecisionKind::kPlaced:
      attempts_[std::min<size_t>(decision.attempt, kAttemptNumbers - 1)]
          ->Increment();
      view_age_.Record(decision.view_age);
      placement_wait_.Record(decision.time);
      return;
    case DecisionKind::kPlacedAgain:
      view_age_.Record(decision.view_age);
      placement_wait_.Record(decision.time);
      return;
    case DecisionKind::kReturned:
      if (decision.waited > absl::ZeroDuration())
        refusal_wait_.Record(decision.waited);
      RefusalCounter(decision).Increment();
      return;
    case DecisionKind::kRefused:
    case DecisionKind::kDeferred:
    case DecisionKind::kFlowReset:
      RefusalCounter(decision).Increment();
      return;
    default:
      return;
  }
}

Counter& DecisionLog::RefusalCounter(const Decision& decision) {
  Counter*& counter = refusals_[{decision.kind, decision.reason}];
  if (counter == nullptr) {
    counter = &counters_.Find(
        "skylarkshunt_refusals_total",
        "Flows refused, held back, cut or given back, by reason.",
        MetricType::kCounter,
        absl::StrCat("decision=\"", DecisionName(decision.kind), "\",reason=\"",
                     decision.reason, "\""));
  }
  return *counter;
}

void DecisionLog::ReportOmitted(absl::Time now) {
  second_ = now;
  for (size_t i = 0; i < kDecisionKinds; ++i) {
    Kind& kind = kinds_[i];
    if (kind.omitted > 0) {
      LogLine(kDecisionsOmitted)
          .Field("event", kKinds[i].event.name)
          .Field("count", kind.omitted)
          .Field("limit_per_second", kKinds[i].lines_per_second);
    }
    kind.logged = 0;
    kind.omitted = 0;
  }
}

}  // namespace skylarkshunt
