#include "standins/packet_fleet/flow_judge.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/time.h"

namespace skylarkshunt {
namespace {

/// A log line of a reset stands at most this far from the client's view of it.
constexpr absl::Duration kLogDistance = absl::Milliseconds(500);
/// Log lines of a flow that are printed, the last ones.
constexpr size_t kMostLines = 40;
/// Flows of each kind and reason whose course is printed; the logs have the
/// others.
constexpr size_t kMostCourses = 4;

std::string TimeText(absl::Time time) {
  return absl::FormatTime("%H:%M:%E6S", time, absl::UTCTimeZone());
}

struct LogLine {
  std::string time;
  size_t node = 0;
  std::string text;
};

using FlowLines = absl::flat_hash_map<std::string, std::vector<LogLine>>;

/// Returns the part of a line from the time of day on.
std::string FromTimeOfDay(const std::string& line) {
  const size_t date_end = line.find('T');
  const size_t blank = line.find(' ');
  return date_end != std::string::npos && date_end < blank
             ? line.substr(date_end + 1)
             : line;
}

/// Reads all lines that name one of `flows` from the logs of all nodes, by
/// time.
FlowLines ReadLines(PacketFleet& fleet,
                    const absl::flat_hash_set<std::string>& flows) {
  constexpr absl::string_view kField = "flow=";
  FlowLines lines;
  for (size_t i = 0; i < fleet.nodes().size(); ++i) {
    std::ifstream log(
        absl::StrCat(fleet.options().work, "/", fleet.nodes()[i].name, ".log"));
    std::string line;
    while (std::getline(log, line)) {
      const size_t begin = line.find(kField.data());
      if (begin == std::string::npos)
        continue;
      const size_t flow = begin + kField.size();
      const std::string id = line.substr(flow, line.find(' ', flow) - flow);
      if (!flows.contains(id))
        continue;
      const std::string text = FromTimeOfDay(line);
      lines[id].push_back({text.substr(0, text.find(' ')), i, text});
    }
  }
  for (auto& [id, found] : lines) {
    std::stable_sort(
        found.begin(), found.end(),
        [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  }
  return lines;
}

class FlowJudge {
 public:
  FlowJudge(PacketFleet& fleet,
            const FaultInjector& faults,
            const SoakProfile& profile)
      : fleet_(fleet),
        faults_(faults),
        profile_(profile),
        findings_(fleet.ledger().findings()) {}

  FlowVerdict Run() {
    absl::flat_hash_set<std::string> flows;
    for (const FlowFinding& finding : findings_)
      flows.insert(finding.flow.ToString());
    if (!flows.empty())
      lines_ = ReadLines(fleet_, flows);
    for (const FlowFinding& finding : findings_)
      Judge(finding);
    return std::move(verdict_);
  }

 private:
  void Judge(const FlowFinding& finding) {
    const std::string kind = FlowFaultName(finding.fault);
    const std::string excuse = ExcuseOf(finding);
    if (!excuse.empty()) {
      ++verdict_.excused[absl::StrCat(kind, ":", excuse)];
      return;
    }
    // One flow may give several findings of packets at foreign targets.
    if (!reported_.insert(absl::StrCat(kind, finding.flow.ToString())).second)
      return;
    const std::vector<const LogLine*> resets = ResetLines(finding);
    const std::string detail =
        resets.empty() ? kind : absl::StrCat(kind, ":", ReasonOf(*resets[0]));
    ++verdict_.counts[detail];
    verdict_.broken.push_back(Describe(finding, detail));
  }

  /// Returns why the finding breaks nothing, or an empty text.
  std::string ExcuseOf(const FlowFinding& finding) const {
    if (finding.fault == FlowFault::kResetAfterGrant &&
        profile_.entry_faults_excuse) {
      return "not_open";
    }
    const size_t target = TargetNode(finding.target);
    if (faults_.WasDisturbed(target, finding.from, finding.to))
      return "target";
    if (!profile_.entry_faults_excuse)
      return "";
    const std::vector<const LogLine*> resets = ResetLines(finding);
    for (const LogLine* line : resets) {
      if (faults_.WasDisturbed(line->node, finding.from, finding.to))
        return "sender";
    }
    if (!resets.empty())
      return "";
    for (const Endpoint entry : finding.entries) {
      if (faults_.WasDisturbed(EntryNode(entry), finding.from, finding.to))
        return "entry";
    }
    return "";
  }

  /// Log lines of a reset of the flow at its time.
  std::vector<const LogLine*> ResetLines(const FlowFinding& finding) const {
    std::vector<const LogLine*> resets;
    const auto found = lines_.find(finding.flow.ToString());
    if (finding.from != finding.to || found == lines_.end())
      return resets;
    const std::string from = TimeText(finding.from - kLogDistance);
    const std::string to = TimeText(finding.to + kLogDistance);
    for (const LogLine& line : found->second) {
      const bool reset = absl::StrContains(line.text, " SKS2103 ") ||
                         absl::StrContains(line.text, " SKS2107 ");
      if (reset && line.time >= from && line.time <= to)
        resets.push_back(&line);
    }
    return resets;
  }

  static std::string ReasonOf(const LogLine& line) {
    constexpr absl::string_view kField = "reason=";
    const size_t begin = line.text.find(kField.data());
    if (begin == std::string::npos)
      return "unknown";
    const size_t reason = begin + kField.size();
    return line.text.substr(reason, line.text.find(' ', reason) - reason);
  }

  size_t TargetNode(int target) const {
    return static_cast<size_t>(fleet_.options().entries) +
           static_cast<size_t>(target);
  }

  size_t EntryNode(Endpoint entry) const {
    const auto& nodes = fleet_.nodes();
    const auto found =
        std::find_if(nodes.begin(), nodes.end(),
                     [entry](const auto& n) { return n.data == entry; });
    return static_cast<size_t>(found - nodes.begin());
  }

  std::string Describe(const FlowFinding& finding, const std::string& kind) {
    const auto name = [this](size_t node) { return fleet_.nodes()[node].name; };
    std::vector<std::string> entries;
    for (const Endpoint entry : finding.entries)
      entries.push_back(name(EntryNode(entry)));
    std::vector<std::string> foreign;
    for (const int target : finding.foreign)
      foreign.push_back(name(TargetNode(target)));
    std::string text = absl::StrCat(
        "FLOW ", FlowFaultName(finding.fault), " ", finding.flow.ToString(),
        " at ", TimeText(finding.to), ", target of ",
        name(TargetNode(finding.target)), ", open since ",
        finding.opened == absl::Time() ? "never" : TimeText(finding.opened),
        ", packets through ", absl::StrJoin(entries, ","),
        foreign.empty() ? "" : ", at targets of ", absl::StrJoin(foreign, ","));
    if (finding.from != finding.to)
      absl::StrAppend(&text, ", ", finding.sent, " packets sent since ",
                      TimeText(finding.from));
    if (++courses_[kind] > kMostCourses)
      return text;
    const auto found = lines_.find(finding.flow.ToString());
    if (found == lines_.end())
      return text + "\n    no log line names the flow";
    const std::vector<LogLine>& lines = found->second;
    for (size_t i = lines.size() - std::min(lines.size(), kMostLines);
         i < lines.size(); ++i) {
      absl::StrAppend(&text, "\n    ", name(lines[i].node), " ", lines[i].text);
    }
    return text;
  }

  PacketFleet& fleet_;
  const FaultInjector& faults_;
  const SoakProfile& profile_;
  const std::vector<FlowFinding> findings_;
  FlowLines lines_;
  absl::flat_hash_set<std::string> reported_;
  /// By kind and reason: flows whose course was printed.
  std::map<std::string, size_t> courses_;
  FlowVerdict verdict_;
};

}  // namespace

FlowVerdict JudgeFlows(PacketFleet& fleet,
                       const FaultInjector& faults,
                       const SoakProfile& profile) {
  return FlowJudge(fleet, faults, profile).Run();
}

}  // namespace skylarkshunt
