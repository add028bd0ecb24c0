#include "skylarkshunt/forwarding/evacuations.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/strip.h"
#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

/// As the store allows for names of objects.
constexpr size_t kMaxNameBytes = 200;

bool IsExpectedName(absl::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

bool IsNewer(const EvacuationSet& set, Revision revision) {
  return ToNumber(set.revision) > ToNumber(revision);
}

void RecordIgnored(const ConfigRecord& record,
                   absl::string_view reason,
                   EvacuationObjects::Ignored& ignored) {
  if (ignored.count++ > 0)
    return;
  ignored.first = record.key.substr(0, kMaxNameBytes);
  ignored.reason = reason;
}

}  // namespace

EvacuationObjects::Ignored EvacuationObjects::Replace(
    absl::Span<const ConfigRecord> listed) {
  objects_.clear();
  is_truncated_ = false;
  return Apply(listed);
}

EvacuationObjects::Ignored EvacuationObjects::ReplaceRestored(
    absl::Span<const ConfigRecord> listed) {
  if (lost_.size() < kMaxObjects)
    lost_.insert(objects_.begin(), objects_.end());
  return Replace(listed);
}

EvacuationObjects::Ignored EvacuationObjects::Apply(
    absl::Span<const ConfigRecord> changes) {
  Ignored ignored;
  for (const ConfigRecord& record : changes) {
    absl::string_view name = record.key;
    if (!absl::ConsumePrefix(&name, prefix_) || !IsExpectedName(name)) {
      RecordIgnored(record, "unexpected_name", ignored);
      continue;
    }
    const uint64_t hash = StableHash(name, 0);
    lost_.erase(hash);
    if (record.deleted) {
      objects_.erase(hash);
    } else if (objects_.size() < kMaxObjects || objects_.contains(hash)) {
      objects_.insert(hash);
    } else {
      is_truncated_ = true;
      RecordIgnored(record, "too_many", ignored);
    }
  }
  return ignored;
}

std::vector<uint32_t> EvacuationObjects::DataCentres() const {
  std::vector<uint32_t> data_centres;
  data_centres.reserve(objects_.size() + lost_.size());
  for (const uint64_t hash : objects_)
    data_centres.push_back(static_cast<uint32_t>(hash));
  for (const uint64_t hash : lost_)
    data_centres.push_back(static_cast<uint32_t>(hash));
  std::sort(data_centres.begin(), data_centres.end());
  data_centres.erase(std::unique(data_centres.begin(), data_centres.end()),
                     data_centres.end());
  return data_centres;
}

bool EvacuationState::OnStoreAnswered(EvacuationSet set) {
  is_store_answering_ = true;
  peer_set_.reset();
  return Adopt(std::move(set));
}

bool EvacuationState::OnStoreFailed() {
  is_store_answering_ = false;
  if (!peer_set_.has_value())
    return false;
  EvacuationSet set = *std::exchange(peer_set_, absl::nullopt);
  return IsNewer(set, in_force_.revision) && Adopt(std::move(set));
}

bool EvacuationState::OnPeerSet(EvacuationSet set) {
  if (!IsNewer(set, in_force_.revision))
    return false;
  std::vector<uint32_t>& data_centres = set.data_centres;
  if (is_known_ && EpochOf(set.revision) != EpochOf(in_force_.revision)) {
    data_centres.insert(data_centres.end(), in_force_.data_centres.begin(),
                        in_force_.data_centres.end());
  }
  std::sort(data_centres.begin(), data_centres.end());
  data_centres.erase(std::unique(data_centres.begin(), data_centres.end()),
                     data_centres.end());
  if (!is_store_answering_)
    return Adopt(std::move(set));
  // The read that is under way may have been lost.
  if (!peer_set_.has_value() || IsNewer(set, peer_set_->revision))
    peer_set_ = std::move(set);
  return false;
}

bool EvacuationState::Adopt(EvacuationSet set) {
  const bool changed = !is_known_ || set.data_centres != in_force_.data_centres;
  is_known_ = true;
  in_force_ = std::move(set);
  return changed;
}

EvacuationReport EvacuationState::MakeReport(
    absl::Span<const uint32_t> known) const {
  EvacuationReport report;
  report.set = in_force_;
  std::vector<uint32_t>& reported = report.set.data_centres;
  if (reported.size() <= kMaxReportedEvacuations)
    return report;
  std::stable_partition(
      reported.begin(), reported.end(), [known](uint32_t data_centre) {
        return std::find(known.begin(), known.end(), data_centre) !=
               known.end();
      });
  reported.resize(kMaxReportedEvacuations);
  return report;
}

}  // namespace skylarkshunt
