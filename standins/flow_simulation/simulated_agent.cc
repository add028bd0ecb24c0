#include "standins/flow_simulation/simulated_agent.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

#include "skylarkshunt/forwarding/agent_directory.h"

namespace skylarkshunt {
namespace {

/// Constants of lib/node/agent_loop.cc.
constexpr absl::Duration kMinLeaveTime = absl::Milliseconds(150);
constexpr uint32_t kAssumedSlots = 4;
/// An agent with running requests ends this long after its SIGTERM.
constexpr absl::Duration kMaxLeaveTime = absl::Seconds(8);
constexpr absl::Duration kMinProbeTime = absl::Milliseconds(1);
constexpr absl::Duration kMaxProbeTime = absl::Milliseconds(15);
constexpr absl::Duration kMinFetchTime = absl::Milliseconds(10);
constexpr absl::Duration kMaxFetchTime = absl::Milliseconds(80);
/// Constant of lib/node/agent_loop.cc.
constexpr size_t kRegularReceivers = 1;
constexpr uint64_t kFirstUid = 100;

std::tuple<uint32_t, uint16_t> OrderOf(const AgentActions::ResetClient& reset) {
  return {reset.flow.client.address, reset.flow.client.port};
}

}  // namespace

InstanceUid AgentUid(size_t index) {
  return InstanceUid{kFirstUid + index};
}

Actor AgentActor(InstanceUid uid) {
  if (ToNumber(uid) < kFirstUid)
    return {};
  return {ActorKind::kAgent, static_cast<size_t>(ToNumber(uid) - kFirstUid)};
}

struct SimulatedAgent::MessageHandler {
  SimulatedAgent& agent;
  uint32_t source;
  absl::Time now;

  void operator()(const EntryReport& report) const {
    if (agent.nodes_->RecordMessage({source, Role::kEntry}, now,
                                    absl::Milliseconds(report.interval_ms))) {
      agent.SendConfiguration({source});
    }
    for (const NodeAddress& node : report.nodes)
      agent.nodes_->Learn(node, now);
  }
  void operator()(const ConfigurationReport& report) const {
    const ConfigurationExchange::Outcome outcome =
        agent.exchange_->OnReport(report);
    if (outcome == ConfigurationExchange::Outcome::kOlder)
      agent.SendConfiguration({source});
    if (outcome == ConfigurationExchange::Outcome::kNewer)
      agent.FetchConfiguration(report.held);
  }
  void operator()(const ForwardedPacket& forwarded) const {
    agent.forwarder_->OnForwarded(forwarded, HeaderOf(forwarded.packet),
                                  {source, kPeerPort}, now, agent.actions_);
    agent.Execute();
  }
  void operator()(const FlowQuery& query) const {
    agent.forwarder_->OnQuery(query, {source, kPeerPort}, now, agent.actions_);
    agent.Execute();
  }
  void operator()(const QueryAnswer&) const {}
  void operator()(const AgentReport&) const {}
  void operator()(const ReturnedPacket&) const {}
  void operator()(const FlowPlaced&) const {}
  void operator()(const EvacuationReport&) const {}
  void operator()(const RefusalReport&) const {}
};

SimulatedAgent::SimulatedAgent(SimulationContext& context,
                               size_t index,
                               size_t data_centre,
                               uint32_t address,
                               std::string service,
                               std::vector<uint32_t> seeds)
    : SimulatedProcess(context,
                       {ActorKind::kAgent, index},
                       {Input::kCommand, Input::kPacket, Input::kMessage}),
      address_(address),
      data_centre_(data_centre),
      service_(std::move(service)),
      seeds_(std::move(seeds)),
      target_(context,
              index,
              service_,
              {[this](const PacketHeader& header) { OnTargetPacket(header); },
               [this](const TargetReport& report) {
                 return OnTargetReport(report);
               },
               [this](const std::string& id) { OnTargetLeft(id); }}) {}

void SimulatedAgent::OnStart() {
  identity_.uid = AgentUid(actor_.index);
  identity_.incarnation = Incarnation{++incarnation_};
  identity_.service = MakeServiceUid(service_);
  identity_.data_centre = static_cast<uint32_t>(data_centre_ + 1);
  AgentForwarder::Options options;
  options.identity = identity_;
  options.service = service_;
  options.report_interval = SimulatedTarget::kReportInterval;
  forwarder_ = std::make_unique<AgentForwarder>(options, started_);
  nodes_ = std::make_unique<NodeDirectory>(
      Role::kAgent, address_, kAgentReportInterval, seeds_, started_);
  exchange_ = std::make_unique<ConfigurationExchange>(kRegularReceivers);
  fetching_ = {};
  sequence_ = 0;
  probing_ = false;
  actions_.Clear();
}

void SimulatedAgent::OnTerminate() {
  forwarder_->BeginShutdown();
  nodes_->MakeAllDue();
}

bool SimulatedAgent::IsEndComplete(absl::Duration leaving) const {
  return leaving >= kMaxLeaveTime ||
         (leaving >= kMinLeaveTime &&
          (forwarder_->is_idle() ||
           forwarder_->is_target_gone(context_.events.now())));
}

void SimulatedAgent::OnMessage(uint32_t source,
                               std::shared_ptr<const StoredMessage> message) {
  Receive(Input::kMessage, [this, source, message = std::move(message)] {
    std::visit(MessageHandler{*this, source, context_.events.now()},
               message->message());
  });
}

void SimulatedAgent::OnTargetPacket(const PacketHeader& header) {
  Receive(Input::kPacket, [this, header] {
    forwarder_->OnTargetPacket(header, BytesOf(header), context_.events.now(),
                               actions_);
    Execute();
  });
}

bool SimulatedAgent::OnTargetReport(const TargetReport& report) {
  if (!is_running())
    return false;
  Receive(Input::kCommand, [this, report] {
    const TargetChange change =
        forwarder_->OnTargetReport(report, context_.events.now(), actions_);
    Execute();
    if (change != TargetChange::kNone)
      nodes_->MakeAllDue();
  });
  return true;
}

void SimulatedAgent::OnTargetLeft(const std::string& id) {
  Receive(Input::kCommand, [this, id] {
    forwarder_->OnTargetLeft(id, 0);
    nodes_->MakeAllDue();
  });
}

void SimulatedAgent::ProbeTarget() {
  if (std::exchange(probing_, true))
    return;
  const absl::Duration time =
      context_.random.Between(kMinProbeTime, kMaxProbeTime);
  const bool refused = !target_.is_running();
  AfterWhileRunning(time, [this, refused, began = context_.events.now()] {
    probing_ = false;
    Receive(Input::kCommand, [this, refused, began] {
      if (refused) {
        forwarder_->OnTargetCrashed(began, context_.events.now(), actions_);
      } else {
        forwarder_->OnTargetHealthy(kAssumedSlots);
        nodes_->MakeAllDue();
      }
      Execute();
    });
  });
}

void SimulatedAgent::FetchConfiguration(const ConfigurationId& offered) {
  if (!(offered > std::max(exchange_->held(), fetching_)))
    return;
  fetching_ = offered;
  const absl::Duration time =
      context_.random.Between(kMinFetchTime, kMaxFetchTime);
  AfterWhileRunning(time, [this, offered] {
    Receive(Input::kCommand, [this, offered] {
      if (!(offered > exchange_->held()))
        return;
      const absl::Time now = context_.events.now();
      const bool first = exchange_->held().version == 0;
      SendConfiguration(exchange_->SetHeld(offered, *nodes_, now));
      if (first && forwarder_->is_target_gone(now))
        ProbeTarget();
    });
  });
}

void SimulatedAgent::SendConfiguration(absl::Span<const uint32_t> addresses) {
  for (const uint32_t address : addresses)
    context_.network.SendMessage(address_, address, exchange_->MakeReport());
}

void SimulatedAgent::OnTick() {
  forwarder_->Tick(context_.events.now(), actions_);
  Execute();
  SendReports();
}

void SimulatedAgent::OnSweep() {
  const absl::Time now = context_.events.now();
  nodes_->RemoveUnresponsive(now);
  SendConfiguration(exchange_->NextReceivers(*nodes_, now));
}

void SimulatedAgent::SendReports() {
  const absl::Time now = context_.events.now();
  if (!nodes_->IsReportTime(now))
    return;
  const absl::Duration interval =
      AgentReportInterval(nodes_->CountPresentEntries(now));
  nodes_->SetInterval(interval);
  std::vector<uint32_t> due;
  nodes_->TakeDue(now, due);
  if (due.empty())
    return;
  std::sort(due.begin(), due.end());
  AgentReport report;
  report.agent = identity_;
  report.sequence = ++sequence_;
  report.load = forwarder_->load(now);
  report.interval_ms =
      static_cast<uint16_t>(absl::ToInt64Milliseconds(interval));
  for (const uint32_t address : due)
    context_.network.SendMessage(address_, address, report);
}

void SimulatedAgent::Execute() {
  for (const Decision& decision : actions_.decisions)
    context_.Record(decision.flow, actor_, DecisionName(decision.kind),
                    decision.reason, {}, decision.hops);
  for (const AgentActions::ToTarget& action : actions_.to_target) {
    PacketHeader header = HeaderOf(action.packet);
    header.return_token = action.return_token;
    header.returned = false;
    target_.Receive(header);
  }
  for (const AgentActions::ToClient& action : actions_.to_clients)
    context_.network.SendToClient(address_, HeaderOf(action.packet));
  for (const AgentActions::ToEntry& action : actions_.to_entries) {
    NodeMessage message = action.message;
    PacketHeader header;
    if (auto* returned = std::get_if<ReturnedPacket>(&message)) {
      header = HeaderOf(returned->packet);
      header.returned = false;
      header.return_token = 0;
      returned->packet = BytesOf(header);
      if (returned->mode != ForwardMode::kOpening)
        context_.Record(header.flow_from_client(), actor_, "answers",
                        "not_held");
    }
    context_.network.SendMessage(address_, action.entry.address,
                                 std::move(message));
  }
  // The order of the agent's table differs between runs.
  std::sort(
      actions_.resets.begin(), actions_.resets.end(),
      [](const auto& a, const auto& b) { return OrderOf(a) < OrderOf(b); });
  for (const AgentActions::ResetClient& reset : actions_.resets) {
    SentReset sent{reset.flow, reset.sequence, actor_, {}, {}};
    for (const Decision& decision : actions_.decisions) {
      if (decision.flow == reset.flow)
        sent.reason = decision.reason;
    }
    context_.network.SendReset(address_, sent);
  }
  const bool probe = actions_.probe_target;
  actions_.Clear();
  if (probe)
    ProbeTarget();
}

}  // namespace skylarkshunt
