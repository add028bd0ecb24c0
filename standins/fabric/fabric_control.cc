#include "standins/fabric/fabric_control.h"

#include <httplib.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/memory/memory.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(200);
constexpr time_t kHealthTimeoutUs = 300'000;
constexpr size_t kThreads = 2;

std::string Host(Endpoint endpoint) {
  const std::string text = endpoint.ToString();
  return text.substr(0, text.find(':'));
}

bool IsHealthy(const FabricEntry& entry) {
  if (!entry.admin)
    return true;
  httplib::Client client(Host(*entry.admin), entry.admin->port);
  client.set_connection_timeout(0, kHealthTimeoutUs);
  client.set_read_timeout(0, kHealthTimeoutUs);
  const auto answer = client.Get("/healthz");
  return answer && answer->status == 200;
}

class HttpFabricControl : public FabricControl {
 public:
  HttpFabricControl(std::vector<FabricEntry> entries, Fabric* fabric)
      : fabric_(fabric), entries_(std::move(entries)) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.Post("/entries", [this](const auto& request, auto& response) {
      OnEntries(request, &response);
    });
    server_.Post("/fault", [this](const auto& request, auto& response) {
      OnFault(request, &response);
    });
    server_.Get("/counts", [this](const auto&, auto& response) {
      response.set_content(CountsJson(), "application/json");
    });
  }

  ~HttpFabricControl() override {
    stop_ = true;
    server_.stop();
    for (std::thread& thread : threads_)
      thread.join();
  }

  Result<void> Listen(Endpoint listen) {
    const std::string host = Host(listen);
    address_ = listen;
    if (listen.port == 0) {
      const int port = server_.bind_to_any_port(host);
      address_.port = static_cast<uint16_t>(std::max(0, port));
    } else if (!server_.bind_to_port(host, listen.port)) {
      address_.port = 0;
    }
    if (address_.port == 0) {
      return MakeError(ErrorKind::kAddressInUse,
                       absl::StrCat("cannot bind TCP ", listen.ToString()),
                       "set another address");
    }
    Poll();
    threads_.emplace_back([this] { server_.listen_after_bind(); });
    threads_.emplace_back([this] { PollUntilStopped(); });
    // stop() has no effect on a server that does not run yet.
    while (!server_.is_running())
      absl::SleepFor(absl::Milliseconds(1));
    return Success();
  }

  Endpoint address() const override { return address_; }

 private:
  static void Refuse(const Error& error, httplib::Response* response) {
    response->status = 400;
    response->set_content(error.ToString(), "text/plain");
  }

  void OnEntries(const httplib::Request& request, httplib::Response* response) {
    const auto entries = ParseFabricEntries(request.body);
    if (!entries)
      return Refuse(entries.error(), response);
    {
      absl::MutexLock lock(&mutex_);
      entries_ = entries.value();
    }
    Poll();
  }

  void OnFault(const httplib::Request& request, httplib::Response* response) {
    const auto faults = ParseFabricFaults(request.body);
    if (!faults)
      return Refuse(faults.error(), response);
    fabric_->SetFaults(faults.value());
  }

  std::string CountsJson() const {
    const FabricCounts counts = fabric_->Counts();
    const nlohmann::ordered_json json = {
        {"to_entry", counts.to_entry},
        {"from_entry", counts.from_entry},
        {"dropped", counts.dropped},
        {"duplicated", counts.duplicated},
        {"delayed", counts.delayed},
        {"no_entry", counts.no_entry},
        {"replaced_callers", counts.replaced_callers}};
    return json.dump();
  }

  // Asks every entry and hands the healthy ones to the fabric. The lock covers
  // all of it, so that an older list cannot replace a newer one.
  void Poll() {
    absl::MutexLock lock(&mutex_);
    std::vector<Endpoint> healthy;
    for (const FabricEntry& entry : entries_) {
      if (IsHealthy(entry))
        healthy.push_back(entry.data);
    }
    fabric_->SetEntries(std::move(healthy));
  }

  void PollUntilStopped() {
    while (!stop_) {
      absl::SleepFor(kPollInterval);
      Poll();
    }
  }

  Fabric* const fabric_;
  httplib::Server server_;
  Endpoint address_;
  std::atomic<bool> stop_{false};
  absl::Mutex mutex_;
  std::vector<FabricEntry> entries_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

}  // namespace

Result<std::unique_ptr<FabricControl>> FabricControl::Start(
    Endpoint listen,
    std::vector<FabricEntry> entries,
    Fabric* fabric) {
  auto control =
      std::make_unique<HttpFabricControl>(std::move(entries), fabric);
  BOOST_OUTCOME_TRY(control->Listen(listen));
  return std::unique_ptr<FabricControl>(std::move(control));
}

}  // namespace skylarkshunt
