#include "skylarkshunt/admission/duration_model.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace skylarkshunt {
namespace {

constexpr double kNewRunShare = 0.1;
constexpr double kRunCountDecay = 0.99;
constexpr int kStragglerFactor = 4;
constexpr absl::Duration kShortestDuration = absl::Milliseconds(1);

}  // namespace

void DurationModel::Configure(absl::Span<const KindConfig> kinds) {
  absl::flat_hash_map<std::string, Learned> next;
  for (const KindConfig& kind : kinds) {
    const auto known = kinds_.find(kind.name);
    if (known != kinds_.end()) {
      next.emplace(kind.name, known->second);
      continue;
    }
    Learned learned;
    learned.duration = std::max(kind.usual_duration, kShortestDuration);
    next.emplace(kind.name, learned);
  }
  kinds_ = std::move(next);
  UpdateMedian();
}

void DurationModel::Observe(absl::string_view kind, absl::Duration run) {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end())
    return;
  for (auto& [name, learned] : kinds_)
    learned.runs *= kRunCountDecay;
  Learned& learned = found->second;
  learned.runs += 1;
  learned.duration += (run - learned.duration) * kNewRunShare;
  learned.duration = std::max(learned.duration, kShortestDuration);
  UpdateMedian();
}

absl::Duration DurationModel::Expected(absl::string_view kind) const {
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? median_ : found->second.duration;
}

bool DurationModel::IsStraggler(absl::string_view kind) const {
  return Expected(kind) > kStragglerFactor * median_;
}

void DurationModel::UpdateMedian() {
  std::vector<Learned> sorted;
  for (const auto& [name, learned] : kinds_)
    sorted.push_back(learned);
  std::sort(
      sorted.begin(), sorted.end(), [](const Learned& a, const Learned& b) {
        return std::tie(a.duration, a.runs) < std::tie(b.duration, b.runs);
      });
  // Summed in sorted order, so that rounding does not depend on the order of
  // the hash map.
  double total = 0;
  for (const Learned& learned : sorted)
    total += learned.runs;
  double seen = 0;
  for (const Learned& learned : sorted) {
    seen += learned.runs;
    median_ = learned.duration;
    if (2 * seen >= total)
      return;
  }
}

}  // namespace skylarkshunt
