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
constexpr int kFirstAgentHost = 50;
constexpr int kStoreHost = 200;
constexpr int kStorePathHost = 201;
constexpr int kFirstClientHost = 210;
constexpr int kClients = 6;
constexpr absl::Duration kReadinessInterval = absl::Milliseconds(250);
constexpr int kMissesUntilOut = 2;
constexpr absl::Duration kStartLimit = absl::Seconds(20);

constexpr char kConfigurationKey[] = "config/main";
/// Follows the version.
constexpr char kConfiguration[] = R"(,"routes":[
 {"name":"a","host":"198.18.0.1","path-prefix":"/8443/","kind":"idempotent",
  "timeout-ms":3000,"target-latency-ms":200,"priority":2,"service":"red"},
 {"name":"b","host":"198.18.0.1","path-prefix":"/8080/",
  "kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":200,
  "priority":1,"service":"red"},
 {"name":"c","host":"198.18.0.2","path-prefix":"/443/","kind":"idempotent",
  "timeout-ms":3000,"target-latency-ms":200,"priority":2,"service":"blue"}],
 "services":[{"name":"red","health-path":"/health","max-conns":2000},
  {"name":"blue","health-path":"/health","max-conns":2000}],
 "limits":{"idle-timeout-ms":15000}})";

std::string ConfigurationOf(uint64_t version) {
  return absl::StrCat("{\"version\":", version, kConfiguration);
}

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
  stop_.Notify();
  if (readiness_.joinable())
    readiness_.join();
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
  store_->core().Write(kConfigurationKey, ConfigurationOf(version_), 0);
  BOOST_OUTCOME_TRY(path, StreamProxy::Start(At(kStorePathHost, kStorePort),
                                             store_->address()));
  store_path_ = std::move(path);
  return Success();
}

uint64_t PacketFleet::ChangeConfiguration() {
  const nlohmann::json held = nlohmann::json::parse(
      store_->core().Read(kConfigurationKey).body, nullptr, false);
  if (!held.is_object() || !held.contains("meta"))
    return 0;
  const PlatformAnswer answer =
      store_->core().Write(kConfigurationKey, ConfigurationOf(version_ + 1),
                           held["meta"].value("rev", uint64_t{0}));
  constexpr int kOk = 200;
  if (answer.status != kOk)
    return 0;
  return ++version_;
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
    options.index = static_cast<uint8_t>(target + 1);
    options.service = ServiceOf(target);
    options.app = At(host, kAppPort);
    options.outbound = At(host, kOutboundPort);
    options.reports = At(host, kReportsPort);
    file << "listen.outbound=" << options.outbound.ToString()
         << "\nlisten.control=" << options.reports.ToString()
         << "\napp=" << options.app.ToString()
         << "\nservice=" << options.service << "\n";
    BOOST_OUTCOME_TRY(started, FlowTarget::Start(options));
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
  const auto at = [](const char* text) {
    return Endpoint::Parse(text).value();
  };
  options.routes = {{at("198.18.0.1:8443"), "red", true},
                    {at("198.18.0.1:8080"), "red", false},
                    {at("198.18.0.2:443"), "blue", true}};
  options.requests_per_second = options_.requests_per_second;
  options.seed = options_.seed;
  BOOST_OUTCOME_TRY(clients, FlowClients::Start(options));
  clients_ = std::move(clients);
  readiness_ = std::thread([this] { FollowReadiness(); });
  return Success();
}

Result<void> PacketFleet::AwaitAnswers() {
  const absl::Time end = absl::Now() + kStartLimit;
  while (clients_->tally().answered < options_.requests_per_second) {
    if (absl::Now() > end) {
      return MakeError(ErrorKind::kUnavailable, "the fleet answers nothing",
                       absl::StrCat("read the logs in ", options_.work));
    }
    absl::SleepFor(absl::Milliseconds(50));
  }
  return Success();
}

/// Takes entries out of rotation as the platform's routers do.
void PacketFleet::FollowReadiness() {
  std::vector<Endpoint> readiness;
  std::vector<Endpoint> data;
  for (const Node& node : nodes_) {
    if (node.entry) {
      readiness.push_back(node.readiness);
      data.push_back(node.data);
    }
  }
  std::vector<int> misses(data.size(), kMissesUntilOut);
  while (!stop_.WaitForNotificationWithTimeout(kReadinessInterval)) {
    std::vector<Endpoint> rotation;
    for (size_t i = 0; i < data.size(); ++i) {
      HttpCall call;
      call.server = readiness[i];
      call.target = "/skylarkshunt/ready";
      call.timeout = absl::Milliseconds(150);
      const Result<HttpAnswer> answer = Call(call);
      const bool ready = answer.has_value() && answer.value().status == 200;
      misses[i] = ready ? 0 : misses[i] + 1;
      if (misses[i] < kMissesUntilOut)
        rotation.push_back(data[i]);
    }
    clients_->SetRotation(rotation.empty() ? data : rotation);
  }
}

}  // namespace skylarkshunt
