#include "standins/packet_fleet/packet_fleet.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/memory/memory.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "skylarkshunt/http/http_client.h"

namespace skylarkshunt {
namespace {

constexpr uint16_t kDataPort = 8172;
constexpr uint16_t kReadinessPort = 8167;
constexpr uint16_t kReportsPort = 8166;
constexpr uint16_t kOutboundPort = 8162;
constexpr uint16_t kAppPort = 8165;
constexpr uint16_t kPeerPort = 7720;
constexpr uint16_t kStorePort = 8169;
/// Hosts are the last 16 bits of an address; entries begin at 1.
constexpr int kStoreHost = 200;
constexpr int kStorePathHost = 201;
constexpr int kFirstClientHost = 210;
constexpr int kClients = 6;
constexpr int kFirstAgentHost = 256;
constexpr int kMostEntries = kStoreHost - 1;
constexpr int kMostAgents = 512;

const char* ServiceOf(int target) {
  return target % 2 == 0 ? "red" : "blue";
}

}  // namespace

Endpoint PacketFleet::At(int host, uint16_t port) const {
  return {(uint32_t{127} << 24) | (uint32_t{options_.network} << 16) |
              static_cast<uint32_t>(host),
          port};
}

Result<std::unique_ptr<PacketFleet>> PacketFleet::Start(
    const Options& options) {
  if (options.entries > kMostEntries || 2 * options.targets > kMostAgents) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        absl::StrCat(options.entries, " entries and ", 2 * options.targets,
                     " targets"),
        absl::StrCat("at most ", kMostEntries, " and ", kMostAgents));
  }
  auto fleet = absl::WrapUnique(new PacketFleet(options));
  BOOST_OUTCOME_TRYV(fleet->StartStore());
  for (int i = 0; i < options.entries; ++i) {
    BOOST_OUTCOME_TRYV(fleet->AddNode(i, -1));
  }
  for (int i = 0; i < 2 * options.targets; ++i) {
    BOOST_OUTCOME_TRYV(fleet->AddNode(i, i));
  }
  BOOST_OUTCOME_TRYV(fleet->StartClients());
  BOOST_OUTCOME_TRYV(fleet->AwaitAnswers());
  return fleet;
}

PacketFleet::~PacketFleet() {
  rotation_.reset();
  for (Node& node : nodes_) {
    if (node.process != nullptr) {
      node.process->Resume();
      node.process->Kill();
    }
  }
}

Result<void> PacketFleet::StartStore() {
  PlatformServer::Options store;
  store.listen = At(kStoreHost, kStorePort);
  BOOST_OUTCOME_TRY(server, PlatformServer::Start(store));
  store_ = std::move(server);
  configuration_.WriteFirst(store_->core());
  BOOST_OUTCOME_TRY(path, StreamProxy::Start(At(kStorePathHost, kStorePort),
                                             store_->address()));
  store_path_ = std::move(path);
  return Success();
}

uint64_t PacketFleet::ChangeConfiguration() {
  return configuration_.Write(store_->core());
}

uint64_t PacketFleet::RewriteConfiguration() {
  return configuration_.Rewrite(store_->core());
}

uint64_t PacketFleet::AddRoute() {
  const FleetConfiguration before = configuration_;
  configuration_.AddRoute();
  const uint64_t version = configuration_.Write(store_->core());
  if (version == 0) {
    configuration_ = before;
    return 0;
  }
  ledger_.RecordRouteAdded(configuration_.routes().back().address);
  clients_->SetRoutes(configuration_.routes());
  return version;
}

uint64_t PacketFleet::RemoveRoute() {
  const Endpoint address = configuration_.RemoveRoute();
  clients_->SetRoutes(configuration_.routes());
  // A node may apply the version before the store's response is here.
  ledger_.RecordRouteRemoved(address, MonotonicNow());
  // A write without a response may have been executed, so the route is left
  // out of the clients' routes in any case until it is added again.
  return configuration_.Write(store_->core());
}

uint64_t PacketFleet::MoveRoute(uint32_t draw) {
  const FleetConfiguration before = configuration_;
  const RouteMove move = configuration_.MoveRoute(draw);
  if (move.kind == RouteMove::Kind::kRemoved) {
    clients_->SetRoutes(configuration_.routes());
    ledger_.RecordRouteRemoved(move.address, MonotonicNow());
  }
  const uint64_t version = configuration_.Write(store_->core());
  if (move.kind != RouteMove::Kind::kAdded)
    return version;
  if (version == 0) {
    configuration_ = before;
    return 0;
  }
  ledger_.RecordRouteAdded(move.address);
  clients_->SetRoutes(configuration_.routes());
  return version;
}

uint64_t PacketFleet::VersionInForce(size_t index) const {
  HttpCall call;
  call.server = {nodes_[index].data.address, kPeerPort};
  call.target = "/node";
  call.timeout = absl::Milliseconds(300);
  const Result<HttpAnswer> answer = Call(call);
  if (!answer.has_value())
    return 0;
  const nlohmann::json status =
      nlohmann::json::parse(answer.value().body, nullptr, false);
  if (!status.is_object() || !status.contains("configuration"))
    return 0;
  return status["configuration"].value("version", uint64_t{0});
}

Result<void> PacketFleet::AddNode(int number, int target) {
  const bool entry = target < 0;
  const int host = entry ? 1 + number : kFirstAgentHost + number;
  Node node;
  node.name = absl::StrCat(entry ? "edge-" : "side-", number);
  node.entry = entry;
  node.data = At(host, kDataPort);
  node.readiness = At(host, kReadinessPort);
  node.settings = absl::StrCat(options_.work, "/", node.name, ".conf");
  const std::string ip = [host, this] {
    const std::string text = At(host, 1).ToString();
    return text.substr(0, text.find(':'));
  }();
  std::ofstream file(node.settings);
  file << "node-name=" << node.name << "\nip=" << ip
       << "\nzone=a\nmachine-class=" << (entry ? "edge" : "side")
       << "\nlisten.data-addr=" << node.data.ToString()
       << "\nlisten.readiness-addr=" << node.readiness.ToString()
       << "\ninternal-port-range=" << kPeerPort << ",7735"
       << "\nseeds=" << At(1, kReportsPort).ToString() << ","
       << At(2, kReportsPort).ToString()
       << "\nheartbeat-ms=300\nbounds.grace-s=6"
       << "\nplatform.addr=" << At(kStorePathHost, kStorePort).ToString()
       << "\n";
  if (!entry) {
    FlowTarget::Options options;
    options.index = target;
    options.service = ServiceOf(target);
    options.app = At(host, kAppPort);
    options.outbound = At(host, kOutboundPort);
    options.reports = At(host, kReportsPort);
    options.work = options_.work_time;
    options.slots = options_.slots;
    file << "listen.outbound=" << options.outbound.ToString()
         << "\nlisten.control=" << options.reports.ToString()
         << "\napp=" << options.app.ToString()
         << "\nservice=" << options.service << "\n";
    BOOST_OUTCOME_TRY(started, FlowTarget::Start(options, ledger_));
    targets_.push_back(std::move(started));
  }
  file.close();
  nodes_.push_back(std::move(node));
  return StartNode(nodes_.size() - 1);
}

Result<void> PacketFleet::StartNode(size_t index) {
  Node& node = nodes_[index];
  ChildProcess::Options options;
  options.command = {options_.programs + "/skylarkshuntd", "--node"};
  options.environment = {"SKYLARKSHUNT_NODE_FILE=" + node.settings};
  options.output_file = absl::StrCat(options_.work, "/", node.name, ".log");
  BOOST_OUTCOME_TRY(process, ChildProcess::Start(options));
  node.process = std::move(process);
  return Success();
}

Result<void> PacketFleet::StartClients() {
  FlowClients::Options options;
  for (int i = 0; i < kClients; ++i)
    options.addresses.push_back(At(kFirstClientHost + i, 0).address);
  options.port = kDataPort;
  options.routes = configuration_.routes();
  options.requests_per_second = options_.requests_per_second;
  options.kept_percent = options_.kept_percent;
  options.seed = options_.seed;
  BOOST_OUTCOME_TRY(clients, FlowClients::Start(options, ledger_));
  clients_ = std::move(clients);
  std::vector<EntryRotation::Entry> entries;
  for (const Node& node : nodes_) {
    if (node.entry)
      entries.push_back({node.readiness, node.data});
  }
  rotation_ = std::make_unique<EntryRotation>(
      std::move(entries), [this](std::vector<Endpoint> rotation) {
        clients_->SetRotation(std::move(rotation));
      });
  return Success();
}

Result<void> PacketFleet::AwaitAnswers() {
  const absl::Time end = absl::Now() + options_.start_limit;
  while (clients_->tally().answered < options_.requests_per_second) {
    if (absl::Now() > end) {
      return MakeError(ErrorKind::kUnavailable, "the fleet answers nothing",
                       absl::StrCat("read the logs in ", options_.work));
    }
    absl::SleepFor(absl::Milliseconds(50));
  }
  return Success();
}

}  // namespace skylarkshunt
