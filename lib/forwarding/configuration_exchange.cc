#include "skylarkshunt/forwarding/configuration_exchange.h"

#include <limits>
#include <utility>

namespace skylarkshunt {

std::vector<uint32_t> ConfigurationExchange::SetHeld(
    const ConfigurationId& held,
    NodeDirectory& nodes,
    absl::Time now) {
  held_ = held;
  return nodes.SelectForChange(now);
}

ConfigurationExchange::Outcome ConfigurationExchange::OnReport(
    const ConfigurationReport& report) const {
  if (report.held == held_)
    return Outcome::kEqual;
  return report.held > held_ ? Outcome::kNewer : Outcome::kOlder;
}

std::vector<uint32_t> ConfigurationExchange::NextReceivers(
    const NodeDirectory& nodes,
    absl::Time now) {
  std::vector<uint32_t> present;
  for (const NodeAddress& node :
       nodes.Present(now, std::numeric_limits<size_t>::max()))
    present.push_back(node.address);
  return turn_.Next(std::move(present), regular_receivers_);
}

}  // namespace skylarkshunt
