#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "decision_fields.h"
#include "node_loop.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"
#include "skylarkshunt/forwarding/entry_peers.h"
#include "skylarkshunt/forwarding/evacuations.h"
#include "skylarkshunt/forwarding/node_codec.h"
#include "skylarkshunt/forwarding/node_directory.h"

namespace skylarkshunt {
namespace {

constexpr EventId kAgentAppeared{2110, "agent_appeared"};
constexpr EventId kAgentRestarted{2111, "agent_restarted"};
constexpr EventId kAgentState{2112, "agent_state"};
constexpr EventId kAgentExpired{2113, "agent_forgotten"};
constexpr EventId kSuspended{1011, "process_was_suspended"};
constexpr EventId kReady{2114, "entry_ready"};
constexpr EventId kRoutesInUse{2116, "routes_in_use"};
constexpr EventId kRoutesIgnored{2117, "routes_ignored"};
constexpr EventId kEvacuationsInUse{2120, "evacuations_in_use"};

/// Number of addresses in a regular report, 5 bytes each. They add little to
/// the report, and successive reports cover a fleet of 300 nodes within about
/// 13 s.
constexpr size_t kUsualReportedNodes = 24;
/// Number of nodes that get the regular report of the configuration. Each node
/// gets one about every second as long as an eighth of the nodes are entries.
constexpr size_t kRegularReceivers = 8;
/// Time after which an entry without agents reports that it is ready, because
/// it can then refuse flows at once.
constexpr absl::Duration kReadyWithoutAgentsDelay = absl::Seconds(2);
/// Longest time after the start, or after a suspension, for which an entry
/// defers opening packets until it knows the evacuated data centres. Reading
/// them takes some milliseconds, and up to 1 s if the store loses a call.
constexpr absl::Duration kMaxEvacuationsWait = absl::Seconds(2);
/// After SIGTERM an entry ends when no packet has arrived for this time. The
/// routers remove it from rotation after two checks that are 500 ms apart.
constexpr absl::Duration kLeaveQuietPeriod = absl::Milliseconds(700);
/// Shortest time for which an entry runs after SIGTERM, until the routers have
/// detected that it is not ready.
constexpr absl::Duration kMinLeaveTime = absl::Milliseconds(1700);

class EntryLoop : public NodeLoop {
 public:
  EntryLoop(const Options& options,
            UdpSocket clients,
            UdpSocket peers,
            Wakeup wakeup)
      : NodeLoop(options,
                 std::move(clients),
                 std::move(peers),
                 std::move(wakeup),
                 kSuspended,
                 kRegularReceivers),
        forwarder_(DataCentreHash(options), started_),
        found_(SearchCounter(options, "found")),
        held_nowhere_(SearchCounter(options, "held_nowhere")),
        not_proven_(SearchCounter(options, "not_proven")),
        ignored_reports_(options.counters->Find(
            "skylarkshunt_refusal_reports_ignored_total",
            "Reports of refusals from addresses that are not entries.")),
        evacuated_gauge_(options.counters->Find(
            "skylarkshunt_evacuated_data_centres",
            "Data centres of known agents that get no new flow.",
            MetricType::kGauge)),
        peers_(DataCentreHash(options)),
        nodes_(Role::kEntry,
               options.node.peers.address,
               EntryReportInterval(0),
               options.node.seeds,
               started_) {
    forwarder_.SetLinkRate(options.node.link_bytes_per_second);
    if (uses_evacuations())
      forwarder_.AwaitEvacuated(started_ + kMaxEvacuationsWait);
    self_.uid = MakeEntryUid(options.node.data.ToString());
    self_.incarnation = options.incarnation;
  }
  EntryLoop(const EntryLoop&) = delete;
  EntryLoop& operator=(const EntryLoop&) = delete;
  ~EntryLoop() override { Stop(); }

 private:
  /// Returns the hash of the data centre as in AgentIdentity.
  static uint32_t DataCentreHash(const Options& options) {
    return static_cast<uint32_t>(StableHash(options.node.data_centre, 0));
  }

  static Counter& SearchCounter(const Options& options,
                                absl::string_view outcome) {
    return options.counters->Find(
        "skylarkshunt_searches_total",
        "Searches for the agent that holds a flow, by outcome.",
        MetricType::kCounter, absl::StrCat("outcome=\"", outcome, "\""));
  }

  struct CommandHandler {
    EntryLoop& loop;
    absl::Time now;

    void operator()(const ConfigurationInForce& configuration) const {
      loop.LogRouteChange(configuration,
                          loop.forwarder_.SetRoutes(configuration.routes, now),
                          now);
      loop.SetConfiguration(configuration.id, loop.nodes_, now);
      // Operators compare the nodes right after a change.
      loop.PublishStatus(now);
    }
    void operator()(const EvacuationsRead& read) const {
      if (read.set == nullptr) {
        if (loop.evacuations_.OnStoreFailed())
          loop.UseEvacuations("peer", now);
        return;
      }
      if (loop.evacuations_.OnStoreAnswered(*read.set))
        loop.UseEvacuations("store", now);
      if (read.begun >= loop.resumed_)
        loop.forwarder_.AwaitEvacuated(absl::InfinitePast());
    }
    void operator()(const NodeAddress& node) const {
      loop.nodes_.Learn(node, now);
    }
    void operator()(const BeginShutdownCommand&) const {
      if (!loop.BeginLeaving(now))
        return;
      loop.self_.leaving = true;
      loop.nodes_.MakeAllDue();
    }
    // An entry has no target.
    void operator()(const TargetReport&) const {}
    void operator()(const TargetLeft&) const {}
    void operator()(const TargetProbe&) const {}
  };

  struct MessageHandler {
    EntryLoop& loop;
    Endpoint source;
    absl::Time now;

    void operator()(const AgentReport& report) const {
      loop.RecordNode({source.address, Role::kAgent}, report.interval_ms, now);
      const AgentChange change =
          loop.forwarder_.agents().UpdateFromReport(report, source, now);
      loop.LogAgentChange(change, report.agent, report.load, source);
    }
    void operator()(const EntryReport& report) const {
      loop.RecordNode({source.address, Role::kEntry}, report.interval_ms, now);
      for (const NodeAddress& node : report.nodes)
        loop.nodes_.Learn(node, now);
    }
    void operator()(const ConfigurationReport& report) const {
      loop.forwarder_.agents().RecordConfiguration(source.address, report.held);
      loop.OnConfigurationReport(source.address, report);
    }
    void operator()(const ForwardedPacket&) const {}
    void operator()(const ReturnedPacket& returned) const {
      const absl::optional<PacketHeader> header =
          loop.ReadPacket(returned.packet);
      if (!header.has_value())
        return;
      loop.forwarder_.OnReturned(returned, *header, source, now, loop.actions_);
      loop.Execute(now);
    }
    void operator()(const FlowPlaced& placed) const {
      loop.forwarder_.OnPlaced(placed, source, now, loop.actions_);
      loop.Execute(now);
    }
    void operator()(const FlowQuery&) const {}
    void operator()(const QueryAnswer& answer) const {
      loop.forwarder_.OnQueryAnswer(answer, source, now, loop.actions_);
      loop.Execute(now);
    }
    void operator()(const EvacuationReport& report) const {
      // A forged report would keep flows from a data centre.
      if (!loop.uses_evacuations() ||
          !loop.nodes_.IsPresentEntry(source.address, now)) {
        return;
      }
      if (loop.evacuations_.OnPeerSet(report.set)) {
        loop.UseEvacuations(source.ToString(), now);
        loop.forwarder_.AwaitEvacuated(absl::InfinitePast());
      }
      if (report.wants_reply && loop.evacuations_.is_known())
        loop.SendEvacuations({source.address});
    }
    void operator()(const RefusalReport& report) const {
      // A forged report would make requests of a client count as older.
      if (!loop.nodes_.IsPresentEntry(source.address, now)) {
        loop.ignored_reports_.Increment();
        return;
      }
      if (loop.peers_.OnReport(source.address, report))
        loop.channel_.Send(source, loop.peers_.Reply());
      for (const RefusedRequest& request : report.requests)
        loop.forwarder_.retries().RecordReported(request, now);
    }
  };

  /// Data centres may have been evacuated during the suspension, also longer
  /// ago than the limit, and an answer that waits in the socket may be older.
  void OnSuspended(absl::Time now) override {
    if (!uses_evacuations())
      return;
    resumed_ = now;
    forwarder_.AwaitEvacuated(now + kMaxEvacuationsWait);
    options_.notices.on_evacuations_outdated();
  }

  absl::Time NextDeadline(absl::Time /*now*/) override {
    return forwarder_.next_deadline();
  }

  void Take(const DataCommand& command, absl::Time now) override {
    std::visit(CommandHandler{*this, now}, command);
  }

  void Round(absl::Time now) override {
    ReceiveMessages([this, now](Endpoint source, const NodeMessage& message) {
      std::visit(MessageHandler{*this, source, now}, message);
    });
    forwarder_.set_socket_delay(packet_delay(now));
    ReceivePackets([this, now](const PacketHeader& header,
                               absl::Span<const uint8_t> packet) {
      last_packet_ = now;
      forwarder_.OnClientPacket(header, packet, now, actions_);
      Execute(now);
    });
    forwarder_.Tick(now, actions_);
    Execute(now);
    SendReports(now);
  }

  void Execute(absl::Time now) {
    for (const EntryActions::ToAgent& action : actions_.to_agents)
      channel_.Send(action.agent, action.message);
    for (const EntryActions::QueryToAgent& query : actions_.queries)
      channel_.Send(query.agent, query.message);
    for (const EntryActions::ResetClient& reset : actions_.resets) {
      packets_.Send({reset.flow.client.address, options_.node.client_port},
                    options_.packets->MakeReset(reset.flow, reset.sequence));
    }
    for (const EntryPeers::Outgoing& outgoing :
         peers_.MakeReports(actions_.refused))
      SendToPeers(outgoing);
    LogDecisions(actions_.decisions, now);
    actions_.Clear();
  }

  void SendToPeers(const EntryPeers::Outgoing& outgoing) {
    const NodeMessage message = outgoing.report;
    for (const uint32_t address : outgoing.addresses)
      channel_.SendToNode(address, message);
  }

  void RecordNode(NodeAddress node, uint16_t interval_ms, absl::Time now) {
    const bool appeared =
        nodes_.RecordMessage(node, now, absl::Milliseconds(interval_ms));
    RecordPeerMessage(now);
    if (!appeared)
      return;
    peers_.Remove(node.address);
    // Sends all known nodes at once to a node that has just started.
    ++self_.sequence;
    self_.nodes = nodes_.Present(now, kMaxReportedNodes);
    channel_.SendToNode(node.address, self_);
    SendConfiguration({node.address});
    if (node.role == Role::kEntry)
      SendEvacuations({node.address});
  }

  bool uses_evacuations() const {
    return options_.node.evacuation_limit > absl::ZeroDuration();
  }

  /// Puts the evacuated data centres into force and reports them to the other
  /// entries.
  void UseEvacuations(absl::string_view source, absl::Time now) {
    const EvacuationSet& set = evacuations_.in_force();
    forwarder_.SetEvacuated(set.data_centres);
    const size_t agents = CountEvacuatedAgents();
    LogLine(kEvacuationsInUse)
        .Field("revision", ToText(set.revision))
        .Field("source", source)
        .Field("objects", set.data_centres.size())
        .Field("data_centres", EvacuatedDataCentres().size())
        .Field("agents", agents);
    evacuated_gauge_.Set(EvacuatedDataCentres().size());
    SendEvacuations(nodes_.PresentEntries(now));
    PublishStatus(now);
  }

  /// Sends the evacuated data centres, or asks for them if they are unknown.
  void SendEvacuations(absl::Span<const uint32_t> addresses) {
    if (!uses_evacuations() || addresses.empty())
      return;
    EvacuationReport report = evacuations_.MakeReport(EvacuatedDataCentres());
    report.wants_reply = !evacuations_.is_known();
    const NodeMessage message = std::move(report);
    for (const uint32_t address : addresses)
      channel_.SendToNode(address, message);
  }

  /// Returns the evacuated data centres that have a known agent.
  std::vector<uint32_t> EvacuatedDataCentres() {
    absl::flat_hash_set<uint32_t> known;
    forwarder_.agents().ForEach([&](const AgentView& agent) {
      if (forwarder_.IsEvacuated(agent))
        known.insert(agent.identity.data_centre);
    });
    return {known.begin(), known.end()};
  }

  size_t CountEvacuatedAgents() {
    size_t agents = 0;
    forwarder_.agents().ForEach([&](const AgentView& agent) {
      agents += forwarder_.IsEvacuated(agent) ? 1 : 0;
    });
    return agents;
  }

  /// Logs since when this thread uses a configuration, and until when it placed
  /// flows by the former one.
  void LogRouteChange(const ConfigurationInForce& configuration,
                      const RouteChange& change,
                      absl::Time now) {
    LogLine line(change.in_force ? kRoutesInUse : kRoutesIgnored,
                 change.in_force ? Severity::kInfo : Severity::kWarning);
    const bool placed =
        change.former_use.last_placement != absl::InfinitePast();
    line.Field("revision", ToText(configuration.id.revision))
        .Field("version", configuration.id.version)
        .Field("queued_ms", absl::ToInt64Milliseconds(now - configuration.sent))
        .Field("former_version", change.former_version)
        .Field("former_placements", change.former_use.placements)
        .Field(
            "former_last_ms",
            MillisecondsIfKnown(placed ? now - change.former_use.last_placement
                                       : absl::InfiniteDuration()));
  }

  void LogAgentChange(AgentChange change,
                      const AgentIdentity& agent,
                      const AgentLoad& load,
                      Endpoint source) {
    if (change == AgentChange::kNone)
      return;
    const EventId event = change == AgentChange::kAppeared    ? kAgentAppeared
                          : change == AgentChange::kRestarted ? kAgentRestarted
                                                              : kAgentState;
    LogLine(event)
        .Field("agent", ToHex(ToNumber(agent.uid)))
        .Field("address", source.ToString())
        .Field("incarnation", ToNumber(agent.incarnation))
        .Field("state", InstanceStateName(load.state))
        .Field("slots", load.slots)
        .Field("busy", load.busy);
  }

  void SendReports(absl::Time now) {
    if (!nodes_.IsReportTime(now))
      return;
    const absl::Duration interval =
        EntryReportInterval(nodes_.CountPresent(now));
    nodes_.SetInterval(interval);
    self_.interval_ms =
        static_cast<uint16_t>(absl::ToInt64Milliseconds(interval));
    due_.clear();
    nodes_.TakeDue(now, due_);
    if (due_.empty())
      return;
    ++self_.sequence;
    self_.nodes = nodes_.SelectReported(now, kUsualReportedNodes);
    const NodeMessage report = self_;
    for (const uint32_t address : due_)
      channel_.SendToNode(address, report);
  }

  void Sweep(absl::Time now) override {
    forwarder_.ExpireIdle(now);
    const SearchCounts& searches = forwarder_.search_counts();
    found_.Set(searches.found);
    held_nowhere_.Set(searches.held_nowhere);
    not_proven_.Set(searches.not_proven);
    nodes_.RemoveUnresponsive(now);
    SendToPeers(peers_.MakeQuery(nodes_.PresentEntries(now)));
    SendRegularConfiguration(nodes_, now);
    if (uses_evacuations()) {
      SendEvacuations(evacuations_.NextReceivers(nodes_.PresentEntries(now)));
      evacuated_gauge_.Set(EvacuatedDataCentres().size());
    }
    SetEntryRank(nodes_.CountPrecedingEntries(now));
    PublishStatus(now);
    for (const AgentView& agent : forwarder_.agents().RemoveUnresponsive(now)) {
      LogLine(kAgentExpired)
          .Field("agent", ToHex(ToNumber(agent.identity.uid)))
          .Field("address", agent.endpoint.ToString())
          .Field("silent_ms", absl::ToInt64Milliseconds(now - agent.last_seen));
    }
  }

  void PublishStatus(absl::Time now) {
    NodeStatus status;
    status.role = Role::kEntry;
    status.ready = is_ready();
    status.leaving = leaving_;
    status.configuration = configuration();
    status.nodes = nodes_.Present(now, kMaxReportedNodes);
    forwarder_.agents().ForEach(
        [&status](const AgentView& agent) { status.agents.push_back(agent); });
    status.cached_flows = forwarder_.cached_flows();
    if (evacuations_.is_known())
      status.evacuations = evacuations_.in_force();
    status.time = now;
    options_.board->Publish(std::move(status));
  }

  bool HasAgents() {
    bool any = false;
    forwarder_.agents().ForEach([&any](const AgentView&) { any = true; });
    return any;
  }

  bool IsReady(absl::Time now) override {
    const bool ready =
        !leaving_ && forwarder_.routes() != nullptr &&
        (evacuations_.is_known() || !uses_evacuations() ||
         now - started_ > kMaxEvacuationsWait) &&
        (HasAgents() || now - started_ > kReadyWithoutAgentsDelay);
    if (ready != is_ready()) {
      LogLine(kReady)
          .Field("ready", ready ? "true" : "false")
          .Field("configuration", configuration().version)
          .Field("uptime_ms", absl::ToInt64Milliseconds(now - started_));
    }
    return ready;
  }

  bool IsEndComplete(absl::Duration leaving, absl::Time now) override {
    return leaving >= kMinLeaveTime && now - last_packet_ >= kLeaveQuietPeriod;
  }

  EntryForwarder forwarder_;
  Counter& found_;
  Counter& held_nowhere_;
  Counter& not_proven_;
  Counter& ignored_reports_;
  Counter& evacuated_gauge_;
  EvacuationState evacuations_;
  /// End of the last suspension of the process.
  absl::Time resumed_ = absl::InfinitePast();
  EntryPeers peers_;
  NodeDirectory nodes_;
  EntryReport self_;
  EntryActions actions_;
  absl::Time last_packet_ = absl::InfinitePast();
};

}  // namespace

Result<std::unique_ptr<DataLoop>> OpenEntryLoop(
    const DataLoop::Options& options) {
  BOOST_OUTCOME_TRY(clients, UdpSocket::Bind(options.node.data));
  BOOST_OUTCOME_TRY(peers, UdpSocket::Bind(options.node.peers));
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  return std::unique_ptr<DataLoop>(std::make_unique<EntryLoop>(
      options, std::move(clients), std::move(peers), std::move(wakeup)));
}

Result<std::unique_ptr<DataLoop>> DataLoop::Open(const Options& options) {
  return options.node.role == Role::kEntry ? OpenEntryLoop(options)
                                           : OpenAgentLoop(options);
}

}  // namespace skylarkshunt
