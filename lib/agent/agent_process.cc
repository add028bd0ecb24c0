#include "skylarkshunt/agent/agent_process.h"

#include <utility>

#include "control_loop.h"
#include "data_loop.h"
#include "directory_reader.h"
#include "skylarkshunt/admin/admin_server.h"

namespace skylarkshunt {
namespace {

class AgentProcess : public RoleProcess {
 public:
  AgentProcess(CounterRegistry& counters, Wakeup wakeup)
      : counters_(counters), wakeup_(std::move(wakeup)) {}

  Result<void> Open(const ProcessOptions& options) {
    BOOST_OUTCOME_TRY(OpenSockets(options));
    BOOST_OUTCOME_TRY(OpenPlatform(options));
    AgentControl::Options control;
    control.self = Self(options);
    control.service_name = options.settings.service;
    control.seeds = options.settings.seeds;
    control.random_seed = options.random_seed;
    BOOST_OUTCOME_TRY(machine, AgentControl::Create(std::move(control)));
    control_ = std::make_unique<AgentControlLoop>(AgentControlLoop::Parts{
        std::move(machine), options.settings.service, *transport_, *data_,
        *directory_, board_, wakeup_});
    directory_->Start();
    control_->Start();
    data_->Start();
    return Success();
  }

  ProcessAddresses addresses() const override {
    return {data_->local(), Endpoint{}, admin_->local()};
  }

  void BeginShutdown() override {
    board_.SetHealthy(false);
    control_->BeginShutdown();
  }

  bool ended() const override { return control_->ended(); }

  void SetEstablishedLogRate(uint32_t rate) override {
    data_->SetEstablishedLogRate(rate);
  }

 private:
  Result<void> OpenSockets(const ProcessOptions& options) {
    const Settings& settings = options.settings;
    AgentDataLoop::Options data;
    data.data = settings.data;
    data.target = settings.target;
    data.policy = settings.agent_policy;
    data.random_seed = options.random_seed;
    data.established_log_rate = settings.established_log_rate;
    data.counters = &counters_;
    data.on_report = [this] { wakeup_.Notify(); };
    BOOST_OUTCOME_TRY(loop, AgentDataLoop::Open(data));
    data_ = std::move(loop);
    ControlTransport::Options transport;
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
    BOOST_OUTCOME_TRY(platform, PlatformClient::Create(client));
    DirectoryReader::Options reader;
    reader.client = std::move(platform);
    reader.region = options.settings.region;
    reader.random_seed = options.random_seed;
    reader.counters = &counters_;
    reader.on_read = [this] { wakeup_.Notify(); };
    directory_ = std::make_unique<DirectoryReader>(std::move(reader));
    return Success();
  }

  InstanceRecord Self(const ProcessOptions& options) const {
    InstanceRecord self;
    self.role = Role::kAgent;
    self.incarnation = options.incarnation;
    self.region = options.settings.region;
    self.data_centre = options.settings.data_centre;
    self.data = data_->local();
    self.admin = admin_->local();
    self.target = options.settings.target;
    return self;
  }

  // A member may use those above it; destruction runs from the last one.
  CounterRegistry& counters_;
  Wakeup wakeup_;
  StatusBoard board_;
  std::unique_ptr<AgentDataLoop> data_;
  std::unique_ptr<ControlTransport> transport_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<DirectoryReader> directory_;
  std::unique_ptr<AgentControlLoop> control_;
};

}  // namespace

Result<std::unique_ptr<RoleProcess>> StartAgent(const ProcessOptions& options) {
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  auto process =
      std::make_unique<AgentProcess>(*options.counters, std::move(wakeup));
  BOOST_OUTCOME_TRY(process->Open(options));
  return std::unique_ptr<RoleProcess>(std::move(process));
}

}  // namespace skylarkshunt
