#include "report.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace skylarkshunt {
namespace {

using nlohmann::json;

json ToJson(const Figures& f) {
  json kinds = json::array();
  for (const KindFigures& kind : f.kinds)
    kinds.push_back({{"kind", kind.kind},
                     {"requests", kind.requests},
                     {"in_time", kind.in_time},
                     {"waiting_p50_ms", kind.waiting_p50_ms},
                     {"waiting_p99_ms", kind.waiting_p99_ms},
                     {"waiting_p999_ms", kind.waiting_p999_ms}});
  return {{"requests", f.requests},
          {"flows", f.flows},
          {"broken_flows", f.broken_flows},
          {"imbalance", f.imbalance},
          {"in_time_share", f.in_time_share},
          {"in_time_weighted", f.in_time_weighted},
          {"goodput_capacity", f.goodput_capacity},
          {"goodput_crest", f.goodput_crest},
          {"crest_short_p99_ms", f.crest_short_p99_ms},
          {"crest_short_in_time", f.crest_short_in_time},
          {"short_slowdown_p99", f.short_slowdown_p99},
          {"doubled", f.doubled},
          {"lost", f.lost},
          {"falsely_refused", f.falsely_refused},
          {"wrong_answers", f.wrong_answers},
          {"no_word", f.no_word},
          {"drain_settle_ms", f.drain_settle_ms},
          {"refusals", f.refusals},
          {"kinds", kinds}};
}

std::string SideTable(const SideFigures& side) {
  const Figures& f = side.figures;
  std::string text = absl::StrFormat(
      "%s: %d requests on %.0f flows, %.1f%% in time (%.1f%% by weight)\n",
      side.side, f.requests, f.flows, 100 * f.in_time_share,
      100 * f.in_time_weighted);
  absl::StrAppendFormat(
      &text,
      "  broken flows %.0f  imbalance %.3f  doubled %.0f  lost %.0f  "
      "falsely refused %.0f  wrong answers %.0f  no word %.0f\n",
      f.broken_flows, f.imbalance, f.doubled, f.lost, f.falsely_refused,
      f.wrong_answers, f.no_word);
  absl::StrAppendFormat(
      &text,
      "  goodput per s: capacity %.1f, crest %.1f; short kinds: crest p99 "
      "%.1f ms (%.1f%% in time), slowdown p99 %.2f; drain settled in %.0f ms\n",
      f.goodput_capacity, f.goodput_crest, f.crest_short_p99_ms,
      100 * f.crest_short_in_time, f.short_slowdown_p99, f.drain_settle_ms);
  for (const KindFigures& k : f.kinds)
    absl::StrAppendFormat(&text,
                          "  %-18s %5d requests  %5d in time  waiting ms p50 "
                          "%.1f  p99 %.1f  p99.9 %.1f\n",
                          k.kind, k.requests, k.in_time, k.waiting_p50_ms,
                          k.waiting_p99_ms, k.waiting_p999_ms);
  for (const auto& [reason, count] : f.refusals)
    absl::StrAppendFormat(&text, "  refused: %-18s %d\n", reason, count);
  return text;
}

}  // namespace

std::string WriteTable(const std::vector<SideFigures>& sides,
                       const std::vector<AimResult>& aims) {
  std::string text;
  for (const SideFigures& side : sides)
    text += SideTable(side);
  for (const AimResult& result : aims) {
    const std::string figure = result.figure.has_value()
                                   ? absl::StrFormat("%.3f", *result.figure)
                                   : std::string("not measured");
    absl::StrAppendFormat(
        &text, "%s %s %s %g: %s\n", result.met ? "MET    " : "NOT MET",
        result.aim.measure, result.aim.at_most ? "at most" : "at least",
        result.aim.bound, figure);
  }
  return text;
}

std::string WriteJson(const std::vector<SideFigures>& sides,
                      const std::vector<AimResult>& aims) {
  json report = {{"sides", json::array()}, {"aims", json::array()}};
  for (const SideFigures& side : sides) {
    json entry = {{"side", side.side}, {"figures", ToJson(side.figures)}};
    if (side.without.has_value())
      entry["without_kinds"] = ToJson(*side.without);
    report["sides"].push_back(std::move(entry));
  }
  for (const AimResult& result : aims)
    report["aims"].push_back(
        {{"measure", result.aim.measure},
         {result.aim.at_most ? "at_most" : "at_least", result.aim.bound},
         {"figure", result.figure ? json(*result.figure) : json(nullptr)},
         {"met", result.met}});
  return report.dump(2) + "\n";
}

}  // namespace skylarkshunt
