#include "standins/packet_fleet/soak.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "standins/packet_fleet/configuration_judge.h"
#include "standins/packet_fleet/fault_injector.h"
#include "standins/packet_fleet/flow_judge.h"

namespace skylarkshunt {
namespace {

/// After the last fault, time until service is back, and time that is judged.
constexpr absl::Duration kRecoverTime = absl::Seconds(4);
constexpr absl::Duration kJudgedTime = absl::Seconds(3);
constexpr absl::Duration kRound = absl::Milliseconds(20);

class Soak {
 public:
  Soak(const SoakOptions& options, std::unique_ptr<PacketFleet> fleet)
      : options_(options),
        fleet_(std::move(fleet)),
        faults_(*fleet_,
                options.profile,
                options.planned_only,
                options.fleet.seed),
        configuration_(*fleet_, faults_) {}

  SoakReport Run() {
    const absl::Time end = MonotonicNow() + options_.duration;
    while (MonotonicNow() < end) {
      faults_.Poll(MonotonicNow());
      configuration_.Poll(MonotonicNow());
      absl::SleepFor(kRound);
    }
    faults_.EndAll();
    Settle();
    Judge();
    return std::move(report_);
  }

 private:
  /// Faults are over: service must come back.
  void Settle() {
    absl::SleepFor(kRecoverTime);
    configuration_.Finish();
    const ClientTally before = fleet_->clients().tally();
    absl::SleepFor(kJudgedTime);
    fleet_->clients().StopAsking();
    while (!fleet_->clients().idle())
      absl::SleepFor(kRound);
    report_.tally = fleet_->clients().tally();
    const int asked = report_.tally.asked - before.asked;
    const int answered = report_.tally.answered - before.answered;
    ++report_.checks["service_is_back"];
    if (answered < options_.profile.least_served * asked) {
      Break(absl::StrCat("after the faults ", answered, " of ", asked,
                         " were answered"));
    }
  }

  void Judge() {
    report_.faults = faults_.faults();
    report_.history = faults_.history();
    for (const auto& [name, count] : faults_.checks())
      report_.checks[name] += count;
    for (const std::string& broken : faults_.broken())
      Break(broken);
    report_.checks["configuration_in_force"] = configuration_.checks();
    for (const std::string& broken : configuration_.broken())
      Break(broken);
    for (const auto& target : fleet_->targets()) {
      const std::map<uint64_t, int> runs = target->runs();
      report_.checks["request_was_asked"] += static_cast<int>(runs.size());
      if (!runs.empty() &&
          runs.rbegin()->first > static_cast<uint64_t>(report_.tally.asked))
        Break(absl::StrCat("request ", runs.rbegin()->first,
                           " ran and was not asked"));
      if (target->misrouted() > 0)
        Break(absl::StrCat(target->misrouted(), " requests reached service ",
                           target->options().service));
      if (target->altered() > 0)
        Break(absl::StrCat(target->altered(), " altered packets reached t",
                           target->options().index));
    }
    report_.checks["answer_is_own"] = report_.tally.answered;
    if (report_.tally.wrong > 0)
      Break(absl::StrCat(report_.tally.wrong, " wrong answers"));
    if (report_.tally.altered > 0)
      Break(absl::StrCat(report_.tally.altered, " altered packets at clients"));
    JudgeFlowRule();
  }

  void JudgeFlowRule() {
    FlowVerdict verdict = JudgeFlows(*fleet_, faults_, options_.profile);
    report_.permitted = fleet_->ledger().permitted();
    int judged = 0;
    for (const auto& [reason, count] : verdict.excused) {
      report_.permitted[reason] += count;
      judged += count;
    }
    for (const auto& [kind, count] : verdict.counts)
      judged += count;
    report_.checks["flow_rule"] = judged;
    report_.flow_counts = verdict.counts;
    for (std::string& broken : verdict.broken)
      Break(std::move(broken));
  }

  void Break(std::string what) { report_.broken.push_back(std::move(what)); }

  const SoakOptions options_;
  const std::unique_ptr<PacketFleet> fleet_;
  FaultInjector faults_;
  ConfigurationJudge configuration_;
  SoakReport report_;
};

void AppendCounts(const char* title,
                  const std::map<std::string, int>& counts,
                  std::string& text) {
  absl::StrAppend(&text, "\n", title, ":");
  for (const auto& [name, count] : counts)
    absl::StrAppend(&text, " ", name, "=", count);
}

}  // namespace

Result<SoakReport> RunSoak(const SoakOptions& options) {
  BOOST_OUTCOME_TRY(fleet, PacketFleet::Start(options.fleet));
  Soak soak(options, std::move(fleet));
  return soak.Run();
}

std::string WriteReport(const SoakReport& report) {
  const ClientTally& tally = report.tally;
  std::string text = absl::StrCat(
      "requests: asked=", tally.asked, " answered=", tally.answered,
      " refused=", tally.refused, " rejected=", tally.rejected,
      " cut=", tally.cut, " timed_out=", tally.timed_out,
      " wrong=", tally.wrong, " kept_flows=", tally.kept);
  AppendCounts("faults", report.faults, text);
  AppendCounts("checks", report.checks, text);
  AppendCounts("permitted resets", report.permitted, text);
  absl::StrAppend(&text, "\nservice over time, tenths answered a second: ");
  for (const auto& [second, counts] : tally.by_second) {
    const int tenths =
        counts.second == 0 ? 0 : 10 * counts.first / counts.second;
    absl::StrAppend(&text, tenths >= 10 ? "X" : absl::StrCat(tenths));
  }
  absl::StrAppend(&text, "\nbroken: ", report.broken.size(), "\n");
  for (const std::string& broken : report.broken)
    absl::StrAppend(&text, "  ", broken, "\n");
  if (!report.broken.empty()) {
    for (const std::string& fault : report.history)
      absl::StrAppend(&text, "  fault ", fault, "\n");
  }
  return text;
}

}  // namespace skylarkshunt
