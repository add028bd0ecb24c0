#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "allocation_counter.h"
#include "skylarkshunt/edge/codec.h"
#include "skylarkshunt/link/codec.h"
#include "skylarkshunt/placement/router.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

constexpr ServiceUid kService{7};
const Endpoint kCaller{0x7f000001, 5555};
const absl::Time kNow = absl::FromUnixSeconds(1000);

struct Options {
  int targets = 10;
  int services = 1;
  int repeats = 5;
  int packets = 200000;
};

/// Keeps the compiler from removing measured work.
template <typename T>
void KeepValue(const T& value) {
  asm volatile("" : : "g"(&value) : "memory");
}

ServiceUid ServiceAt(size_t index) {
  return ServiceUid{ToNumber(kService) + index};
}

/// Service 0 has the name that the requests carry.
std::string ServiceName(size_t index) {
  return index == 0 ? "dispatch" : absl::StrCat("dispatch-", index);
}

/// The agents take the services in turn.
std::vector<InstanceRecord> MakeAgents(const Options& options) {
  std::vector<InstanceRecord> records(static_cast<size_t>(options.targets));
  const auto services = static_cast<size_t>(options.services);
  for (size_t i = 0; i < records.size(); ++i) {
    InstanceRecord& record = records[i];
    record.role = Role::kAgent;
    record.service = ServiceAt(i % services);
    record.data = Endpoint{0x7f000100u + static_cast<uint32_t>(i), 7000};
    record.uid = MakeTargetUid(record.service, record.data.ToString());
    record.incarnation = Incarnation{1};
    record.region = "ch-nord";
    record.data_centre = "zh-a";
  }
  return records;
}

ConfigRecord MakeConfigOf(size_t index) {
  ServiceConfig config;
  config.uid = ServiceAt(index);
  config.name = ServiceName(index);
  config.apply_id = "bench";
  config.data_centres = {"zh-a"};
  KindConfig kind;
  kind.name = "post_report";
  config.kinds = {kind};
  return ConfigRecord{absl::StrCat("services/", config.name), Revision{1},
                      false, WriteServiceConfig(config)};
}

std::vector<ConfigRecord> MakeConfig(const Options& options) {
  std::vector<ConfigRecord> records;
  for (size_t i = 0; i < static_cast<size_t>(options.services); ++i)
    records.push_back(MakeConfigOf(i));
  return records;
}

/// Runs `work` for each packet number and returns nanoseconds and allocations
/// per packet.
struct Cost {
  double nanoseconds = 0;
  double allocations = 0;
};

Cost Measure(int packets, const std::function<void(uint64_t)>& work) {
  for (int i = 0; i < packets / 10; ++i)
    work(static_cast<uint64_t>(i));
  const uint64_t allocations = AllocationCount();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < packets; ++i)
    work(static_cast<uint64_t>(i));
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - start;
  return Cost{spent.count() / packets,
              static_cast<double>(AllocationCount() - allocations) / packets};
}

class Bench {
 public:
  explicit Bench(const Options& options)
      : options_(options),
        agents_(MakeAgents(options)),
        config_(MakeConfig(options)) {
    const uint64_t before = AllocatedBytes();
    snapshot_ = RoutingSnapshot::Build("ch-nord", agents_, config_, nullptr);
    snapshot_bytes_ = AllocatedBytes() - before;
    Router::Options router_options;
    router_options.incarnation = Incarnation{1};
    router_ = Router::Create(router_options).value();
    router_->UseSnapshot(snapshot_);
    MakeRequests();
  }

  void Run() {
    const ServiceTable& table = *snapshot_->FindService("dispatch")->table;
    const Cost hashing = Measure(options_.packets, [&](uint64_t i) {
      const Request& request = requests_[i % requests_.size()];
      const RoutedService* service = snapshot_->FindService(request.service);
      const FlowKey flow = MakeFlowKey(service->config.uid, request.flow_id);
      KeepValue(table.First(flow));
    });
    const Cost hash_forward = Measure(options_.packets, [&](uint64_t i) {
      Request& request = requests_[i % requests_.size()];
      RouteToAgent route = ForwardByHash(std::move(request));
      KeepValue(route);
      request = std::get<Request>(std::move(route.forward.message));
    });
    const Cost placement = Measure(options_.packets, [&](uint64_t i) {
      Request& request = requests_[i % requests_.size()];
      RouteResult result =
          router_->OnCallerMessage(kNow, kCaller, std::move(request));
      KeepValue(result);
      // Hands the strings back, so that only the routing is measured.
      request = std::get<Request>(
          std::move(std::get<RouteToAgent>(result.action).forward.message));
    });
    const Cost path = Measure(options_.packets / 10, [&](uint64_t i) {
      const auto& datagram = datagrams_[i % datagrams_.size()];
      RouteResult result = router_->OnCallerMessage(
          kNow, kCaller, DecodeCallerMessage(datagram).value());
      auto& sent = std::get<RouteToAgent>(result.action);
      KeepValue(EncodeLinkMessage(std::move(sent.forward)).value());
    });
    const Cost rebuild = Measure(20, [&](uint64_t i) {
      agents_[0].incarnation = Incarnation{2 + i};
      KeepValue(RoutingSnapshot::Build("ch-nord", agents_, config_, snapshot_));
    });
    Print(hashing, hash_forward, placement, path, rebuild);
  }

 private:
  /// Routes as a balancer with plain hashing would: the first candidate only,
  /// whatever the binding says.
  RouteToAgent ForwardByHash(Request request) const {
    const RoutedService* service = snapshot_->FindService(request.service);
    const FlowKey flow = MakeFlowKey(service->config.uid, request.flow_id);
    const Candidate* target = service->table->First(flow);
    RouteToAgent route;
    route.agent = target->data;
    route.forward.sender = Incarnation{1};
    route.forward.service = service->config.uid;
    route.forward.revision = service->revision;
    route.forward.caller = kCaller;
    route.forward.candidates.push_back(*target);
    route.forward.message = std::move(request);
    return route;
  }

  void MakeRequests() {
    constexpr uint64_t kFlows = 4096;
    // The agents of service 0 are this far apart.
    const auto step = static_cast<size_t>(options_.services);
    for (uint64_t i = 0; i < kFlows; ++i) {
      Request request;
      request.service = "dispatch";
      request.kind = "post_report";
      request.flow_id = i * 0x9e3779b97f4a7c15;
      request.request_id = {i, i};
      request.deadline_ms = 1000;
      request.binding =
          Binding{agents_[i * step % (agents_.size() / step * step)].uid,
                  Incarnation{1}, 1};
      request.body = std::string(200, 'x');
      datagrams_.push_back(EncodeCallerMessage(request).value());
      requests_.push_back(std::move(request));
    }
  }

  void Print(const Cost& hashing,
             const Cost& hash_forward,
             const Cost& placement,
             const Cost& path,
             const Cost& rebuild) const {
    std::cout << absl::StrCat(
                     "{\"targets\":", options_.targets,
                     ",\"services\":", options_.services,
                     ",\"hash_ns\":", hashing.nanoseconds,
                     ",\"placement_ns\":", placement.nanoseconds,
                     ",\"placement_over_hash\":",
                     placement.nanoseconds / hashing.nanoseconds,
                     ",\"hash_forward_ns\":", hash_forward.nanoseconds,
                     ",\"placement_over_hash_forward\":",
                     placement.nanoseconds / hash_forward.nanoseconds,
                     ",\"placement_allocations\":", placement.allocations,
                     ",\"path_ns\":", path.nanoseconds,
                     ",\"path_allocations\":", path.allocations,
                     ",\"rebuild_ns\":", rebuild.nanoseconds,
                     ",\"snapshot_bytes\":", snapshot_bytes_, "}")
              << std::endl;
  }

  const Options options_;
  std::vector<InstanceRecord> agents_;
  std::vector<ConfigRecord> config_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  uint64_t snapshot_bytes_ = 0;
  std::unique_ptr<Router> router_;
  std::vector<Request> requests_;
  std::vector<std::vector<uint8_t>> datagrams_;
};

int Main(int argc, char** argv) {
  Options options;
  po::options_description description(
      "Measures the entry's path of an established packet. Prints one JSON\n"
      "line per repeat: nanoseconds and allocations per packet of plain\n"
      "hashing, of placement, and of decode + placement + encode.\nOptions");
  description.add_options()("help", "show this text")(
      "targets", po::value(&options.targets)->default_value(10),
      "targets of all services")(
      "services", po::value(&options.services)->default_value(1),
      "services, which share the targets evenly; service 0 is measured")(
      "repeats", po::value(&options.repeats)->default_value(5), "repeats")(
      "packets", po::value(&options.packets)->default_value(200000),
      "packets per repeat");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return 2;
  }
  if (values.count("help") != 0) {
    std::cout << description;
    return 0;
  }
  if (options.services < 1 || options.targets < options.services ||
      options.packets < 100) {
    std::cerr << "--services needs 1 or more, --targets at least as many, "
                 "--packets 100 or more\n";
    return 2;
  }
  for (int i = 0; i < options.repeats; ++i)
    Bench(options).Run();
  return 0;
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
