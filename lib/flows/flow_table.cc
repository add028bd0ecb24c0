#include "flows/flow_table.h"

#include <iterator>

#include "flows/agent_limits.h"

namespace skylarkshunt {

FlowTable::Flow* FlowTable::Find(FlowKey key) {
  const auto found = flows_.find(key);
  return found == flows_.end() ? nullptr : &*found->second;
}

FlowTable::Flow* FlowTable::Touch(absl::Time now, FlowKey key) {
  const auto found = flows_.find(key);
  if (found != flows_.end()) {
    found->second->last_message = now;
    by_age_.splice(by_age_.end(), by_age_, found->second);
    return &*found->second;
  }
  if (full())
    return nullptr;
  by_age_.push_back(Flow{key, Binding{}, now});
  flows_.emplace(key, std::prev(by_age_.end()));
  return &by_age_.back();
}

void FlowTable::Remove(FlowKey key) {
  const auto found = flows_.find(key);
  if (found == flows_.end())
    return;
  by_age_.erase(found->second);
  flows_.erase(found);
}

void FlowTable::RemoveIdle(absl::Time now) {
  while (!by_age_.empty() &&
         by_age_.front().last_message + kFlowIdleLimit <= now) {
    flows_.erase(by_age_.front().key);
    by_age_.pop_front();
  }
}

}  // namespace skylarkshunt
