#include "outcomes.h"

#include <algorithm>
#include <array>
#include <cassert>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr size_t kMaxKinds = 64;
constexpr size_t kMaxAims = 64;
constexpr double kMaxBound = 1e9;

struct NamedFigure {
  absl::string_view name;
  double Figures::*figure;
};
constexpr std::array<NamedFigure, 6> kPlainFigures = {{
    {"broken_flows", &Figures::broken_flows},
    {"imbalance", &Figures::imbalance},
    {"doubled", &Figures::doubled},
    {"lost", &Figures::lost},
    {"falsely_refused", &Figures::falsely_refused},
    {"wrong_answers", &Figures::wrong_answers},
}};
constexpr std::array<absl::string_view, 9> kMeasures = {
    "broken_flows",  "imbalance",       "doubled",
    "lost",          "falsely_refused", "wrong_answers",
    "goodput_ratio", "slowdown_ratio",  "crest_advantage"};

absl::optional<double> Ratio(double a, double b) {
  if (a <= 0 || b <= 0)
    return absl::nullopt;
  return a / b;
}

/// Differs from the product only in retries after a lost connection. In a trace
/// without one it is the product itself, and no baseline of waiting time.
constexpr absl::string_view kNoWaitingBaseline = "no_retry_budget";

/// The best baseline's p99 waiting of short kinds at the crest over ours.
absl::optional<double> CrestAdvantage(const std::vector<SideFigures>& sides) {
  double best = 0;
  for (size_t i = 1; i < sides.size(); ++i) {
    if (sides[i].side == kNoWaitingBaseline)
      continue;
    const double p99 = sides[i].figures.crest_short_p99_ms;
    if (p99 > 0 && (best <= 0 || p99 < best))
      best = p99;
  }
  return Ratio(best, sides.front().figures.crest_short_p99_ms);
}

absl::optional<double> FigureOf(absl::string_view measure,
                                const std::vector<SideFigures>& sides) {
  const SideFigures& first = sides.front();
  for (const NamedFigure& named : kPlainFigures) {
    if (named.name == measure)
      return first.figures.*named.figure;
  }
  if (measure == "goodput_ratio")
    return Ratio(first.figures.goodput_crest, first.figures.goodput_capacity);
  if (measure == "crest_advantage")
    return CrestAdvantage(sides);
  if (!first.without.has_value())
    return absl::nullopt;
  return Ratio(first.figures.short_slowdown_p99,
               first.without->short_slowdown_p99);
}

Aim ReadAim(JsonObjectReader& reader) {
  Aim aim;
  aim.measure = std::string(kMeasures[reader.Choice("measure", kMeasures)]);
  aim.at_most = reader.Has("at_most");
  aim.bound = reader.Number(aim.at_most ? "at_most" : "at_least", 0, kMaxBound);
  return aim;
}

}  // namespace

Result<Outcomes> ParseOutcomes(absl::string_view text, absl::string_view file) {
  constexpr ErrorKind kKind = ErrorKind::kInvalidArgument;
  BOOST_OUTCOME_TRY(json, ParseJsonObject(text, file, kKind));
  JsonObjectReader reader(json, file, "", kKind);
  Outcomes outcomes;
  outcomes.short_kinds = reader.Names("short_kinds", kMaxKinds);
  const nlohmann::json& aims = reader.Array("aims", kMaxAims);
  for (size_t i = 0; i < aims.size(); ++i) {
    const std::string path = absl::StrCat("aims[", i, "]");
    if (!aims[i].is_object()) {
      reader.Fail(path, "no object", "give measure and at_most or at_least");
      break;
    }
    JsonObjectReader aim(aims[i], file, path, kKind);
    outcomes.aims.push_back(ReadAim(aim));
    BOOST_OUTCOME_TRY(aim.Finish());
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return outcomes;
}

std::vector<AimResult> HoldAgainst(const Outcomes& outcomes,
                                   const std::vector<SideFigures>& sides) {
  assert(!sides.empty() && "at least one side is held against the aims");
  std::vector<AimResult> results;
  for (const Aim& aim : outcomes.aims) {
    AimResult result;
    result.aim = aim;
    result.figure = FigureOf(aim.measure, sides);
    if (result.figure.has_value())
      result.met = aim.at_most ? *result.figure <= aim.bound
                               : *result.figure >= aim.bound;
    results.push_back(std::move(result));
  }
  return results;
}

}  // namespace skylarkshunt
