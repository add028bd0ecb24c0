#include "standins/deployment/load.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

// Longer runs would not end within the demonstration.
constexpr absl::Duration kLongestRun = absl::Seconds(2);
constexpr absl::Duration kLongestDeadline = absl::Seconds(10);
constexpr absl::Duration kGrace = absl::Seconds(10);
// Bytes of an answer for each millisecond of the run.
constexpr int64_t kAnswerBytesPerMs = 100;
// Keeps the load of both services small beside the other processes.
constexpr double kHighestRate = 400;

absl::Duration RunTime(const KindConfig& kind) {
  return std::min(kLongestRun, kind.usual_duration);
}

/// Kinds get shares that keep the slots equally long: long requests are rare.
std::string KindArgument(const KindConfig& kind, absl::Duration deadline) {
  const double run_ms = absl::ToDoubleMilliseconds(RunTime(kind));
  const int64_t bytes = static_cast<int64_t>(run_ms) * kAnswerBytesPerMs;
  return absl::StrCat(kind.name, ":", 1 / std::max(1.0, run_ms), ":",
                      kind.idempotent ? "idempotent" : "once", ":", bytes, ":",
                      run_ms, ":", absl::ToInt64Milliseconds(deadline));
}

double Rate(const ServicePlan& service, double utilisation) {
  double shares = 0;
  for (const KindConfig& kind : service.config.kinds)
    shares += 1 / std::max(1.0, absl::ToDoubleMilliseconds(RunTime(kind)));
  const auto kinds = static_cast<double>(service.config.kinds.size());
  const double mean_run_s = kinds / shares / 1000;
  const double slots = service.targets * service.config.slots;
  return std::min(kHighestRate, utilisation * slots / mean_run_s);
}

const KindConfig& ShortestKind(const ServiceConfig& config) {
  return *std::min_element(config.kinds.begin(), config.kinds.end(),
                           [](const KindConfig& a, const KindConfig& b) {
                             return a.usual_duration < b.usual_duration;
                           });
}

}  // namespace

Result<LoadRun> LoadRun::Start(const Folders& folders,
                               const std::string& name,
                               Endpoint fabric,
                               const ServicePlan& service,
                               const Options& options) {
  const absl::Duration deadline =
      std::min(kLongestDeadline, service.config.deadline);
  const std::string base = absl::StrCat(folders.work, "/", name);
  ChildProcess::Options child;
  child.log_file = base + ".log";
  child.command = {folders.programs + "/standin_caller",
                   "--fabric",
                   fabric.ToString(),
                   "--service",
                   service.config.name,
                   "--flows",
                   absl::StrCat(options.flows),
                   "--requests-per-flow",
                   absl::StrCat(options.requests_per_flow),
                   "--rate",
                   absl::StrCat(Rate(service, options.utilisation)),
                   "--duration-s",
                   absl::StrCat(absl::ToDoubleSeconds(options.duration)),
                   "--seed",
                   absl::StrCat(options.seed),
                   "--records",
                   base + ".records"};
  for (const KindConfig& kind : service.config.kinds) {
    child.command.emplace_back("--kind");
    child.command.push_back(KindArgument(kind, deadline));
  }
  BOOST_OUTCOME_TRY(process, ChildProcess::Start(child));
  return LoadRun(std::move(process), base + ".records",
                 ShortestKind(service.config).name,
                 options.duration + deadline + kGrace);
}

Result<LoadSummary> LoadRun::Finish() {
  const std::string text = child_->ReadAll(limit_);
  BOOST_OUTCOME_TRY(json, ParseJsonObject(text, "summary of the load tool",
                                          ErrorKind::kUnavailable));
  const auto& total = json["total"];
  LoadSummary summary;
  summary.requests = total["issued"];
  summary.ok = total["ok"];
  summary.wrong = total["wrong_answer"];
  summary.missing = total["missing"];
  summary.not_run = total["not_run"];
  summary.unknown = total["outcome_unknown"];
  summary.timed_out = total["timed_out"];
  summary.broken_flows = json["broken_flows"];
  summary.short_p99_ms = json["kinds"][short_kind_]["waiting_ms"]["p99"];
  summary.targets = json["targets"].size();
  return summary;
}

}  // namespace skylarkshunt
