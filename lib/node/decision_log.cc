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
constexpr EventId kFlowUnanswered{3154, "flow_unanswered"};
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
    {kFlowUnanswered, 50},
}};

}  // namespace

DecisionLog::DecisionLog(CounterRegistry& counters) {
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
