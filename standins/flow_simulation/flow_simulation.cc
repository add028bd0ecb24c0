#include "standins/flow_simulation/flow_simulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace skylarkshunt {
namespace {

/// Time for the nodes to start and to learn of each other.
constexpr absl::Duration kStartTime = absl::Seconds(4);
constexpr absl::Duration kStartSpread = absl::Seconds(1);
constexpr absl::Duration kLongestFirstReport = absl::Milliseconds(500);
/// Time after the last request for the flows to end.
constexpr absl::Duration kFinishTime = absl::Seconds(4);
constexpr absl::Duration kLongestStoreDelay = absl::Milliseconds(1500);
constexpr absl::Duration kLongestConfigurationDelay = absl::Seconds(2);
/// Every fourth target and every fourth route belong to the second service, or
/// every second one if routes change.
constexpr size_t kServicePeriod = 4;
constexpr size_t kChangedServicePeriod = 2;
/// Kinds of changes of a route, and share of the changes that remove one.
constexpr size_t kRouteChanges = 4;
constexpr double kRemovalShare = 0.3;
constexpr double kAdditionShare = 0.5;
constexpr absl::string_view kMainService = "dispatch";
constexpr absl::string_view kOtherService = "archive";
constexpr uint32_t kServiceAddress = 0xc6120001;
constexpr uint16_t kFirstServicePort = 440;
constexpr size_t kRoutes = 4;
constexpr absl::Duration kIdleTimeout = absl::Seconds(10);

Endpoint ServiceEndpoint(size_t index) {
  return {kServiceAddress, static_cast<uint16_t>(kFirstServicePort + index)};
}

}  // namespace

FlowSimulation::FlowSimulation(const SimulationOptions& options)
    : context_(options),
      clients_(context_,
               [this](size_t data_centre, const PacketHeader& header) {
                 router_->Route(data_centre, header);
               }) {
  const size_t centres = options.data_centres;
  std::vector<uint32_t> seeds;
  for (size_t i = 0; i < centres * options.entries; ++i) {
    const uint32_t address =
        SimulatedNetwork::EntryAddress(i % centres, i / centres);
    context_.stored_nodes.push_back({address, Role::kEntry});
    if (seeds.size() < 3)
      seeds.push_back(address);
  }
  for (size_t i = 0; i < centres * options.entries; ++i) {
    nodes_[context_.stored_nodes[i].address] = {ActorKind::kEntry, i};
    entries_.push_back(std::make_unique<SimulatedEntry>(
        context_, i, i % centres, context_.stored_nodes[i].address, seeds));
  }
  for (size_t i = 0; i < centres * options.agents; ++i) {
    const uint32_t address =
        SimulatedNetwork::AgentAddress(i % centres, i / centres);
    context_.stored_nodes.push_back({address, Role::kAgent});
    nodes_[address] = {ActorKind::kAgent, i};
    agents_.push_back(std::make_unique<SimulatedAgent>(
        context_, i, i % centres, address, ServiceName(i / centres), seeds));
  }
  router_ = std::make_unique<SimulatedRouter>(context_, entries_);
  context_.network.SetReceivers(
      {[this](uint32_t source, uint32_t address,
              std::shared_ptr<const StoredMessage> message) {
         const Actor node = nodes_.at(address);
         if (node.kind == ActorKind::kEntry)
           entries_[node.index]->OnMessage(source, std::move(message));
         else
           agents_[node.index]->OnMessage(source, std::move(message));
       },
       [this](const PacketHeader& header) { clients_.OnPacket(header); },
       [this](const SentReset& reset) { clients_.OnReset(reset); },
       [this](size_t entry, const PacketHeader& header) {
         entries_[entry]->OnClientPacket(header);
       }});
  faults_ = std::make_unique<FaultPlan>(
      context_, entries_, agents_,
      FaultPlan::Operator{[this](double load) { SetLoad(load); },
                          [this] { AddRoute(); }, [this] { RemoveRoute(); },
                          [this] { ChangeRoute(); }});
}

std::string FlowSimulation::ServiceName(size_t index) const {
  const size_t period = context_.options.faults.route_changes
                            ? kChangedServicePeriod
                            : kServicePeriod;
  return std::string(index % period == period - 1 ? kOtherService
                                                  : kMainService);
}

void FlowSimulation::SetLoad(double load) {
  load_ = load;
  // A burst may end after the last request.
  if (is_finishing_)
    return;
  const double slots =
      static_cast<double>(agents_.size()) * context_.options.slots;
  clients_.SetRate(load * context_.options.load * slots /
                       absl::ToDoubleSeconds(context_.options.work),
                   services_);
}

void FlowSimulation::AddConfiguration() {
  auto table = std::make_shared<RouteTable>();
  table->version = context_.configurations.size() + 1;
  table->idle_timeout = kIdleTimeout;
  for (const Endpoint& service : services_) {
    Route& route = table->routes[service];
    const auto changed = shares_.find(service);
    if (changed != shares_.end()) {
      route.shares = changed->second;
    } else {
      route.shares = {
          {MakeServiceUid(ServiceName(service.port - kFirstServicePort)), 1}};
    }
    route.kind = RequestKind::kIdempotent;
    route.latency_objective = context_.options.objective;
    route.deadline = context_.options.deadline;
  }
  context_.configurations.push_back(std::move(table));
  const absl::Duration longest = context_.random.Between(
      absl::Milliseconds(50), kLongestConfigurationDelay);
  for (const auto& entry : entries_)
    entry->OnConfigurationChange(
        context_.random.Between(absl::Milliseconds(10), longest));
}

void FlowSimulation::AddRoute() {
  services_.push_back(ServiceEndpoint(kRoutes));
  AddConfiguration();
  SetLoad(load_);
}

void FlowSimulation::RemoveRoute() {
  if (services_.size() == 1)
    return;
  context_.judge.OnRouteRemoved(services_.front());
  services_.erase(services_.begin());
  AddConfiguration();
  SetLoad(load_);
}

void FlowSimulation::ChangeRoute() {
  SimulatedRandom& random = context_.random;
  const ServiceUid main = MakeServiceUid(kMainService);
  const ServiceUid other = MakeServiceUid(kOtherService);
  const auto draw_shares = [&]() -> std::vector<RouteShare> {
    switch (random.Index(kRouteChanges)) {
      case 0:
        return {{main, 1}};
      case 1:
        return {{other, 1}};
      case 2:
        return {{main, 0}, {other, 1}};
      default:
        return {{main, 1}, {other, 1}};
    }
  };
  if (!removed_.empty() && random.Chance(kAdditionShare)) {
    const Endpoint route = removed_.back();
    removed_.pop_back();
    context_.Log("adds a route again");
    context_.judge.OnRouteAdded(route);
    shares_[route] = draw_shares();
    services_.push_back(route);
  } else if (services_.size() > 1 && random.Chance(kRemovalShare)) {
    const size_t index = random.Index(services_.size());
    context_.Log("removes a route for some time");
    context_.judge.OnRouteRemoved(services_[index]);
    removed_.push_back(services_[index]);
    services_.erase(services_.begin() + static_cast<ptrdiff_t>(index));
  } else {
    context_.Log("changes the services of a route");
    shares_[services_[random.Index(services_.size())]] = draw_shares();
  }
  AddConfiguration();
  SetLoad(load_);
}

void FlowSimulation::Run() {
  SimulatedRandom& random = context_.random;
  context_.store_delay =
      random.Between(absl::Milliseconds(50), kLongestStoreDelay);
  for (size_t i = 0; i < kRoutes; ++i)
    services_.push_back(ServiceEndpoint(i));
  AddConfiguration();
  const auto start = [&](std::function<void()> run) {
    context_.events.After(random.Between(absl::ZeroDuration(), kStartSpread),
                          std::move(run));
  };
  for (const auto& entry : entries_)
    start([&entry] { entry->Start(); });
  for (const auto& agent : agents_) {
    start([&agent] { agent->Start(); });
    start([this, &agent] {
      agent->target().Start(
          context_.random.Between(absl::ZeroDuration(), kLongestFirstReport));
    });
  }
  context_.events.RunUntil(context_.events.now() + kStartTime);
  context_.store_available = context_.options.store;
  SetLoad(1.0);
  faults_->Schedule(context_.options.duration);
  context_.events.RunUntil(context_.events.now() + context_.options.duration);
  is_finishing_ = true;
  clients_.SetRate(0, {});
  context_.events.RunUntil(context_.events.now() + kFinishTime);
}

std::string FlowSimulation::Describe(const Violation& violation) const {
  return absl::StrFormat(
      "%s %s at %.6f reason %s %s sender %s entry %s target %s flow %s\n%s",
      violation.excuse.empty()
          ? "broken"
          : absl::StrCat("excused (", violation.excuse, ")"),
      ViolationName(violation.kind),
      absl::ToDoubleSeconds(violation.time - kSimulationStart),
      violation.reason, violation.holder, violation.sender.ToString(),
      violation.entry.ToString(), violation.target.ToString(),
      violation.flow.ToString(), Describe(violation.flow));
}

std::string FlowSimulation::Describe(const FlowId& flow) const {
  return context_.course.Describe(flow, kSimulationStart);
}

}  // namespace skylarkshunt
