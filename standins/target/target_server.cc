#include "standins/target/target_server.h"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

using nlohmann::ordered_json;

constexpr size_t kMaxBodyBytes = 65'536;
// The library keeps a thread per connection: room for the agent's workers, a
// full queue, and for tests that look on.
constexpr size_t kSpareThreads = 16;
constexpr size_t kMaxThreads = 256;
constexpr size_t kRequestsPerConnection = 1'000'000;
constexpr time_t kIdleConnectionS = 60;
constexpr int64_t kMaxRequestDeadlineMs = 600'000;

std::string Host(Endpoint endpoint) {
  const std::string text = endpoint.ToString();
  return text.substr(0, text.find(':'));
}

class HttpTargetServer : public TargetServer {
 public:
  explicit HttpTargetServer(const Target::Options& options) : target_(options) {
    const size_t threads = std::min<size_t>(
        kMaxThreads, options.slots + options.queue + kSpareThreads);
    server_.new_task_queue = [threads] {
      return new httplib::ThreadPool(threads);
    };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(kRequestsPerConnection);
    server_.set_keep_alive_timeout(kIdleConnectionS);
    server_.set_payload_max_length(kMaxBodyBytes);
    Route();
  }

  ~HttpTargetServer() override {
    target_.Stop();
    server_.stop();
    if (thread_.joinable())
      thread_.join();
  }

  Result<void> Listen(Endpoint listen) {
    address_ = listen;
    if (listen.port == 0) {
      const int port = server_.bind_to_any_port(Host(listen));
      address_.port = static_cast<uint16_t>(std::max(0, port));
    } else if (!server_.bind_to_port(Host(listen), listen.port)) {
      address_.port = 0;
    }
    if (address_.port == 0) {
      return MakeError(ErrorKind::kAddressInUse,
                       absl::StrCat("cannot bind TCP ", listen.ToString()),
                       "set another address");
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // stop() has no effect on a server that does not run yet.
    while (!server_.is_running())
      absl::SleepFor(absl::Milliseconds(1));
    return Success();
  }

  Endpoint address() const override { return address_; }
  Target& target() override { return target_; }

 private:
  void Route() {
    server_.Post("/request", [this](const auto& request, auto& response) {
      OnRequest(request, &response);
    });
    server_.Get("/health", [this](const auto&, auto& response) {
      const bool healthy = target_.Observe().healthy;
      response.status = healthy ? 200 : 503;
      response.set_content(healthy ? "healthy" : "sick", "text/plain");
    });
    server_.Get("/load", [this](const auto&, auto& response) {
      response.set_content(LoadJson(), "application/json");
    });
    server_.Get("/runs", [this](const auto&, auto& response) {
      response.set_content(RunsJson(), "application/json");
    });
    server_.Get("/counts", [this](const auto&, auto& response) {
      response.set_content(CountsJson(), "application/json");
    });
    server_.Post("/fault", [this](const auto& request, auto& response) {
      const auto faults = ParseTargetFaults(request.body);
      if (!faults)
        return Refuse(faults.error().ToString(), &response);
      target_.SetFaults(faults.value());
    });
  }

  static void Refuse(const std::string& text, httplib::Response* response) {
    response->status = 400;
    response->set_content(text, "text/plain");
  }

  void OnRequest(const httplib::Request& request, httplib::Response* response) {
    const auto order = ParseWorkOrder(request.body);
    if (!order)
      return Refuse(order.error().ToString(), response);
    const RequestId& id = order.value().request_id;
    if (request.get_header_value("X-Request-Id") != ToHex(id))
      return Refuse("X-Request-Id is not the id of the body", response);
    int64_t deadline_ms = 0;
    if (!absl::SimpleAtoi(request.get_header_value("X-Deadline-Ms"),
                          &deadline_ms) ||
        deadline_ms < 0 || deadline_ms > kMaxRequestDeadlineMs) {
      return Refuse("X-Deadline-Ms is not a time in milliseconds", response);
    }
    const Target::Ended ended =
        target_.Run(order.value(), request.get_header_value("X-Kind"),
                    absl::Now() + absl::Milliseconds(deadline_ms));
    Respond(ended, order.value(), response);
  }

  static void Respond(Target::Ended ended,
                      const WorkOrder& order,
                      httplib::Response* response) {
    switch (ended) {
      case Target::Ended::kAnswered:
        response->set_content(MakeAnswer(order.request_id, order.answer_bytes),
                              "application/octet-stream");
        return;
      case Target::Ended::kFailed:
        response->status = 500;
        response->set_content("failed", "text/plain");
        return;
      case Target::Ended::kShed:
        response->status = 503;
        response->set_header("X-Not-Run", "1");
        return;
      case Target::Ended::kCut:
        // A provider that fails makes the library close the connection before
        // the body.
        response->set_content_provider(
            std::max<uint64_t>(1, order.answer_bytes),
            "application/octet-stream",
            [](size_t, size_t, httplib::DataSink&) { return false; });
        return;
    }
  }

  std::string LoadJson() {
    const Target::View view = target_.Observe();
    const ordered_json json = {{"running", view.running},
                               {"queued", view.queued},
                               {"slots", target_.slots()}};
    return json.dump();
  }

  std::string RunsJson() const {
    ordered_json json = ordered_json::array();
    const RunLog log = target_.Log();
    for (const auto& [id, run] : log.runs()) {
      ordered_json item = {{"id", ToHex(id)},
                           {"kind", run.kind},
                           {"start_ms", absl::ToUnixMillis(run.first_start)},
                           {"count", run.count}};
      if (run.last_end != absl::InfiniteFuture())
        item["end_ms"] = absl::ToUnixMillis(run.last_end);
      json.push_back(std::move(item));
    }
    return json.dump();
  }

  std::string CountsJson() const {
    const TargetCounts counts = target_.Counts();
    const RunLog log = target_.Log();
    ordered_json kinds = ordered_json::object();
    uint64_t runs = 0;
    for (const auto& [name, kind] : log.kinds()) {
      runs += kind.runs;
      kinds[name] = {{"runs", kind.runs}, {"doubled", kind.doubled}};
    }
    const ordered_json json = {{"runs", runs},
                               {"requests", log.runs().size()},
                               {"unlogged", log.unlogged()},
                               {"kinds", kinds},
                               {"running", counts.running},
                               {"queued", counts.queued},
                               {"max_running", counts.max_running},
                               {"shed", counts.shed},
                               {"failed", counts.failed},
                               {"cut", counts.cut}};
    return json.dump();
  }

  Target target_;
  httplib::Server server_;
  Endpoint address_;
  std::thread thread_;
};

}  // namespace

Result<std::unique_ptr<TargetServer>> TargetServer::Start(
    Endpoint listen,
    const Target::Options& options) {
  auto server = std::make_unique<HttpTargetServer>(options);
  BOOST_OUTCOME_TRY(server->Listen(listen));
  return std::unique_ptr<TargetServer>(std::move(server));
}

}  // namespace skylarkshunt
