#include "skylarkshunt/node/node_process.h"

#include <utility>

#include "absl/strings/strip.h"
#include "configuration_follower.h"
#include "data_loop.h"
#include "decision_history.h"
#include "evacuation_follower.h"
#include "node_status.h"
#include "skylarkshunt/http/http_server.h"
#include "target_prober.h"

namespace skylarkshunt {
namespace {

constexpr int kNotFound = 404;
/// The path continues with a flow, or with nothing for all flows.
constexpr absl::string_view kDecisionsPath = "/decisions/";
constexpr int kUnavailable = 503;

class RunningNode : public NodeProcess {
 public:
  RunningNode() = default;
  RunningNode(const RunningNode&) = delete;
  RunningNode& operator=(const RunningNode&) = delete;
  ~RunningNode() override {
    // The data thread calls the other members, and they send commands to it.
    if (loop_ != nullptr)
      loop_->Stop();
  }

  Result<void> Open(const Options& options) {
    DataLoop::Options data;
    data.node = options.node;
    data.packets = options.adapter.packets;
    data.incarnation = options.incarnation;
    data.counters = options.counters;
    data.history = &history_;
    data.board = &board_;
    name_ = options.node.name;
    data.notices.on_configuration_offered =
        [this](uint32_t address, const ConfigurationId& offered) {
          follower_->OnOffer(address, offered);
        };
    data.notices.on_evacuations_outdated = [this] {
      if (evacuations_ != nullptr)
        evacuations_->Refresh();
    };
    data.notices.on_target_check_needed = [this] { prober_->Probe(); };
    BOOST_OUTCOME_TRY(loop, DataLoop::Open(data));
    loop_ = std::move(loop);

    ConfigurationFollower::Options follower;
    follower.node = options.node;
    follower.key = options.adapter.configuration_key;
    follower.read = options.adapter.read_configuration;
    follower.counters = options.counters;
    follower.command = [this](DataCommand command) {
      return loop_->Command(std::move(command));
    };
    follower.is_connected = [this] { return loop_->is_connected(); };
    follower.entry_rank = [this] { return loop_->entry_rank(); };
    follower.random_seed = options.random_seed;
    BOOST_OUTCOME_TRY(created, ConfigurationFollower::Create(follower));
    follower_ = std::move(created);

    if (options.node.role == Role::kEntry &&
        options.node.evacuation_limit > absl::ZeroDuration()) {
      BOOST_OUTCOME_TRYV(OpenEvacuations(options));
    }
    if (options.node.role == Role::kAgent)
      OpenProber(options.node);
    BOOST_OUTCOME_TRYV(OpenHttp(options));
    follower_->Start();
    if (evacuations_ != nullptr)
      evacuations_->Start();
    loop_->Start();
    return Success();
  }

  void BeginShutdown() override { loop_->Command(BeginShutdownCommand{}); }
  bool ended() const override { return loop_->ended(); }

 private:
  Result<void> OpenEvacuations(const Options& options) {
    EvacuationFollower::Options follower;
    follower.node = options.node;
    follower.prefix = options.adapter.evacuation_prefix;
    follower.counters = options.counters;
    follower.command = [this](DataCommand command) {
      return loop_->Command(std::move(command));
    };
    follower.random_seed = options.random_seed;
    BOOST_OUTCOME_TRY(created, EvacuationFollower::Create(follower));
    evacuations_ = std::move(created);
    return Success();
  }

  void OpenProber(const NodeOptions& node) {
    TargetProber::Options prober;
    prober.target = node.target;
    prober.health_path = [this, service = MakeServiceUid(node.service)] {
      const std::shared_ptr<const RouteTable> routes = follower_->routes();
      if (routes == nullptr)
        return std::string();
      const auto found = routes->services.find(service);
      return found == routes->services.end() ? std::string()
                                             : found->second.health_path;
    };
    prober.on_outcome = [this](const TargetProbe& probe) {
      loop_->Command(probe);
    };
    prober_ = std::make_unique<TargetProber>(std::move(prober));
  }

  Result<void> OpenHttp(const Options& options) {
    NodeHooks hooks;
    hooks.is_ready = [this] { return loop_->is_ready(); };
    hooks.on_target_report = [this](const TargetReport& report) {
      return loop_->Command(report);
    };
    hooks.on_target_left = [this](absl::string_view id, int64_t started) {
      return loop_->Command(TargetLeft{std::string(id), started});
    };
    HttpServer::Options http;
    if (options.node.readiness.port != 0) {
      http.listeners.push_back(
          {options.node.readiness, options.adapter.readiness(hooks)});
    }
    if (options.node.target_reports.port != 0) {
      http.listeners.push_back(
          {options.node.target_reports, options.adapter.target_reports(hooks)});
    }
    const HttpServer::Handler peers =
        [this, counters = options.counters](const HttpRequest& request) {
          return AnswerPeer(request, *counters);
        };
    http.listeners.push_back({options.node.peers, peers});
    if (options.node.metrics.port != 0)
      http.listeners.push_back({options.node.metrics, peers});
    BOOST_OUTCOME_TRY(server, HttpServer::Start(std::move(http)));
    http_ = std::move(server);
    return Success();
  }

  /// Answers requests of other nodes and of operators.
  HttpResponse AnswerPeer(const HttpRequest& request,
                          const CounterRegistry& counters) const {
    HttpResponse response;
    absl::string_view flow = request.target;
    absl::string_view part = request.target;
    if (absl::ConsumePrefix(&part, kConfigurationPath)) {
      response = follower_->AnswerPart(part);
    } else if (request.target == "/node") {
      response.body = board_.ToJson(name_);
      response.status = response.body.empty() ? kUnavailable : response.status;
    } else if (absl::ConsumePrefix(&flow, kDecisionsPath)) {
      response.body = history_.ToJson(flow);
    } else if (request.target == "/metrics") {
      response.content_type = "text/plain; version=0.0.4";
      response.body = counters.ToText();
    } else {
      response.status = kNotFound;
    }
    return response;
  }

  std::string name_;
  DecisionHistory history_;
  NodeStatusBoard board_;
  // The threads of later members use earlier members, so they are destroyed
  // first.
  std::unique_ptr<DataLoop> loop_;
  std::unique_ptr<ConfigurationFollower> follower_;
  /// Null unless the deployment uses evacuations.
  std::unique_ptr<EvacuationFollower> evacuations_;
  std::unique_ptr<TargetProber> prober_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace

Result<std::unique_ptr<NodeProcess>> NodeProcess::Start(
    const Options& options) {
  auto node = std::make_unique<RunningNode>();
  BOOST_OUTCOME_TRYV(node->Open(options));
  return std::unique_ptr<NodeProcess>(std::move(node));
}

}  // namespace skylarkshunt
