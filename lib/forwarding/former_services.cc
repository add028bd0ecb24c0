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
  // Another entry may have used the versions between them.
  if (next.version > previous->version + 1)
    complete_at_ = std::max(complete_at_, now + kFlowLifetime);
  for (const auto& [address, route] : previous->routes) {
    // A removed route may come back while its flows are open.
    const Route* present = next.Find(address);
    for (const RouteShare& share : route.shares) {
      if (present == nullptr || !Names(*present, share.service))
        Add(address, share.service, now);
    }
  }
}

void FormerServices::Add(Endpoint address, ServiceUid service, absl::Time now) {
  std::vector<Former>& services = former_[address];
  const auto known =
      std::find_if(services.begin(), services.end(),
                   [service](const Former& f) { return f.service == service; });
  if (known != services.end()) {
    known->dropped = now;
  } else if (size_ < kMaxServices) {
    services.push_back({service, now});
    ++size_;
  } else {
    complete_at_ = std::max(complete_at_, now + kFlowLifetime);
    if (services.empty())
      former_.erase(address);
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
