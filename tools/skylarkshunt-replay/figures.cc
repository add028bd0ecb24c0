#include "figures.h"

#include <algorithm>
#include <numeric>

namespace skylarkshunt {
namespace {

constexpr double kUsPerMs = 1000;
/// Slowdowns are recorded in thousandths.
constexpr double kSlowdownUnit = 1000;
/// Shorter runs count as this long in slowdowns.
constexpr absl::Duration kShortestRun = absl::Milliseconds(1);

uint64_t WaitingUs(const RequestRecord& r) {
  const absl::Duration waiting = r.ended_at - r.started - r.run_time;
  return static_cast<uint64_t>(
      std::max<int64_t>(0, absl::ToInt64Microseconds(waiting)));
}

double Ms(const Histogram& histogram, double quantile) {
  return static_cast<double>(histogram.ValueAtQuantile(quantile)) / kUsPerMs;
}

bool InTime(const RequestRecord& r) {
  return r.ok && r.ended_at - r.started <= r.deadline;
}

KindFigures FiguresOfKind(const RunRecord& run, const std::string& kind) {
  KindFigures figures;
  figures.kind = kind;
  Histogram waiting;
  for (const RequestRecord& r : run.requests) {
    if (r.kind != kind)
      continue;
    ++figures.requests;
    if (!r.ok)
      continue;
    figures.in_time += InTime(r) ? 1 : 0;
    waiting.Record(WaitingUs(r));
  }
  figures.waiting_p50_ms = Ms(waiting, 0.5);
  figures.waiting_p99_ms = Ms(waiting, 0.99);
  figures.waiting_p999_ms = Ms(waiting, 0.999);
  return figures;
}

// Completions count in the phase in which they happen, because a backlog built
// in one phase is served in the next.
double Goodput(const RunRecord& run, const std::string& phase) {
  double seconds = 0;
  double weight = 0;
  for (const RunRecord::Span& span : run.spans) {
    if (span.phase != phase)
      continue;
    seconds += absl::ToDoubleSeconds(span.to - span.from);
    for (const RequestRecord& r : run.requests) {
      if (InTime(r) && r.ended_at >= span.from && r.ended_at < span.to)
        weight += r.weight;
    }
  }
  return seconds > 0 ? weight / seconds : 0;
}

void AddShortKinds(const RunRecord& run,
                   const std::vector<std::string>& short_kinds,
                   Figures& figures) {
  Histogram crest;
  Histogram slowdown;
  double crest_requests = 0;
  double crest_in_time = 0;
  for (const RequestRecord& r : run.requests) {
    if (std::count(short_kinds.begin(), short_kinds.end(), r.kind) == 0)
      continue;
    const bool at_crest = r.phase == "crest";
    crest_requests += at_crest ? 1 : 0;
    if (!r.ok)
      continue;
    crest_in_time += at_crest && InTime(r) ? 1 : 0;
    if (at_crest)
      crest.Record(WaitingUs(r));
    slowdown.Record(static_cast<uint64_t>(
        kSlowdownUnit *
        absl::FDivDuration(r.ended_at - r.started,
                           std::max(r.run_time, kShortestRun))));
  }
  figures.crest_short_p99_ms = Ms(crest, 0.99);
  figures.crest_short_in_time =
      crest_requests > 0 ? crest_in_time / crest_requests : 0;
  figures.short_slowdown_p99 =
      static_cast<double>(slowdown.ValueAtQuantile(0.99)) / kSlowdownUnit;
}

double Imbalance(const std::vector<double>& seconds) {
  const double sum = std::accumulate(seconds.begin(), seconds.end(), 0.0);
  if (sum <= 0)
    return 0;
  return *std::max_element(seconds.begin(), seconds.end()) *
         static_cast<double>(seconds.size()) / sum;
}

}  // namespace

Figures ComputeFigures(const RunRecord& run,
                       const std::vector<std::string>& short_kinds) {
  Figures figures;
  figures.requests = run.requests.size();
  figures.flows = static_cast<double>(run.flows);
  figures.broken_flows = static_cast<double>(run.broken_flows);
  figures.imbalance = Imbalance(run.target_seconds);
  figures.doubled = static_cast<double>(run.doubled);
  figures.lost = static_cast<double>(run.acknowledged_unrun);
  figures.falsely_refused = static_cast<double>(run.falsely_refused);
  figures.wrong_answers = static_cast<double>(run.wrong_answers);
  figures.drain_settle_ms = absl::ToDoubleMilliseconds(run.drain_settle);
  figures.refusals = run.refusals;
  std::vector<std::string> kinds;
  double weight = 0;
  for (const RequestRecord& r : run.requests) {
    if (std::count(kinds.begin(), kinds.end(), r.kind) == 0)
      kinds.push_back(r.kind);
    weight += r.weight;
    figures.in_time_share += InTime(r) ? 1 : 0;
    figures.in_time_weighted += InTime(r) ? r.weight : 0;
    figures.lost += r.ended ? 0 : 1;
    figures.no_word += r.no_word ? 1 : 0;
  }
  figures.in_time_share /=
      std::max(1.0, static_cast<double>(run.requests.size()));
  figures.in_time_weighted /= std::max(1.0, weight);
  for (const std::string& kind : kinds)
    figures.kinds.push_back(FiguresOfKind(run, kind));
  figures.goodput_capacity = Goodput(run, "capacity");
  figures.goodput_crest = Goodput(run, "crest");
  AddShortKinds(run, short_kinds, figures);
  return figures;
}

std::vector<SecondFigures> FiguresBySecond(const RunRecord& run) {
  std::vector<Histogram> waiting;
  for (const RequestRecord& r : run.requests) {
    if (!r.ok)
      continue;
    const auto second =
        static_cast<size_t>(std::max(0.0, absl::ToDoubleSeconds(r.ended_at)));
    if (second >= waiting.size())
      waiting.resize(second + 1);
    waiting[second].Record(WaitingUs(r));
  }
  std::vector<SecondFigures> seconds;
  seconds.reserve(waiting.size());
  for (const Histogram& h : waiting)
    seconds.push_back(
        {static_cast<double>(h.count()), Ms(h, 0.5), Ms(h, 0.99)});
  return seconds;
}

}  // namespace skylarkshunt
