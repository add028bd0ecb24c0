#include "standins/caller/load_tally.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace skylarkshunt {
namespace {

using nlohmann::ordered_json;

double Milliseconds(uint64_t us) {
  return static_cast<double>(us) / 1000;
}

ordered_json WaitingJson(const Histogram& us) {
  return {{"count", us.count()},
          {"mean", us.mean() / 1000},
          {"p50", Milliseconds(us.ValueAtQuantile(0.5))},
          {"p99", Milliseconds(us.ValueAtQuantile(0.99))},
          {"p99.9", Milliseconds(us.ValueAtQuantile(0.999))},
          {"max", Milliseconds(us.max())}};
}

ordered_json KindJson(const KindTally& kind) {
  ordered_json json = {{"issued", kind.issued}};
  for (int end = 0; end < kCallEnds; ++end) {
    json[std::string(CallEndName(static_cast<CallEnd>(end)))] =
        kind.ends[static_cast<size_t>(end)];
  }
  json["missing"] = kind.missing;
  json["given_up"] = kind.given_up;
  ordered_json reasons = ordered_json::object();
  for (const auto& [reason, count] : kind.not_run)
    reasons[std::string(ReasonName(reason))] = count;
  json["not_run_by_reason"] = reasons;
  json["waiting_ms"] = WaitingJson(kind.waiting_us);
  json["attempts"] = kind.attempts;
  json["max_attempts"] = kind.max_attempts;
  return json;
}

void MergeKind(const KindTally& from, KindTally* into) {
  into->issued += from.issued;
  for (size_t i = 0; i < from.ends.size(); ++i)
    into->ends[i] += from.ends[i];
  into->missing += from.missing;
  into->given_up += from.given_up;
  for (const auto& [reason, count] : from.not_run)
    into->not_run[reason] += count;
  into->waiting_us.Merge(from.waiting_us);
  into->attempts += from.attempts;
  into->max_attempts = std::max(into->max_attempts, from.max_attempts);
}

}  // namespace

void LoadTally::Merge(const LoadTally& other) {
  for (size_t i = 0; i < kinds.size(); ++i)
    MergeKind(other.kinds[i], &kinds[i]);
  flows += other.flows;
  broken_flows += other.broken_flows;
  moved_flows += other.moved_flows;
  ignored_answers += other.ignored_answers;
  malformed_answers += other.malformed_answers;
  not_issued += other.not_issued;
  for (const auto& [uid, count] : other.targets)
    targets[uid] += count;
  records.insert(records.end(), other.records.begin(), other.records.end());
}

uint64_t LoadTally::EndsOf(CallEnd end) const {
  uint64_t sum = 0;
  for (const KindTally& kind : kinds)
    sum += kind.ends[static_cast<size_t>(end)];
  return sum;
}

std::string WriteSummary(const LoadTally& tally,
                         const std::vector<std::string>& kinds,
                         double seconds) {
  KindTally total;
  ordered_json by_kind = ordered_json::object();
  for (size_t i = 0; i < kinds.size(); ++i) {
    by_kind[kinds[i]] = KindJson(tally.kinds[i]);
    MergeKind(tally.kinds[i], &total);
  }
  ordered_json targets = ordered_json::object();
  for (const auto& [uid, count] : tally.targets)
    targets[ToHex(uid)] = count;
  const ordered_json summary = {{"seconds", seconds},
                                {"total", KindJson(total)},
                                {"kinds", by_kind},
                                {"flows", tally.flows},
                                {"broken_flows", tally.broken_flows},
                                {"moved_flows", tally.moved_flows},
                                {"ignored_answers", tally.ignored_answers},
                                {"malformed_answers", tally.malformed_answers},
                                {"not_issued", tally.not_issued},
                                {"targets", targets}};
  return summary.dump(2);
}

bool WriteRecords(const LoadTally& tally,
                  const std::vector<std::string>& kinds,
                  const std::string& path) {
  std::ofstream file(path);
  for (const RequestRecord& record : tally.records) {
    file << ToHex(record.id) << ' ' << kinds[record.kind] << ' '
         << CallEndName(record.end) << ' ' << ReasonName(record.reason) << '\n';
  }
  file.close();
  return file.good();
}

}  // namespace skylarkshunt
