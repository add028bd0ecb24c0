#include "skylarkshunt/forwarding/former_services.h"

#include <algorithm>

namespace skylarkshunt {
namespace {

bool Names(const Route& route, ServiceUid service) {
  return std::any_of(
      route.shares.begin(), route.shares.end(),
      [service](const RouteShare& share) { return share.service == service; });
}

}  // namespace

void FormerServices::Record(const RouteTable* previous,
                            const RouteTable& next,
                            absl::Time now) {
  if (previous == nullptr) {
    complete_at_ = now + kFlowLifetime;
    return;
  }
  for (const auto& [address, route] : previous->routes) {
    const Route* present = next.Find(address);
    // The flows of a dropped route end.
    if (present == nullptr)
      continue;
    for (const RouteShare& share : route.shares) {
      if (Names(*present, share.service))
        continue;
      if (size_ >= kMaxServices) {
        complete_at_ = std::max(complete_at_, now + kFlowLifetime);
        return;
      }
      former_[address].push_back({share.service, now});
      ++size_;
    }
  }
}

std::vector<ServiceUid> FormerServices::Find(Endpoint address,
                                             const Route& route,
                                             absl::Time now) const {
  std::vector<ServiceUid> services;
  const auto add = [&services](ServiceUid service) {
    if (std::find(services.begin(), services.end(), service) == services.end())
      services.push_back(service);
  };
  for (const RouteShare& share : route.shares)
    add(share.service);
  const auto found = former_.find(address);
  if (found == former_.end())
    return services;
  for (const Former& former : found->second) {
    if (now - former.dropped < kFlowLifetime)
      add(former.service);
  }
  return services;
}

void FormerServices::Expire(absl::Time now) {
  if (size_ == 0)
    return;
  size_ = 0;
  absl::erase_if(former_, [this, now](auto& entry) {
    std::vector<Former>& services = entry.second;
    services.erase(std::remove_if(services.begin(), services.end(),
                                  [now](const Former& former) {
                                    return now - former.dropped >=
                                           kFlowLifetime;
                                  }),
                   services.end());
    size_ += services.size();
    return services.empty();
  });
}

}  // namespace skylarkshunt
