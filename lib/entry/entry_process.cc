#include "skylarkshunt/entry/entry_process.h"

#include <atomic>
#include <utility>

#include "control_loop.h"
#include "data_plane.h"
#include "platform_loop.h"
#include "skylarkshunt/admin/admin_server.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

class EntryProcess : public RoleProcess {
 public:
  EntryProcess(CounterRegistry& counters, Wakeup wakeup)
      : counters_(counters), wakeup_(std::move(wakeup)) {}

  Result<void> Open(const ProcessOptions& options) {
    BOOST_OUTCOME_TRY(OpenSockets(options));
    BOOST_OUTCOME_TRY(OpenPlatform(options));
    EntryControl::Options control;
    control.self = Self(options);
    control.seeds = options.settings.seeds;
    control.random_seed = options.random_seed;
    BOOST_OUTCOME_TRY(machine, EntryControl::Create(std::move(control)));
    control_ = std::make_unique<EntryControlLoop>(
        EntryControlLoop::Parts{std::move(machine), *transport_, *platform_,
                                *data_, board_, counters_, wakeup_});
    control_->Start();
    platform_->Start();
    data_->Start();
    return Success();
  }

  ProcessAddresses addresses() const override {
    return {data_->callers(), transport_->local(), admin_->local()};
  }

  void BeginShutdown() override {
    if (leaving_since_ms_.load() != 0)
      return;
    leaving_since_ms_.store(absl::ToUnixMillis(MonotonicNow()));
    board_.SetHealthy(false);
    control_->BeginShutdown();
  }

  bool ended() const override {
    const int64_t since_ms = leaving_since_ms_.load();
    if (since_ms == 0)
      return false;
    const absl::Duration leaving =
        MonotonicNow() - absl::FromUnixMillis(since_ms);
    const bool quiet = leaving >= kLeaveQuiet && data_->Quiet() >= kLeaveQuiet;
    return quiet || leaving >= kLeaveLimit;
  }

  void SetEstablishedLogRate(uint32_t rate) override {
    data_->SetEstablishedLogRate(rate);
  }

 private:
  Result<void> OpenSockets(const ProcessOptions& options) {
    const Settings& settings = options.settings;
    EntryDataPlane::Options data;
    data.data = settings.data;
    data.incarnation = options.incarnation;
    data.policy = settings.placement_policy;
    data.random_seed = options.random_seed;
    data.established_log_rate = settings.established_log_rate;
    data.counters = &counters_;
    data.region = settings.region;
    BOOST_OUTCOME_TRY(plane, EntryDataPlane::Open(data));
    data_ = std::move(plane);
    ControlTransport::Options transport;
    transport.listen = settings.control;
    transport.counters = &counters_;
    transport.on_event = [this] { wakeup_.Notify(); };
    BOOST_OUTCOME_TRY(links, ControlTransport::Start(std::move(transport)));
    transport_ = std::move(links);
    BOOST_OUTCOME_TRY(admin,
                      AdminServer::Start(settings.admin, counters_, board_));
    admin_ = std::move(admin);
    return Success();
  }

  Result<void> OpenPlatform(const ProcessOptions& options) {
    PlatformClient::Options client;
    client.platform = options.settings.platform;
    client.timeout = options.settings.platform_timeout;
    PlatformLoop::Options loop;
    BOOST_OUTCOME_TRY(platform, PlatformClient::Create(client));
    loop.client = std::move(platform);
    loop.region = options.settings.region;
    loop.random_seed = options.random_seed;
    loop.counters = &counters_;
    loop.on_event = [this] { wakeup_.Notify(); };
    platform_ = std::make_unique<PlatformLoop>(std::move(loop));
    return Success();
  }

  InstanceRecord Self(const ProcessOptions& options) const {
    InstanceRecord self;
    self.uid = MakeEntryUid(data_->callers().ToString());
    self.role = Role::kEntry;
    self.incarnation = options.incarnation;
    self.region = options.settings.region;
    self.data_centre = options.settings.data_centre;
    self.data = data_->callers();
    self.control = transport_->local();
    self.admin = admin_->local();
    return self;
  }

  // A member may use those above it; destruction runs from the last one.
  CounterRegistry& counters_;
  Wakeup wakeup_;
  StatusBoard board_;
  std::atomic<int64_t> leaving_since_ms_{0};
  std::unique_ptr<EntryDataPlane> data_;
  std::unique_ptr<ControlTransport> transport_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<PlatformLoop> platform_;
  std::unique_ptr<EntryControlLoop> control_;
};

}  // namespace

Result<std::unique_ptr<RoleProcess>> StartEntry(const ProcessOptions& options) {
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  auto process =
      std::make_unique<EntryProcess>(*options.counters, std::move(wakeup));
  BOOST_OUTCOME_TRY(process->Open(options));
  return std::unique_ptr<RoleProcess>(std::move(process));
}

}  // namespace skylarkshunt
