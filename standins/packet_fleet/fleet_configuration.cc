#include "standins/packet_fleet/fleet_configuration.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "standins/packet_fleet/flow_target.h"

namespace skylarkshunt {
namespace {

constexpr char kConfigurationKey[] = "config/main";
constexpr int kOk = 200;
/// Added routes use these ports in turn.
constexpr uint16_t kFirstAddedPort = 9000;
constexpr uint16_t kAddedPorts = 16;

Endpoint At(const char* text) {
  return Endpoint::Parse(text).value();
}

struct Split {
  absl::optional<int> red;
  absl::optional<int> blue;
};

/// Services of a route that changes. A share of 0 gets no new flows.
const std::array<Split, 6> kSplits = {
    {{1, absl::nullopt}, {absl::nullopt, 1}, {1, 1}, {9, 1}, {0, 1}, {1, 0}}};
/// Of this many changes of a present route, one removes it.
constexpr uint32_t kRemovalPeriod = 3;

}  // namespace

FleetConfiguration::FleetConfiguration(size_t moving_routes) {
  for (size_t i = 0; i < moving_routes; ++i) {
    MovingRoute moving;
    moving.route = {At("198.18.0.4:443"), kAnyService, i % 2 == 0};
    moving.route.address.port += static_cast<uint16_t>(i);
    moving.red = 1;
    moving_.push_back(std::move(moving));
  }
}

void FleetConfiguration::WriteFirst(PlatformCore& store) {
  routes_ = {{At("198.18.0.1:8443"), "red", true},
             {At("198.18.0.1:8080"), "red", false},
             {At("198.18.0.2:443"), "blue", true}};
  store.Write(kConfigurationKey, Document(), 0);
}

uint64_t FleetConfiguration::Write(PlatformCore& store) {
  ++version_;
  return Rewrite(store);
}

uint64_t FleetConfiguration::Rewrite(PlatformCore& store) const {
  const nlohmann::json held =
      nlohmann::json::parse(store.Read(kConfigurationKey).body, nullptr, false);
  if (!held.is_object() || !held.contains("meta"))
    return 0;
  const PlatformAnswer answer = store.Write(
      kConfigurationKey, Document(), held["meta"].value("rev", uint64_t{0}));
  return answer.status == kOk ? version_ : 0;
}

void FleetConfiguration::AddRoute() {
  ClientRoute route;
  route.address = At("198.18.0.3:1");
  route.address.port =
      static_cast<uint16_t>(kFirstAddedPort + next_port_++ % kAddedPorts);
  route.service = next_port_ % 2 == 0 ? "red" : "blue";
  route.idempotent = next_port_ % 3 != 0;
  routes_.push_back(route);
}

Endpoint FleetConfiguration::RemoveRoute() {
  const Endpoint address = routes_[kFixedRoutes].address;
  routes_.erase(routes_.begin() + kFixedRoutes);
  return address;
}

RouteMove FleetConfiguration::MoveRoute(uint32_t draw) {
  MovingRoute& moving = moving_[draw % moving_.size()];
  draw /= static_cast<uint32_t>(moving_.size());
  RouteMove move;
  move.address = moving.route.address;
  if (!moving.removed && draw % kRemovalPeriod == 0) {
    moving.removed = true;
    move.kind = RouteMove::Kind::kRemoved;
    return move;
  }
  if (moving.removed)
    move.kind = RouteMove::Kind::kAdded;
  moving.removed = false;
  const Split& split = kSplits[draw / kRemovalPeriod % kSplits.size()];
  moving.red = split.red;
  moving.blue = split.blue;
  return move;
}

std::vector<ClientRoute> FleetConfiguration::routes() const {
  std::vector<ClientRoute> routes;
  for (const MovingRoute& moving : moving_) {
    if (!moving.removed)
      routes.push_back(moving.route);
  }
  routes.insert(routes.end(), routes_.begin(), routes_.end());
  return routes;
}

std::string FleetConfiguration::Document() const {
  nlohmann::json routes = nlohmann::json::array();
  const auto add = [&routes](const ClientRoute& route, nlohmann::json value) {
    const std::string address = route.address.ToString();
    value["name"] = absl::StrCat("r", route.address.port);
    value["host"] = address.substr(0, address.find(':'));
    value["path-prefix"] = absl::StrCat("/", route.address.port, "/");
    value["kind"] = route.idempotent ? "idempotent" : "non_idempotent";
    value["timeout-ms"] = 3000;
    value["target-latency-ms"] = 200;
    value["priority"] = route.idempotent ? 2 : 1;
    routes.push_back(std::move(value));
  };
  for (const ClientRoute& route : routes_)
    add(route, {{"service", route.service}});
  for (const MovingRoute& moving : moving_) {
    if (moving.removed)
      continue;
    nlohmann::json split = nlohmann::json::array();
    if (moving.red.has_value())
      split.push_back({{"service", "red"}, {"weight", *moving.red}});
    if (moving.blue.has_value())
      split.push_back({{"service", "blue"}, {"weight", *moving.blue}});
    add(moving.route, {{"split", std::move(split)}});
  }
  const nlohmann::json services = {
      {{"name", "red"}, {"health-path", "/health"}, {"max-conns", 2000}},
      {{"name", "blue"}, {"health-path", "/health"}, {"max-conns", 2000}}};
  return nlohmann::json{{"version", version_},
                        {"routes", routes},
                        {"services", services},
                        {"limits", {{"idle-timeout-ms", 15000}}}}
      .dump();
}

}  // namespace skylarkshunt
