#include "skylarkshunt/forwarding/route_table.h"

#include <cassert>

#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kServiceNameSeed = 0x736572;
constexpr uint64_t kShareSeed = 0x736861;

}  // namespace

ServiceUid MakeServiceUid(absl::string_view name) {
  return ServiceUid{StableHash(name, kServiceNameSeed)};
}

const Route* RouteTable::Find(Endpoint address) const {
  const auto found = routes.find(address);
  return found == routes.end() ? nullptr : &found->second;
}

ServiceUid ChooseService(const Route& route, const FlowId& flow) {
  assert(!route.shares.empty() && "a route needs a service");
  if (route.shares.size() == 1)
    return route.shares.front().service;
  uint64_t total = 0;
  for (const RouteShare& share : route.shares)
    total += share.weight;
  if (total == 0)
    return route.shares.front().service;
  uint64_t point = StableHash(StableFlowHash(flow), kShareSeed) % total;
  for (const RouteShare& share : route.shares) {
    if (point < share.weight)
      return share.service;
    point -= share.weight;
  }
  return route.shares.back().service;
}

}  // namespace skylarkshunt
