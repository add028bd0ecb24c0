#include "flows/request_ledger.h"

#include <algorithm>
#include <cassert>

#include "flows/agent_limits.h"

namespace skylarkshunt {

LedgerEntry* RequestLedger::Find(const RequestId& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

LedgerEntry* RequestLedger::Insert(absl::Time now,
                                   const RequestId& id,
                                   absl::Time issued) {
  if (entries_.size() >= capacity_)
    return nullptr;
  LedgerEntry& entry = entries_[id];
  entry.expires = std::max(now, issued) + kLedgerHorizon;
  by_age_.push_back(id);
  return &entry;
}

void RequestLedger::RemoveExpired(absl::Time now) {
  while (!by_age_.empty()) {
    const auto oldest = entries_.find(by_age_.front());
    assert(oldest != entries_.end() && "a request was inserted twice");
    if (oldest->second.expires > now)
      return;
    entries_.erase(oldest);
    by_age_.pop_front();
  }
}

}  // namespace skylarkshunt
