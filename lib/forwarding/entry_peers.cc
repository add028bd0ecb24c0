#include "skylarkshunt/forwarding/entry_peers.h"

#include <algorithm>

namespace skylarkshunt {

bool EntryPeers::OnReport(uint32_t address, const RefusalReport& report) {
  if (data_centres_.size() < kMaxEntries || data_centres_.contains(address))
    data_centres_[address] = report.data_centre;
  return report.wants_reply;
}

RefusalReport EntryPeers::Reply() const {
  RefusalReport report;
  report.data_centre = data_centre_;
  return report;
}

EntryPeers::Outgoing EntryPeers::MakeQuery(
    absl::Span<const uint32_t> present) const {
  Outgoing query;
  query.report = Reply();
  query.report.wants_reply = true;
  for (const uint32_t address : present) {
    if (!data_centres_.contains(address))
      query.addresses.push_back(address);
  }
  return query;
}

std::vector<EntryPeers::Outgoing> EntryPeers::MakeReports(
    absl::Span<const RefusedRequest> refused) const {
  std::vector<Outgoing> reports;
  if (refused.empty())
    return reports;
  std::vector<uint32_t> receivers;
  for (const auto& [address, data_centre] : data_centres_) {
    if (data_centre == data_centre_ && receivers.size() < kMaxReceivers)
      receivers.push_back(address);
  }
  if (receivers.empty())
    return reports;
  for (size_t begin = 0; begin < refused.size(); begin += kMaxRefusedRequests) {
    const auto part = refused.subspan(begin, kMaxRefusedRequests);
    Outgoing& outgoing = reports.emplace_back();
    outgoing.report = Reply();
    outgoing.report.requests.assign(part.begin(), part.end());
    outgoing.addresses = receivers;
  }
  return reports;
}

}  // namespace skylarkshunt
