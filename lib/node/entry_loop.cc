#include <algorithm>
#include <atomic>
#include <utility>

#include "data_loop.h"
#include "decision_log.h"
#include "node_channel.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"
#include "skylarkshunt/forwarding/node_codec.h"
#include "skylarkshunt/forwarding/node_directory.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr EventId kAgentAppeared{2110, "agent_appeared"};
constexpr EventId kAgentRestarted{2111, "agent_restarted"};
constexpr EventId kAgentState{2112, "agent_state"};
constexpr EventId kAgentForgotten{2113, "agent_forgotten"};
constexpr EventId kSuspended{1011, "process_was_suspended"};
constexpr EventId kReady{2114, "entry_ready"};

/// Time between two reports of an entry to a node that is present.
constexpr absl::Duration kEntryReportInterval = absl::Milliseconds(500);
/// Longest wait of a round.
constexpr absl::Duration kRound = absl::Milliseconds(100);
constexpr absl::Duration kSweepInterval = absl::Seconds(1);
/// An entry without any agent says that it is ready after this time, since it
/// can then refuse at once.
constexpr absl::Duration kReadyWithoutAgents = absl::Seconds(2);
/// After SIGTERM an entry ends when no packet has come for this long: the
/// routers take it out of rotation after two checks that are 500 ms apart.
constexpr absl::Duration kLeaveQuiet = absl::Milliseconds(700);
/// An entry stays for this long after SIGTERM at least, until the routers have
/// noticed.
constexpr absl::Duration kLeaveAtLeast = absl::Milliseconds(1700);
/// Time kept free before the process is killed.
constexpr absl::Duration kLeaveMargin = absl::Seconds(1);

class EntryLoop : public DataLoop {
 public:
  EntryLoop(const Options& options,
            UdpSocket clients,
            UdpSocket peers,
            Wakeup wakeup)
      : options_(options),
        clients_(std::move(clients)),
        channel_(std::move(peers), options.node.peers.port, *options.counters),
        wakeup_(std::move(wakeup)),
        log_(*options.counters, *options.history),
        malformed_(options.counters->Find(
            "skylarkshunt_packets_malformed_total",
            "Packets of clients or targets that were refused.")),
        packets_(options.counters->Find("skylarkshunt_packets_total",
                                        "Packets of clients or targets.")),
        commands_(kMaxDataCommands, [this] { wakeup_.Notify(); }),
        started_(MonotonicNow()),
        forwarder_(
            static_cast<uint32_t>(StableHash(options.node.data_centre, 0)),
            started_),
        nodes_(Role::kEntry,
               options.node.peers.address,
               kEntryReportInterval,
               options.node.seeds,
               started_),
        last_round_(started_),
        next_sweep_(started_),
        thread_(wakeup_) {
    self_.uid = MakeEntryUid(options.node.data.ToString());
    self_.incarnation = options.incarnation;
  }

  void Start() override {
    thread_.Start([this] { Step(); });
  }
  void Stop() override { thread_.Stop(); }
  bool Command(DataCommand command) override {
    return commands_.TryPush(std::move(command));
  }
  bool is_ready() const override { return ready_.load(); }
  bool is_connected() const override { return connected_.load(); }
  bool ended() const override { return ended_.load(); }

 private:
  struct CommandHandler {
    EntryLoop& loop;
    absl::Time now;

    void operator()(const ConfigurationInForce& configuration) const {
      loop.forwarder_.SetRoutes(configuration.routes);
      loop.self_.configuration = configuration.revision;
      loop.nodes_.MakeAllDue();
    }
    void operator()(const NodeAddress& node) const {
      loop.nodes_.Learn(node, now);
    }
    void operator()(const BeginShutdownCommand&) const {
      if (loop.self_.leaving)
        return;
      loop.self_.leaving = true;
      loop.leaving_since_ = now;
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
      loop.NoteHeard({source.address, Role::kAgent}, now);
      const AgentNews news =
          loop.forwarder_.agents().UpdateFromReport(report, source, now);
      loop.LogNews(news, report.agent, report.load, source);
      loop.NoteRevision(source.address, report.configuration);
    }
    void operator()(const EntryReport& report) const {
      loop.NoteHeard({source.address, Role::kEntry}, now);
      for (const NodeAddress& node : report.nodes)
        loop.nodes_.Learn(node, now);
      loop.NoteRevision(source.address, report.configuration);
    }
    void operator()(const ForwardedPacket&) const {}
    void operator()(const ReturnedPacket& returned) const {
      const Result<PacketHeader> header =
          loop.options_.packets->Read(returned.packet);
      if (!header.has_value()) {
        loop.malformed_.Increment();
        return;
      }
      loop.forwarder_.OnReturned(returned, header.value(), source, now,
                                 loop.actions_);
      loop.Execute(now);
    }
    void operator()(const FlowPlaced& placed) const {
      loop.forwarder_.OnPlaced(placed, source, now, loop.actions_);
      loop.Execute(now);
    }
  };

  void Step() {
    const absl::Duration wait =
        std::min(kRound, forwarder_.next_deadline() - MonotonicNow());
    WaitReadable({clients_.fd(), channel_.fd(), wakeup_.fd()},
                 std::max(absl::Milliseconds(1), wait));
    const absl::Time now = MonotonicNow();
    if (now - last_round_ > kSuspendedGap)
      DiscardOld(now - last_round_);
    last_round_ = now;
    wakeup_.Drain();
    while (absl::optional<DataCommand> command = commands_.TryPop())
      std::visit(CommandHandler{*this, now}, *command);
    channel_.Receive([this, now](Endpoint source, const NodeMessage& message) {
      std::visit(MessageHandler{*this, source, now}, message);
    });
    ReceiveFromClients(now);
    forwarder_.Tick(now, actions_);
    Execute(now);
    SendReports(now);
    if (now >= next_sweep_)
      Sweep(now);
    UpdateState(now);
  }

  void ReceiveFromClients(absl::Time now) {
    for (int i = 0; i < kDatagramBatch; ++i) {
      const absl::optional<Datagram> datagram = clients_.Receive();
      if (!datagram.has_value())
        return;
      const Result<PacketHeader> header =
          options_.packets->Read(datagram->bytes);
      if (!header.has_value()) {
        malformed_.Increment();
        continue;
      }
      packets_.Increment();
      last_packet_ = now;
      forwarder_.OnClientPacket(header.value(), datagram->bytes, now, actions_);
      Execute(now);
    }
  }

  void Execute(absl::Time now) {
    for (const EntryActions::ToAgent& action : actions_.to_agents)
      channel_.Send(action.agent, action.message);
    for (const EntryActions::ResetClient& reset : actions_.resets) {
      clients_.Send({reset.flow.client.address, options_.node.client_port},
                    options_.packets->MakeReset(reset.flow, reset.sequence));
    }
    for (const Decision& decision : actions_.decisions)
      log_.Record(now, decision);
    actions_.Clear();
  }

  void NoteHeard(NodeAddress node, absl::Time now) {
    nodes_.Heard(node, now);
    last_heard_ = now;
  }

  void NoteRevision(uint32_t address, Revision revision) {
    if (ToNumber(revision) > ToNumber(self_.configuration))
      options_.notices.on_revision(address, revision);
  }

  void LogNews(AgentNews news,
               const AgentIdentity& agent,
               const AgentLoad& load,
               Endpoint source) {
    if (news == AgentNews::kNone)
      return;
    const EventId event = news == AgentNews::kAppeared    ? kAgentAppeared
                          : news == AgentNews::kRestarted ? kAgentRestarted
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
    due_.clear();
    nodes_.TakeDue(now, due_);
    if (due_.empty())
      return;
    ++self_.sequence;
    self_.nodes = nodes_.Present(now, kMaxReportedNodes);
    const NodeMessage report = self_;
    for (const uint32_t address : due_)
      channel_.SendToNode(address, report);
  }

  void Sweep(absl::Time now) {
    next_sweep_ = now + kSweepInterval;
    forwarder_.ForgetIdle(now);
    nodes_.ForgetSilent(now);
    log_.ReportLeftOut(now);
    PublishStatus(now);
    for (const AgentView& agent : forwarder_.agents().ForgetSilent(now)) {
      LogLine(kAgentForgotten)
          .Field("agent", ToHex(ToNumber(agent.identity.uid)))
          .Field("address", agent.endpoint.ToString())
          .Field("silent_ms", absl::ToInt64Milliseconds(now - agent.heard));
    }
  }

  void PublishStatus(absl::Time now) {
    NodeStatus status;
    status.role = Role::kEntry;
    status.ready = ready_.load();
    status.leaving = self_.leaving;
    status.configuration = self_.configuration;
    if (forwarder_.routes() != nullptr)
      status.configuration_version = forwarder_.routes()->version;
    status.nodes = nodes_.Present(now, kMaxReportedNodes);
    forwarder_.agents().ForEach(
        [&status](const AgentView& agent) { status.agents.push_back(agent); });
    status.cached_flows = forwarder_.cached_flows();
    status.time = now;
    options_.board->Publish(std::move(status));
  }

  void DiscardOld(absl::Duration gap) {
    size_t dropped = channel_.Discard();
    while (clients_.Receive().has_value())
      ++dropped;
    LogLine(kSuspended, Severity::kWarning)
        .Field("gap_ms", absl::ToInt64Milliseconds(gap))
        .Field("datagrams_dropped", dropped);
  }

  bool HasAgents() {
    bool any = false;
    forwarder_.agents().ForEach([&any](const AgentView&) { any = true; });
    return any;
  }

  void UpdateState(absl::Time now) {
    connected_.store(now - last_heard_ < kNodePresentFor);
    const bool ready = !self_.leaving && forwarder_.routes() != nullptr &&
                       (HasAgents() || now - started_ > kReadyWithoutAgents);
    if (ready != ready_.load()) {
      LogLine(kReady)
          .Field("ready", ready ? "true" : "false")
          .Field("configuration", ToNumber(self_.configuration))
          .Field("uptime_ms", absl::ToInt64Milliseconds(now - started_));
    }
    ready_.store(ready);
    if (!self_.leaving)
      return;
    const absl::Duration leaving = now - leaving_since_;
    const bool quiet =
        leaving >= kLeaveAtLeast && now - last_packet_ >= kLeaveQuiet;
    if (quiet || leaving >= options_.node.shutdown_limit - kLeaveMargin)
      ended_.store(true);
  }

  const Options options_;
  UdpSocket clients_;
  NodeChannel channel_;
  Wakeup wakeup_;
  DecisionLog log_;
  Counter& malformed_;
  Counter& packets_;
  BoundedRing<DataCommand> commands_;
  const absl::Time started_;
  EntryForwarder forwarder_;
  NodeDirectory nodes_;
  EntryReport self_;
  EntryActions actions_;
  std::vector<uint32_t> due_;
  absl::Time last_round_;
  absl::Time next_sweep_;
  absl::Time last_heard_ = absl::InfinitePast();
  absl::Time last_packet_ = absl::InfinitePast();
  absl::Time leaving_since_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> connected_{false};
  std::atomic<bool> ended_{false};
  LoopThread thread_;
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
