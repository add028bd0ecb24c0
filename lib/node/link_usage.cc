#include "link_usage.h"

#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace skylarkshunt {
namespace {

/// In the order of LinkPurpose.
constexpr std::array<absl::string_view, kLinkPurposes> kPurposeNames = {
    "client_packet", "forwarded", "search", "returned", "placed", "report"};

struct PurposeVisitor {
  LinkPurpose operator()(const AgentReport&) const {
    return LinkPurpose::kReport;
  }
  LinkPurpose operator()(const EntryReport&) const {
    return LinkPurpose::kReport;
  }
  LinkPurpose operator()(const RefusalReport&) const {
    return LinkPurpose::kReport;
  }
  LinkPurpose operator()(const EvacuationReport&) const {
    return LinkPurpose::kReport;
  }
  LinkPurpose operator()(const ConfigurationReport&) const {
    return LinkPurpose::kReport;
  }
  LinkPurpose operator()(const ForwardedPacket& forwarded) const {
    return forwarded.mode == ForwardMode::kSearch ? LinkPurpose::kSearch
                                                  : LinkPurpose::kForwarded;
  }
  LinkPurpose operator()(const ReturnedPacket& returned) const {
    return returned.mode == ForwardMode::kSearch ? LinkPurpose::kSearch
                                                 : LinkPurpose::kReturned;
  }
  LinkPurpose operator()(const FlowPlaced&) const {
    return LinkPurpose::kPlaced;
  }
  LinkPurpose operator()(const FlowQuery&) const {
    return LinkPurpose::kSearch;
  }
  LinkPurpose operator()(const QueryAnswer&) const {
    return LinkPurpose::kSearch;
  }
};

Counter& FindCounter(CounterRegistry& counters,
                     absl::string_view direction,
                     absl::string_view purpose) {
  return counters.Find(
      "skylarkshunt_link_bytes_total",
      "Bytes of datagrams by direction and purpose.", MetricType::kCounter,
      absl::StrCat("direction=\"", direction, "\",purpose=\"", purpose, "\""));
}

}  // namespace

LinkPurpose PurposeOf(const NodeMessage& message) {
  return std::visit(PurposeVisitor{}, message);
}

LinkUsage::LinkUsage(CounterRegistry& counters) {
  for (size_t i = 0; i < kLinkPurposes; ++i) {
    sent_[i] = &FindCounter(counters, "sent", kPurposeNames[i]);
    received_[i] = &FindCounter(counters, "received", kPurposeNames[i]);
  }
}

}  // namespace skylarkshunt
