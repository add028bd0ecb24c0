#include "decision_log.h"

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

constexpr EventId kFlowPlaced{2101, "flow_placed"};
constexpr EventId kFlowPlacedAgain{2102, "flow_placed_again"};
constexpr EventId kFlowRefused{2103, "flow_refused"};
constexpr EventId kOpeningHeldBack{2104, "opening_held_back"};
constexpr EventId kFlowSearched{2105, "flow_searched"};
constexpr EventId kFlowFound{2106, "flow_found"};
constexpr EventId kFlowCut{2107, "flow_cut"};
constexpr EventId kFlowAccepted{3151, "flow_accepted_at_target"};
constexpr EventId kPacketGivenBack{3152, "packet_given_back"};
constexpr EventId kFlowAnswered{3153, "flow_answered"};
constexpr EventId kDecisionsLeftOut{2108, "decisions_left_out"};

struct KindInfo {
  EventId event;
  /// Lines a second: each flow of the standard days gets its line at an entry
  /// and at an agent, and a flood of packets does not become one of lines.
  uint32_t lines_per_second;
};

/// In the order of DecisionKind.
constexpr std::array<KindInfo, kDecisionKinds> kKinds = {{
    {kFlowPlaced, 150},
    {kFlowPlacedAgain, 50},
    {kFlowRefused, 200},
    {kOpeningHeldBack, 20},
    {kFlowSearched, 50},
    {kFlowFound, 50},
    {kFlowCut, 200},
    {kFlowAccepted, 150},
    {kPacketGivenBack, 50},
    {kFlowAnswered, 150},
}};

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
                      "") {
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
    ReportLeftOut(now);
  if (kind.logged >= info.lines_per_second) {
    ++kind.left_out;
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
      .Field("configuration", decision.configuration);
}

void DecisionLog::Count(const Decision& decision) {
  switch (decision.kind) {
    case DecisionKind::kAnswered:
      first_byte_[static_cast<size_t>(decision.request_kind)].Record(
          decision.time);
      return;
    case DecisionKind::kPlaced:
    case DecisionKind::kPlacedAgain:
      view_age_.Record(decision.view_age);
      placement_wait_.Record(decision.time);
      return;
    case DecisionKind::kRefused:
    case DecisionKind::kCut:
    case DecisionKind::kReturned:
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
        "Flows refused, cut or given back, by reason.", MetricType::kCounter,
        absl::StrCat("decision=\"", DecisionName(decision.kind), "\",reason=\"",
                     decision.reason, "\""));
  }
  return *counter;
}

void DecisionLog::ReportLeftOut(absl::Time now) {
  second_ = now;
  for (size_t i = 0; i < kDecisionKinds; ++i) {
    Kind& kind = kinds_[i];
    if (kind.left_out > 0) {
      LogLine(kDecisionsLeftOut)
          .Field("event", kKinds[i].event.name)
          .Field("count", kind.left_out)
          .Field("limit_per_second", kKinds[i].lines_per_second);
    }
    kind.logged = 0;
    kind.left_out = 0;
  }
}

}  // namespace skylarkshunt
