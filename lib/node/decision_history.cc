#include "decision_history.h"

#include <nlohmann/json.hpp>

#include "decision_fields.h"
#include "decision_log.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

void DecisionHistory::Add(absl::Time now, const Decision& decision) {
  absl::MutexLock lock(&mutex_);
  if (entries_.size() < kMaxDecisions) {
    entries_.push_back({now, decision});
    return;
  }
  entries_[next_] = {now, decision};
  next_ = (next_ + 1) % kMaxDecisions;
}

std::string DecisionHistory::ToJson(absl::string_view flow) const {
  nlohmann::json list = nlohmann::json::array();
  absl::MutexLock lock(&mutex_);
  for (size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[(next_ + i) % entries_.size()];
    const Decision& decision = entry.decision;
    std::string name = decision.flow.ToString();
    if (!flow.empty() && name != flow)
      continue;
    nlohmann::json fields = {
        {"time_ms", absl::ToUnixMillis(entry.time)},
        {"decision", std::string(DecisionName(decision.kind))},
        {"flow", std::move(name)},
        {"reason", std::string(decision.reason)},
        {"agent", ToHex(ToNumber(decision.agent))},
        {"busy", decision.busy},
        {"slots", decision.slots},
        {"time_us", absl::ToInt64Microseconds(decision.time)},
        {"view_age_ms", absl::ToInt64Milliseconds(decision.view_age)},
        {"hops", decision.hops},
        {"configuration", decision.configuration},
        {"waited_ms", absl::ToInt64Milliseconds(decision.waited)},
        {"attempt", decision.attempt}};
    WriteEvidence(decision, [&fields](const char* key, const auto& value) {
      fields[key] = value;
    });
    list.push_back(std::move(fields));
  }
  return list.dump();
}

}  // namespace skylarkshunt
