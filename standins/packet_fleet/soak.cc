#include "standins/packet_fleet/soak.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace skylarkshunt {
namespace {

/// Time between two faults, drawn up to this.
constexpr int kMostGapMs = 900;
/// How long a node, a target or the store is away, drawn up to this.
constexpr int kMostAwayMs = 2500;
/// A disturbed node or target counts as disturbed for this long afterwards, as
/// in the platform's rules.
constexpr absl::Duration kStableWindow = absl::Seconds(4);
/// Longest time from SIGTERM to the end of a process.
constexpr absl::Duration kGrace = absl::Seconds(6);
/// After the last fault, time until service is back, and time that is judged.
constexpr absl::Duration kRecoverTime = absl::Seconds(4);
constexpr absl::Duration kJudgedTime = absl::Seconds(3);
/// Time from a change of the configuration until it is in force, as in the
/// deployments.
constexpr absl::Duration kConfigurationBound = absl::Seconds(3);
constexpr double kLeastServed = 0.97;
constexpr absl::Duration kRound = absl::Milliseconds(20);

/// Something that ends at a time.
struct Pending {
  absl::Time end;
  std::string what;
  size_t index = 0;
};

class Soak {
 public:
  Soak(const SoakOptions& options, std::unique_ptr<PacketFleet> fleet)
      : options_(options),
        fleet_(std::move(fleet)),
        random_(options.fleet.seed),
        disturbed_(fleet_->nodes().size()) {}

  SoakReport Run() {
    const absl::Time end = MonotonicNow() + options_.duration;
    absl::Time next = MonotonicNow();
    while (MonotonicNow() < end) {
      EndPending(MonotonicNow());
      CheckProcesses();
      CheckConfiguration(MonotonicNow());
      if (MonotonicNow() >= next) {
        CauseFault();
        next = MonotonicNow() + absl::Milliseconds(random_() % kMostGapMs);
      }
      absl::SleepFor(kRound);
    }
    EndPending(absl::InfiniteFuture());
    Settle();
    Judge();
    return std::move(report_);
  }

 private:
  absl::Time Later() {
    return MonotonicNow() + absl::Milliseconds(200 + random_() % kMostAwayMs);
  }

  bool IsPending(size_t index) const {
    return std::any_of(pending_.begin(), pending_.end(),
                       [index](const auto& p) {
                         return p.index == index && p.what != "store" &&
                                p.what != "store_path";
                       });
  }

  size_t entries() const { return static_cast<size_t>(options_.fleet.entries); }

  /// Marks a node as disturbed from now until `end` and the stable window.
  void Disturb(size_t index, absl::Time end) {
    disturbed_[index].emplace_back(MonotonicNow(), end + kStableWindow);
  }

  void CauseFault() {
    const size_t index = random_() % fleet_->nodes().size();
    if (IsPending(index))
      return;
    const int kinds = options_.planned_only ? 3 : 9;
    switch (random_() % kinds) {
      case 0:
        return Terminate(index);
      case 1:
        return Drain(index);
      case 2:
        return ChangeConfiguration();
      case 3:
        return KillNode(index);
      case 4:
        return Pause(index);
      case 5:
        return CrashTarget(index);
      case 6:
        return HarmStore();
      case 7:
        return HarmStorePath();
      default:
        return KillMany();
    }
  }

  void Terminate(size_t index) {
    ++report_.faults["terminate"];
    fleet_->nodes()[index].process->Stop();
    pending_.push_back({MonotonicNow() + kGrace, "terminate", index});
    if (!options_.planned_only)
      Disturb(index, MonotonicNow() + kGrace);
  }

  void Drain(size_t index) {
    if (index < entries())
      return;
    ++report_.faults["drain"];
    fleet_->targets()[index - entries()]->SetDraining(true);
    pending_.push_back({Later(), "drain", index});
  }

  void KillNode(size_t index) {
    ++report_.faults["kill"];
    fleet_->nodes()[index].process->Kill();
    const absl::Time end = Later();
    pending_.push_back({end, "restart", index});
    Disturb(index, end);
  }

  void Pause(size_t index) {
    ++report_.faults["pause"];
    fleet_->nodes()[index].process->Pause();
    const absl::Time end = Later();
    pending_.push_back({end, "resume", index});
    Disturb(index, end);
  }

  void CrashTarget(size_t index) {
    if (index < entries())
      return;
    ++report_.faults["target_crash"];
    fleet_->targets()[index - entries()]->Crash();
    const absl::Time end = Later();
    pending_.push_back({end, "target_restart", index});
    Disturb(index, end);
  }

  void HarmStore() {
    Fault fault;
    switch (random_() % 4) {
      case 0:
        fault.mode = FaultMode::kDown;
        break;
      case 1:
        fault.mode = FaultMode::kSlow;
        fault.delay = absl::Milliseconds(300);
        break;
      case 2:
        fault.mode = FaultMode::kLoseAnswers;
        break;
      default:
        fault.mode = FaultMode::kExpireWatches;
        break;
    }
    ++report_.faults[absl::StrCat("store_", FaultModeName(fault.mode))];
    fleet_->store().SetFault(fault);
    pending_.push_back({Later(), "store", 0});
    const absl::Time end = pending_.back().end;
    core_disturbed_until_ = std::max(core_disturbed_until_, end);
  }

  void HarmStorePath() {
    const auto fault =
        static_cast<StreamFault>(1 + random_() % (kStreamFaults - 1));
    ++report_.faults[absl::StrCat("store_path_", StreamFaultName(fault))];
    fleet_->store_path().SetFault(fault);
    pending_.push_back({Later(), "store_path", 0});
    const absl::Time end = pending_.back().end;
    core_disturbed_until_ = std::max(core_disturbed_until_, end);
  }

  void ChangeConfiguration() {
    const uint64_t version = fleet_->ChangeConfiguration();
    if (version == 0)
      return;
    ++report_.faults["configuration"];
    version_ = version;
    version_due_ = MonotonicNow() + kConfigurationBound;
  }

  /// A version must be in force at every entry that serves, within its bound
  /// from the change or from the end of a disturbance of the store or of the
  /// entry.
  void CheckConfiguration(absl::Time now) {
    if (version_ == 0 || now < version_due_ ||
        now < core_disturbed_until_ + kStableWindow + kConfigurationBound) {
      return;
    }
    for (size_t i = 0; i < entries(); ++i) {
      if (IsPending(i) || WasDisturbed(i, now))
        continue;
      ++report_.checks["configuration_in_force"];
      const uint64_t version = fleet_->VersionInForce(i);
      if (version < version_)
        Break(absl::StrCat(fleet_->nodes()[i].name, " has version ", version,
                           " instead of ", version_));
    }
    version_ = 0;
  }

  /// Kills about half of the nodes at one moment.
  void KillMany() {
    if (random_() % 3 != 0)
      return;
    ++report_.faults["kill_many"];
    for (size_t i = 0; i < fleet_->nodes().size(); ++i) {
      if (random_() % 2 == 0 && !IsPending(i))
        KillNode(i);
    }
  }

  void EndPending(absl::Time now) {
    for (size_t i = 0; i < pending_.size();) {
      const Pending pending = pending_[i];
      const bool ended = pending.what == "terminate" &&
                         !fleet_->nodes()[pending.index].process->running();
      if (pending.end > now && !ended) {
        ++i;
        continue;
      }
      pending_.erase(pending_.begin() + static_cast<int64_t>(i));
      End(pending, ended);
    }
  }

  void End(const Pending& pending, bool ended) {
    if (pending.what == "store") {
      fleet_->store().SetFault(Fault{});
    } else if (pending.what == "store_path") {
      fleet_->store_path().SetFault(StreamFault::kNone);
    } else if (pending.what == "drain") {
      fleet_->targets()[pending.index - entries()]->SetDraining(false);
    } else if (pending.what == "target_restart") {
      fleet_->targets()[pending.index - entries()]->Restart();
    } else if (pending.what == "resume") {
      fleet_->nodes()[pending.index].process->Resume();
    } else {
      if (pending.what == "terminate")
        JudgeTermination(pending, ended);
      Restart(pending.index);
    }
  }

  void JudgeTermination(const Pending& pending, bool ended) {
    ++report_.checks["ends_within_grace"];
    ChildProcess& process = *fleet_->nodes()[pending.index].process;
    const absl::Duration left =
        std::max(absl::ZeroDuration(), pending.end - MonotonicNow());
    if (!ended && !process.WaitForExit(left).has_value())
      Break(absl::StrCat(fleet_->nodes()[pending.index].name,
                         " did not end within its grace time"));
  }

  void Restart(size_t index) {
    fleet_->nodes()[index].process.reset();
    const Result<void> started = fleet_->StartNode(index);
    if (!started.has_value())
      Break(started.error().ToString());
  }

  void CheckProcesses() {
    for (size_t i = 0; i < fleet_->nodes().size(); ++i) {
      if (IsPending(i))
        continue;
      ++report_.checks["process_runs"];
      if (fleet_->nodes()[i].process->running())
        continue;
      Break(absl::StrCat(fleet_->nodes()[i].name, " ended by itself"));
      Restart(i);
    }
  }

  /// Faults are over: service must come back.
  void Settle() {
    absl::SleepFor(kRecoverTime);
    CheckConfiguration(MonotonicNow());
    const ClientTally before = fleet_->clients().tally();
    absl::SleepFor(kJudgedTime);
    fleet_->clients().StopAsking();
    while (!fleet_->clients().idle())
      absl::SleepFor(kRound);
    report_.tally = fleet_->clients().tally();
    const int asked = report_.tally.asked - before.asked;
    const int answered = report_.tally.answered - before.answered;
    ++report_.checks["service_is_back"];
    if (answered < kLeastServed * asked) {
      Break(absl::StrCat("after the faults ", answered, " of ", asked,
                         " were answered"));
    }
  }

  void Judge() {
    std::map<uint64_t, int> runs;
    for (const auto& target : fleet_->targets()) {
      for (const auto& [request, count] : target->runs())
        runs[request] += count;
      if (target->misrouted() > 0)
        Break(absl::StrCat(target->misrouted(), " requests reached service ",
                           target->options().service));
    }
    report_.checks["answer_is_own"] = report_.tally.answered;
    if (report_.tally.wrong > 0)
      Break(absl::StrCat(report_.tally.wrong, " wrong answers"));
    for (const auto& [target, cuts] : report_.tally.cuts) {
      for (const absl::Time cut : cuts) {
        ++report_.checks["cut_is_justified"];
        if (!WasDisturbed(entries() + target - 1, cut))
          Break(absl::StrCat("a flow of target ", static_cast<int>(target),
                             " was cut while it was undisturbed"));
      }
    }
  }

  bool WasDisturbed(size_t index, absl::Time time) const {
    const auto& times = disturbed_[index];
    return std::any_of(times.begin(), times.end(), [time](const auto& span) {
      return span.first <= time && time <= span.second;
    });
  }

  void Break(std::string what) { report_.broken.push_back(std::move(what)); }

  const SoakOptions options_;
  const std::unique_ptr<PacketFleet> fleet_;
  std::mt19937 random_;
  std::vector<Pending> pending_;
  /// By node: when it was disturbed.
  std::vector<std::vector<std::pair<absl::Time, absl::Time>>> disturbed_;
  /// Version that is to be in force from `version_due_` on; 0 if none.
  uint64_t version_ = 0;
  absl::Time version_due_;
  absl::Time core_disturbed_until_ = absl::InfinitePast();
  SoakReport report_;
};

}  // namespace

Result<SoakReport> RunSoak(const SoakOptions& options) {
  BOOST_OUTCOME_TRY(fleet, PacketFleet::Start(options.fleet));
  Soak soak(options, std::move(fleet));
  return soak.Run();
}

std::string WriteReport(const SoakReport& report) {
  std::string text = "faults:";
  for (const auto& [name, count] : report.faults)
    absl::StrAppend(&text, " ", name, "=", count);
  const ClientTally& tally = report.tally;
  absl::StrAppend(&text, "\nrequests: asked=", tally.asked,
                  " answered=", tally.answered, " refused=", tally.refused,
                  " cut=", tally.cut, " timed_out=", tally.timed_out,
                  " wrong=", tally.wrong, "\nchecks:");
  for (const auto& [name, count] : report.checks)
    absl::StrAppend(&text, " ", name, "=", count);
  absl::StrAppend(&text, "\nservice over time, tenths answered a second: ");
  for (const auto& [second, counts] : tally.by_second) {
    const int tenths =
        counts.second == 0 ? 0 : 10 * counts.first / counts.second;
    absl::StrAppend(&text, tenths >= 10 ? "X" : absl::StrCat(tenths));
  }
  absl::StrAppend(&text, "\nbroken: ", report.broken.size(), "\n");
  for (const std::string& broken : report.broken)
    absl::StrAppend(&text, "  ", broken, "\n");
  return text;
}

}  // namespace skylarkshunt
