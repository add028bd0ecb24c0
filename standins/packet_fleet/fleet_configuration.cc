#include "standins/packet_fleet/fleet_configuration.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

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

}  // namespace

void FleetConfiguration::WriteFirst(PlatformCore& store) {
  routes_ = {{At("198.18.0.1:8443"), "red", true},
             {At("198.18.0.1:8080"), "red", false},
             {At("198.18.0.2:443"), "blue", true}};
  store.Write(kConfigurationKey, Document(), 0);
}

uint64_t FleetConfiguration::Write(PlatformCore& store) {
  const nlohmann::json held =
      nlohmann::json::parse(store.Read(kConfigurationKey).body, nullptr, false);
  if (!held.is_object() || !held.contains("meta"))
    return 0;
  ++version_;
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

std::string FleetConfiguration::Document() const {
  nlohmann::json routes = nlohmann::json::array();
  for (const ClientRoute& route : routes_) {
    const std::string address = route.address.ToString();
    routes.push_back(
        {{"name", absl::StrCat("r", route.address.port)},
         {"host", address.substr(0, address.find(':'))},
         {"path-prefix", absl::StrCat("/", route.address.port, "/")},
         {"kind", route.idempotent ? "idempotent" : "non_idempotent"},
         {"timeout-ms", 3000},
         {"target-latency-ms", 200},
         {"priority", route.idempotent ? 2 : 1},
         {"service", route.service}});
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
