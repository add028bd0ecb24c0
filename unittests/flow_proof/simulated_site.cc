#include "simulated_site.h"

#include <utility>

#include "agent_inputs.h"

namespace skylarkshunt {
namespace {

constexpr uint32_t kEntryAddress = 0x0a010000;
constexpr uint32_t kAgentAddress = 0x0a020000;
constexpr uint16_t kPeerPort = 7720;
constexpr uint16_t kReportIntervalMs = 1000;
constexpr uint64_t kFirstUid = 77;

std::shared_ptr<const RouteTable> MakeRoutes() {
  auto table = std::make_shared<RouteTable>();
  table->version = 1;
  Route route;
  route.shares = {{kService, 1}};
  route.latency_objective = absl::Milliseconds(150);
  route.deadline = absl::Milliseconds(2500);
  table->routes[FlowPackets().flow().service] = route;
  return table;
}

}  // namespace

SimulatedSite::SimulatedSite(size_t entries, size_t agents) : now_(kStart) {
  for (size_t i = 0; i < entries; ++i) {
    entries_.push_back(std::make_unique<EntryForwarder>(kDataCentre, now_));
    entries_.back()->SetRoutes(MakeRoutes(), now_);
  }
  agents_.resize(agents);
  for (size_t i = 0; i < agents; ++i) {
    agents_[i].endpoint = {kAgentAddress + static_cast<uint32_t>(i), kPeerPort};
    RestartAgent(i);
  }
}

void SimulatedSite::Pass(absl::Duration time) {
  now_ += time;
  for (size_t i = 0; i < agents_.size(); ++i) {
    if (agents_[i].forwarder == nullptr)
      continue;
    AgentActions actions;
    agents_[i].forwarder->Tick(now_, actions);
    Execute(i, actions);
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    EntryActions actions;
    entries_[i]->Tick(now_, actions);
    Execute(i, actions);
  }
}

void SimulatedSite::Send(size_t entry, const PacketHeader& header) {
  const std::vector<uint8_t> packet = {static_cast<uint8_t>(headers_.size())};
  headers_.push_back(header);
  EntryActions actions;
  entries_[entry]->OnClientPacket(header, packet, now_, actions);
  Execute(entry, actions);
}

void SimulatedSite::ReportTarget(size_t agent, const TargetReport& report) {
  AgentActions actions;
  agents_[agent].forwarder->OnTargetReport(report, now_, actions);
  Execute(agent, actions);
}

void SimulatedSite::ReportAgent(size_t agent, size_t entry) {
  Agent& sender = agents_[agent];
  AgentReport report;
  report.agent = sender.identity;
  report.sequence = ++sender.reports;
  report.load = sender.forwarder->load(now_);
  report.interval_ms = kReportIntervalMs;
  entries_[entry]->agents().UpdateFromReport(report, sender.endpoint, now_);
}

void SimulatedSite::ReportAgents() {
  for (size_t agent = 0; agent < agents_.size(); ++agent) {
    for (size_t entry = 0; entry < entries_.size(); ++entry)
      ReportAgent(agent, entry);
  }
}

void SimulatedSite::RestartAgent(size_t agent) {
  Agent& restarted = agents_[agent];
  AgentForwarder::Options options = MakeAgentOptions(kFirstUid + agent);
  options.identity.incarnation =
      Incarnation{ToNumber(restarted.identity.incarnation) + 1};
  restarted.identity = options.identity;
  restarted.forwarder = std::make_unique<AgentForwarder>(options, now_);
}

void SimulatedSite::Execute(size_t entry, EntryActions& actions) {
  resets_ += actions.resets.size();
  for (const EntryActions::ToAgent& action : actions.to_agents) {
    const size_t agent = action.agent.address - kAgentAddress;
    if (agents_[agent].forwarder == nullptr)
      continue;
    const Endpoint sender{kEntryAddress + static_cast<uint32_t>(entry),
                          kPeerPort};
    AgentActions follow;
    agents_[agent].forwarder->OnForwarded(
        action.message, HeaderOf(action.message.packet), sender, now_, follow);
    Execute(agent, follow);
  }
}

void SimulatedSite::Execute(size_t agent, AgentActions& actions) {
  resets_ += actions.resets.size();
  for (const AgentActions::ToEntry& action : actions.to_entries) {
    const size_t entry = action.entry.address - kEntryAddress;
    const Endpoint sender = agents_[agent].endpoint;
    EntryActions follow;
    if (const auto* returned = std::get_if<ReturnedPacket>(&action.message)) {
      entries_[entry]->OnReturned(*returned, HeaderOf(returned->packet), sender,
                                  now_, follow);
    } else {
      entries_[entry]->OnPlaced(std::get<FlowPlaced>(action.message), sender,
                                now_, follow);
    }
    Execute(entry, follow);
  }
  for (const AgentActions::ToTarget& action : actions.to_target)
    DeliverToTarget(agent, action);
}

void SimulatedSite::DeliverToTarget(size_t agent,
                                    const AgentActions::ToTarget& delivery) {
  const PacketHeader header = HeaderOf(delivery.packet);
  const std::vector<uint8_t> packet(delivery.packet.begin(),
                                    delivery.packet.end());
  const FlowId flow = header.flow_from_client();
  Agent& receiver = agents_[agent];
  if (!header.opening && receiver.held.contains(flow)) {
    ++receiver.received;
    return;
  }
  PacketHeader reply = FlowPackets::Returned(header, delivery.return_token);
  if (header.opening) {
    receiver.held.insert(flow);
    reply = FlowPackets(flow.client.port).Grant();
  }
  AgentActions follow;
  receiver.forwarder->OnTargetPacket(reply, packet, now_, follow);
  Execute(agent, follow);
}

const PacketHeader& SimulatedSite::HeaderOf(
    absl::Span<const uint8_t> packet) const {
  return headers_.at(packet.at(0));
}

}  // namespace skylarkshunt
