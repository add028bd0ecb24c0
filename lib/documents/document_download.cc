#include "skylarkshunt/documents/document_download.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace skylarkshunt {
namespace {

/// Largest number of sources. Beyond it, a new source replaces one that failed,
/// or is ignored if none failed.
constexpr size_t kMaxSources = 64;
/// Mean wait before the next request to a busy node: about the transfer time of
/// one part at half the rate of a link of 2 Mbit/s.
constexpr absl::Duration kBusyDelay = absl::Milliseconds(60);
/// First and longest mean wait before the next request to a node that failed.
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(200);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(3);
/// Time by which a transfer that has begun may exceed the rate. It lets the
/// next part be sent while the peer handles the last one.
constexpr absl::Duration kBurstTime = absl::Milliseconds(130);

}  // namespace

void DocumentDownload::OnOffer(uint32_t node, const ConfigurationId& offered) {
  if (sources_.size() >= kMaxSources && !sources_.contains(node)) {
    const auto failed = std::find_if(
        sources_.begin(), sources_.end(),
        [](const auto& source) { return source.second.failures > 0; });
    if (failed == sources_.end())
      return;
    sources_.erase(failed);
  }
  sources_[node].id = offered;
}

absl::optional<DocumentDownload::Request> DocumentDownload::Next(
    const ConfigurationId& held,
    absl::Time now) {
  absl::erase_if(sources_, [&held](const auto& source) {
    return !(source.second.id > held);
  });
  if (!(partial_.id > held))
    partial_ = {};
  // Prefer the sources that failed least often.
  uint32_t fewest = std::numeric_limits<uint32_t>::max();
  for (const auto& [node, source] : sources_) {
    if (source.not_before <= now)
      fewest = std::min(fewest, source.failures);
  }
  std::vector<std::pair<uint32_t, ConfigurationId>> ready;
  for (const auto& [node, source] : sources_) {
    if (source.not_before <= now && source.failures == fewest)
      ready.emplace_back(node, source.id);
  }
  if (ready.empty())
    return absl::nullopt;
  // The order must not depend on the hash table's seed.
  std::sort(ready.begin(), ready.end());
  size_t chosen =
      std::uniform_int_distribution<size_t>(0, ready.size() - 1)(random_);
  for (size_t i = 0; i < ready.size(); ++i) {
    if (ready[i].first == preferred_)
      chosen = i;
  }
  Request request;
  request.node = ready[chosen].first;
  // A transfer that has begun is completed even if a newer document is offered.
  // Otherwise, no transfer would complete while changes follow quickly.
  const bool begun = !partial_.packed.empty();
  request.id = begun ? partial_.id : ready[chosen].second;
  request.offset = static_cast<uint32_t>(partial_.packed.size());
  return request;
}

absl::Time DocumentDownload::NextRequestTime(
    const ConfigurationId& held) const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [node, source] : sources_) {
    if (source.id > held)
      next = std::min(next, source.not_before);
  }
  return next;
}

absl::optional<PackedDocument> DocumentDownload::OnChunk(
    uint32_t node,
    const DocumentChunk& chunk) {
  preferred_ = node;
  const auto source = sources_.find(node);
  if (source != sources_.end())
    source->second.failures = 0;
  const bool same = chunk.id == partial_.id &&
                    chunk.digest == partial_.digest &&
                    chunk.packed_bytes == packed_bytes_;
  if (!same) {
    // The node has another document now, which may be older than the one that
    // it offered. Start it from its first byte.
    if (source != sources_.end())
      source->second.id = chunk.id;
    partial_ = {};
    partial_.id = chunk.id;
    partial_.raw_bytes = chunk.raw_bytes;
    partial_.digest = chunk.digest;
    packed_bytes_ = chunk.packed_bytes;
  }
  if (chunk.offset != partial_.packed.size())
    return absl::nullopt;
  partial_.packed.append(chunk.bytes.data(), chunk.bytes.size());
  if (partial_.packed.size() < packed_bytes_)
    return absl::nullopt;
  return std::exchange(partial_, {});
}

void DocumentDownload::OnBusy(uint32_t node, absl::Time now) {
  Delay(node, kBusyDelay, now);
}

void DocumentDownload::OnFailure(uint32_t node, absl::Time now) {
  const auto source = sources_.find(node);
  if (source == sources_.end())
    return;
  const uint32_t doublings = std::min<uint32_t>(source->second.failures++, 4);
  Delay(node, std::min(kInitialRetryDelay * (1U << doublings), kMaxRetryDelay),
        now);
}

void DocumentDownload::Delay(uint32_t node,
                             absl::Duration delay,
                             absl::Time now) {
  if (preferred_ == node)
    preferred_ = 0;
  const auto source = sources_.find(node);
  if (source == sources_.end())
    return;
  // Nodes that start at the same time must not retry at the same time.
  const double jitter =
      std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  source->second.not_before = now + jitter * delay;
}

bool TransferBudget::Take(size_t bytes, size_t offset, absl::Time now) {
  if (rate_ == 0)
    return true;
  if (within_rate_from_ >
      now + (offset > 0 ? kBurstTime : absl::ZeroDuration()))
    return false;
  within_rate_from_ =
      std::max(within_rate_from_, now) +
      absl::Seconds(static_cast<double>(bytes) / static_cast<double>(rate_));
  return true;
}

}  // namespace skylarkshunt
