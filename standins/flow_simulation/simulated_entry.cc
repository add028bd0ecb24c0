#include "standins/flow_simulation/simulated_entry.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "skylarkshunt/forwarding/node_codec.h"
#include "standins/flow_simulation/simulated_agent.h"

namespace skylarkshunt {
namespace {

/// Constants of lib/node/entry_loop.cc.
constexpr size_t kUsualReportedNodes = 24;
constexpr size_t kRegularReceivers = 8;
constexpr absl::Duration kReadyWithoutAgentsDelay = absl::Seconds(2);
constexpr absl::Duration kLeaveQuietPeriod = absl::Milliseconds(700);
constexpr absl::Duration kMinLeaveTime = absl::Milliseconds(1700);
/// An entry that gets packets all the time ends this long after its SIGTERM.
constexpr absl::Duration kMaxLeaveTime = absl::Seconds(8);
constexpr absl::Duration kMinStoreDelay = absl::Milliseconds(20);
/// Time to fetch a configuration from another node.
constexpr absl::Duration kMinFetchTime = absl::Milliseconds(10);
constexpr absl::Duration kMaxFetchTime = absl::Milliseconds(80);

uint32_t DataCentreHash(size_t data_centre) {
  return static_cast<uint32_t>(data_centre + 1);
}

}  // namespace

struct SimulatedEntry::MessageHandler {
  SimulatedEntry& entry;
  uint32_t source;
  absl::Time now;

  Endpoint endpoint() const { return {source, kPeerPort}; }

  void operator()(const AgentReport& report) const {
    entry.RecordNode({source, Role::kAgent}, report.interval_ms);
    entry.forwarder_->agents().UpdateFromReport(report, endpoint(), now);
  }
  void operator()(const EntryReport& report) const {
    entry.RecordNode({source, Role::kEntry}, report.interval_ms);
    for (const NodeAddress& node : report.nodes)
      entry.nodes_->Learn(node, now);
  }
  void operator()(const ConfigurationReport& report) const {
    const ConfigurationExchange::Outcome outcome =
        entry.exchange_->OnReport(report);
    if (outcome == ConfigurationExchange::Outcome::kOlder)
      entry.SendConfiguration({source});
    if (outcome == ConfigurationExchange::Outcome::kNewer) {
      entry.FetchConfiguration(
          report.held.version,
          entry.context_.random.Between(kMinFetchTime, kMaxFetchTime));
    }
  }
  void operator()(const ForwardedPacket&) const {}
  void operator()(const ReturnedPacket& returned) const {
    entry.forwarder_->OnReturned(returned, HeaderOf(returned.packet),
                                 endpoint(), now, entry.actions_);
    entry.Execute();
  }
  void operator()(const FlowPlaced& placed) const {
    entry.forwarder_->OnPlaced(placed, endpoint(), now, entry.actions_);
    entry.Execute();
  }
  void operator()(const FlowQuery&) const {}
  void operator()(const QueryAnswer& answer) const {
    entry.forwarder_->OnQueryAnswer(answer, endpoint(), now, entry.actions_);
    entry.Execute();
  }
  // The simulation has no evacuations.
  void operator()(const EvacuationReport&) const {}
  void operator()(const RefusalReport& report) const {
    if (!entry.nodes_->IsPresentEntry(source, now))
      return;
    if (entry.peers_->OnReport(source, report))
      entry.context_.network.SendMessage(entry.address_, source,
                                         entry.peers_->Reply());
    for (const RefusedRequest& request : report.requests)
      entry.forwarder_->retries().RecordReported(request, now);
  }
};

SimulatedEntry::SimulatedEntry(SimulationContext& context,
                               size_t index,
                               size_t data_centre,
                               uint32_t address,
                               std::vector<uint32_t> seeds)
    : SimulatedProcess(context,
                       {ActorKind::kEntry, index},
                       {Input::kCommand, Input::kMessage, Input::kPacket}),
      address_(address),
      data_centre_(data_centre),
      seeds_(std::move(seeds)) {}

void SimulatedEntry::OnStart() {
  forwarder_ =
      std::make_unique<EntryForwarder>(DataCentreHash(data_centre_), started_);
  forwarder_->SetLinkRate(context_.options.link_bytes_per_second);
  peers_ = std::make_unique<EntryPeers>(DataCentreHash(data_centre_));
  nodes_ = std::make_unique<NodeDirectory>(
      Role::kEntry, address_, EntryReportInterval(0), seeds_, started_);
  exchange_ = std::make_unique<ConfigurationExchange>(kRegularReceivers);
  self_ = EntryReport();
  self_.uid = InstanceUid{address_};
  self_.incarnation = Incarnation{++incarnation_};
  fetching_ = 0;
  actions_.Clear();
  last_packet_ = absl::InfinitePast();
  AfterWhileRunning(
      context_.random.Between(kMinStoreDelay, context_.store_delay),
      [this] { Receive(Input::kCommand, [this] { ReadStore(); }); });
}

void SimulatedEntry::OnTerminate() {
  self_.leaving = true;
  nodes_->MakeAllDue();
}

bool SimulatedEntry::IsReady() const {
  const absl::Time now = context_.events.now();
  return IsAnswering() && !is_leaving() && forwarder_->routes() != nullptr &&
         (HasAgents() || now - started_ > kReadyWithoutAgentsDelay);
}

bool SimulatedEntry::HasAgents() const {
  bool any = false;
  forwarder_->agents().ForEach([&any](const AgentView&) { any = true; });
  return any;
}

bool SimulatedEntry::IsEndComplete(absl::Duration leaving) const {
  return leaving >= kMaxLeaveTime ||
         (leaving >= kMinLeaveTime &&
          context_.events.now() - last_packet_ >= kLeaveQuietPeriod);
}

void SimulatedEntry::OnClientPacket(const PacketHeader& header) {
  Receive(Input::kPacket, [this, header] {
    const FlowId flow = header.flow_from_client();
    last_packet_ = context_.events.now();
    context_.judge.OnTaken(flow, actor_.index);
    context_.Record(flow, actor_, header.opening ? "takes SYN" : "takes packet",
                    {}, {}, header.opening ? header.acknowledged : 0);
    forwarder_->set_socket_delay(socket_delay());
    forwarder_->OnClientPacket(header, BytesOf(header), context_.events.now(),
                               actions_);
    Execute();
  });
}

void SimulatedEntry::OnMessage(uint32_t source,
                               std::shared_ptr<const StoredMessage> message) {
  Receive(Input::kMessage, [this, source, message = std::move(message)] {
    std::visit(MessageHandler{*this, source, context_.events.now()},
               message->message());
  });
}

void SimulatedEntry::OnConfigurationChange(absl::Duration delay) {
  if (is_running() && context_.store_available)
    FetchConfiguration(context_.configurations.size(), delay);
}

void SimulatedEntry::FetchConfiguration(uint64_t version,
                                        absl::Duration delay) {
  if (version <= std::max(fetching_, exchange_->held().version))
    return;
  fetching_ = version;
  AfterWhileRunning(delay, [this, version] {
    Receive(Input::kCommand, [this, version] { SetConfiguration(version); });
  });
}

void SimulatedEntry::SetConfiguration(uint64_t version) {
  if (version <= exchange_->held().version)
    return;
  const absl::Time now = context_.events.now();
  forwarder_->SetRoutes(context_.configurations[version - 1], now);
  SendConfiguration(
      exchange_->SetHeld({version, Revision{version}}, *nodes_, now));
}

void SimulatedEntry::SendConfiguration(absl::Span<const uint32_t> addresses) {
  for (const uint32_t address : addresses)
    context_.network.SendMessage(address_, address, exchange_->MakeReport());
}

void SimulatedEntry::ReadStore() {
  if (!context_.store_available)
    return;
  for (const NodeAddress& node : context_.stored_nodes)
    nodes_->Learn(node, context_.events.now());
  FetchConfiguration(context_.configurations.size(), absl::ZeroDuration());
}

void SimulatedEntry::RecordNode(NodeAddress node, uint16_t interval_ms) {
  const absl::Time now = context_.events.now();
  if (!nodes_->RecordMessage(node, now, absl::Milliseconds(interval_ms)))
    return;
  peers_->Remove(node.address);
  // Sends all known nodes at once to a node that has just started.
  ++self_.sequence;
  self_.nodes = nodes_->Present(now, kMaxReportedNodes);
  context_.network.SendMessage(address_, node.address, self_);
  SendConfiguration({node.address});
}

void SimulatedEntry::OnTick() {
  forwarder_->Tick(context_.events.now(), actions_);
  Execute();
  SendReports();
}

void SimulatedEntry::SendReports() {
  const absl::Time now = context_.events.now();
  if (!nodes_->IsReportTime(now))
    return;
  const absl::Duration interval =
      EntryReportInterval(nodes_->CountPresent(now));
  nodes_->SetInterval(interval);
  self_.interval_ms =
      static_cast<uint16_t>(absl::ToInt64Milliseconds(interval));
  std::vector<uint32_t> due;
  nodes_->TakeDue(now, due);
  if (due.empty())
    return;
  // The order of the directory differs between runs.
  std::sort(due.begin(), due.end());
  ++self_.sequence;
  self_.nodes = nodes_->SelectReported(now, kUsualReportedNodes);
  for (const uint32_t address : due)
    context_.network.SendMessage(address_, address, self_);
}

void SimulatedEntry::SendToPeers(const EntryPeers::Outgoing& outgoing) {
  std::vector<uint32_t> addresses = outgoing.addresses;
  std::sort(addresses.begin(), addresses.end());
  for (const uint32_t address : addresses)
    context_.network.SendMessage(address_, address, outgoing.report);
}

void SimulatedEntry::OnSweep() {
  const absl::Time now = context_.events.now();
  forwarder_->ExpireIdle(now);
  nodes_->RemoveUnresponsive(now);
  SendToPeers(peers_->MakeQuery(nodes_->PresentEntries(now)));
  SendConfiguration(exchange_->NextReceivers(*nodes_, now));
  forwarder_->agents().RemoveUnresponsive(now);
}

absl::string_view SimulatedEntry::HolderOf(const FlowId& flow) {
  const absl::optional<size_t> target = context_.judge.TargetOf(flow);
  if (!target.has_value())
    return "";
  const AgentView* agent = forwarder_->agents().Find(AgentUid(*target));
  if (agent == nullptr)
    return "holder_unknown";
  return agent->load.state == InstanceState::kDown ? "holder_down"
                                                   : "holder_known";
}

void SimulatedEntry::Execute() {
  for (const Decision& decision : actions_.decisions) {
    context_.Record(decision.flow, actor_, DecisionName(decision.kind),
                    decision.reason, AgentActor(decision.agent), decision.hops);
  }
  for (const EntryActions::ToAgent& action : actions_.to_agents)
    context_.network.SendMessage(address_, action.agent.address,
                                 action.message);
  for (const EntryActions::QueryToAgent& query : actions_.queries)
    context_.network.SendMessage(address_, query.agent.address, query.message);
  for (const EntryActions::ResetClient& reset : actions_.resets) {
    SentReset sent{
        reset.flow, reset.sequence, actor_, {}, HolderOf(reset.flow)};
    for (const Decision& decision : actions_.decisions) {
      if (decision.flow == reset.flow)
        sent.reason = decision.reason;
    }
    context_.network.SendReset(address_, sent);
  }
  for (const EntryPeers::Outgoing& outgoing :
       peers_->MakeReports(actions_.refused))
    SendToPeers(outgoing);
  actions_.Clear();
}

}  // namespace skylarkshunt
