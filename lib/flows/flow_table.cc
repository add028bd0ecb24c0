#include "flows/flow_table.h"

#include <algorithm>
#include <iterator>

#include "flows/agent_limits.h"

namespace skylarkshunt {

FlowTable::Flow* FlowTable::Find(FlowKey key) {
  const auto found = flows_.find(key);
  return found == flows_.end() ? nullptr : &*found->second;
}

FlowTable::Flow* FlowTable::Touch(absl::Time now, FlowKey key, bool used) {
  if (Flow* known = Find(key)) {
    Flows& from = known->used ? used_ : unused_;
    known->last_message = now;
    known->used = known->used || used;
    Flows& to = known->used ? used_ : unused_;
    to.splice(to.end(), from, flows_.at(key));
    return known;
  }
  if (full())
    return nullptr;
  Flows& flows = used ? used_ : unused_;
  flows.push_back(Flow{key, Binding{}, now, used});
  flows_.emplace(key, std::prev(flows.end()));
  return &flows.back();
}

void FlowTable::Remove(FlowKey key) {
  const auto found = flows_.find(key);
  if (found == flows_.end())
    return;
  Flows& flows = found->second->used ? used_ : unused_;
  flows.erase(found->second);
  flows_.erase(found);
}

std::vector<OpenFlow> FlowTable::MostRecent(absl::Time now,
                                            size_t limit) const {
  std::vector<OpenFlow> recent;
  recent.reserve(std::min(limit, size()));
  for (const Flows* flows : {&used_, &unused_}) {
    for (auto it = flows->rbegin();
         it != flows->rend() && recent.size() < limit; ++it) {
      recent.push_back(
          OpenFlow{it->key, it->binding.issued_ms, now - it->last_message});
    }
  }
  return recent;
}

void FlowTable::RemoveIdle(absl::Time now) {
  RemoveIdle(now, kFlowIdleLimit, used_);
  RemoveIdle(now, kUnusedFlowIdleLimit, unused_);
}

void FlowTable::RemoveIdle(absl::Time now, absl::Duration limit, Flows& flows) {
  while (!flows.empty() && flows.front().last_message + limit <= now) {
    flows_.erase(flows.front().key);
    flows.pop_front();
  }
}

}  // namespace skylarkshunt
