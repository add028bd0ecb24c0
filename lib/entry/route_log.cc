#include "route_log.h"

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

constexpr EventId kRouted{2001, "routed"};
constexpr EventId kRefused{2002, "route_refused"};

absl::string_view KindName(RouteKind kind) {
  switch (kind) {
    case RouteKind::kBound:
      return "bound";
    case RouteKind::kOpening:
      return "opening";
    case RouteKind::kUnbound:
      return "unbound";
    case RouteKind::kUnknownBound:
      return "unknown_bound";
    case RouteKind::kMoved:
      return "moved";
    case RouteKind::kRefused:
      return "refused";
    case RouteKind::kDropped:
      return "dropped";
  }
  return "unknown";
}

}  // namespace

RouteLog::RouteLog(CounterRegistry& counters, uint32_t established_rate)
    : not_logged_(counters.Find("skylarkshunt_route_logs_dropped_total",
                                "Routing decisions beyond the log limit.")),
      rate_(established_rate),
      second_(absl::InfinitePast()) {
  for (size_t i = 0; i < kKinds; ++i) {
    by_kind_[i] = &counters.Find(
        "skylarkshunt_routed_total", "Messages of callers by kind of route.",
        MetricType::kCounter,
        absl::StrCat("kind=\"", KindName(static_cast<RouteKind>(i)), "\""));
  }
  for (size_t i = 0; i < kReasons; ++i) {
    refused_[i] = &counters.Find(
        "skylarkshunt_route_refused_total",
        "Messages that the entry refused, by reason.", MetricType::kCounter,
        absl::StrCat("reason=\"", ReasonName(static_cast<Reason>(i)), "\""));
  }
}

void RouteLog::Record(absl::Time now, const RouteDecision& decision) {
  by_kind_[static_cast<size_t>(decision.kind)]->Increment();
  const bool refused = decision.kind == RouteKind::kRefused;
  if (refused)
    refused_[static_cast<size_t>(decision.reason)]->Increment();
  if (!Sampled(decision.kind))
    return;
  if (!WithinLimit(now)) {
    not_logged_.Increment();
    return;
  }
  LogLine(refused ? kRefused : kRouted)
      .Field("kind", KindName(decision.kind))
      .Field("flow", ToHex(ToNumber(decision.flow)))
      .Field("request", ToHex(decision.request_id))
      .Field("target", ToHex(ToNumber(decision.target)))
      .Field("reason", ReasonName(decision.reason));
}

bool RouteLog::Sampled(RouteKind kind) {
  const bool established = kind == RouteKind::kBound ||
                           kind == RouteKind::kUnbound ||
                           kind == RouteKind::kDropped;
  if (!established)
    return true;
  const uint32_t rate = rate_.load(std::memory_order_relaxed);
  return rate != 0 && ++established_ % rate == 0;
}

bool RouteLog::WithinLimit(absl::Time now) {
  if (now - second_ >= absl::Seconds(1)) {
    second_ = now;
    logged_ = 0;
  }
  return ++logged_ <= kMaxRouteLogsPerSecond;
}

}  // namespace skylarkshunt
