#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "node_loop.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/forwarding/agent_directory.h"
#include "skylarkshunt/forwarding/agent_forwarder.h"
#include "skylarkshunt/forwarding/node_codec.h"
#include "skylarkshunt/forwarding/node_directory.h"

namespace skylarkshunt {
namespace {

constexpr EventId kTargetAppeared{3110, "target_appeared"};
constexpr EventId kTargetRestarted{3111, "target_started_again"};
constexpr EventId kTargetStateChanged{3112, "target_state_changed"};
constexpr EventId kTargetOfOtherService{3113, "target_of_another_service"};
constexpr EventId kTargetLeft{3114, "target_left"};
constexpr EventId kTargetProbed{3115, "target_probed"};
constexpr EventId kTargetFailing{3116, "target_failing"};
constexpr EventId kTargetRecovered{3117, "target_well_again"};
constexpr EventId kWarmupBegan{3121, "target_warmup_began"};
constexpr EventId kWarmupEnded{3122, "target_warmup_ended"};
constexpr EventId kSuspended{1012, "agent_was_suspended"};

/// Shortest time for which an agent that shuts down keeps forwarding. Its last
/// reports must reach the entries, and packets in flight must arrive.
constexpr absl::Duration kMinLeaveTime = absl::Milliseconds(150);
/// Shares of failed requests, in thousandths, at which a target is logged as
/// failing and as recovered. The distance between them prevents a log line for
/// each outcome.
constexpr uint16_t kFailingPermille = 250;
constexpr uint16_t kRecoveredPermille = 50;

/// By NotHeldEvidence.
constexpr std::array<absl::string_view, kNotHeldEvidences>
    kNotHeldEvidenceNames = {"seen_from_start", "target_down",
                             "target_returned", "other_grant"};

/// Number of entries that get the regular report of the configuration.
constexpr size_t kRegularReceivers = 1;

/// Slots assumed for a healthy target until its first report: the smaller of
/// the usual numbers. A target queues requests beyond its slots.
constexpr uint32_t kAssumedSlots = 4;

absl::string_view OutcomeName(TargetProbe::Outcome outcome) {
  switch (outcome) {
    case TargetProbe::Outcome::kHealthy:
      return "healthy";
    case TargetProbe::Outcome::kRefused:
      return "refused";
    case TargetProbe::Outcome::kUnclear:
      break;
  }
  return "unclear";
}

class AgentLoop : public NodeLoop {
 public:
  AgentLoop(const Options& options,
            UdpSocket target,
            UdpSocket peers,
            Wakeup wakeup)
      : NodeLoop(options,
                 std::move(target),
                 std::move(peers),
                 std::move(wakeup),
                 kSuspended,
                 kRegularReceivers),
        identity_(MakeIdentity(options)),
        forwarder_({identity_, options.node.service,
                    options.node.target_report_interval,
                    options.node.warmup_excess, options.node.warmup_slack},
                   started_),
        nodes_(Role::kAgent,
               options.node.peers.address,
               kAgentReportInterval,
               options.node.seeds,
               started_),
        warming_up_gauge_(options.counters->Find(
            "skylarkshunt_target_warming_up",
            "Whether the target may be cold and its openings are limited.",
            MetricType::kGauge)),
        warmup_delivered_(options.counters->Find(
            "skylarkshunt_warmup_openings_total",
            "Opening packets delivered to a target that was warming up.")),
        warmup_delayed_(options.counters->Find(
            "skylarkshunt_warmup_openings_delayed_total",
            "Opening packets that waited since the target was warming up.")) {
    for (size_t i = 0; i < kNotHeldEvidences; ++i) {
      not_held_[i] = &options.counters->Find(
          "skylarkshunt_not_held_total",
          "Reports to entries that a flow is not held, by evidence.",
          MetricType::kCounter,
          absl::StrCat("evidence=\"", kNotHeldEvidenceNames[i], "\""));
    }
    pending_work_ = &options.counters->Find(
        "skylarkshunt_pending_work_us",
        "Reported time until the target could start one more request; 0 "
        "without an estimate.",
        MetricType::kGauge);
    predicted_waits_ = &options.counters->Find(
        "skylarkshunt_predicted_waits_total",
        "Requests that waited at the target and whose wait was predicted.");
    predicted_wait_us_ = &options.counters->Find(
        "skylarkshunt_predicted_wait_us_total", "Sum of the predicted waits.");
    observed_wait_us_ = &options.counters->Find(
        "skylarkshunt_observed_wait_us_total",
        "Sum of the observed waits of the same requests.");
    wait_error_us_ =
        &options.counters->Find("skylarkshunt_wait_error_us_total",
                                "Sum of the absolute differences of the two.");
  }
  AgentLoop(const AgentLoop&) = delete;
  AgentLoop& operator=(const AgentLoop&) = delete;
  ~AgentLoop() override { Stop(); }

 private:
  struct CommandHandler {
    AgentLoop& loop;
    absl::Time now;

    void operator()(const ConfigurationInForce& configuration) const {
      const bool first = loop.configuration().version == 0;
      loop.SetConfiguration(configuration.id, loop.nodes_, now);
      const auto& services = configuration.routes->services;
      const auto service = services.find(loop.identity_.service);
      loop.forwarder_.SetServiceSettings(
          service == services.end() ? nullptr : &service->second);
      // A target that kept running while its agent was down reports only after
      // up to a whole interval. Its health check shows at once that it accepts
      // flows.
      if (first && !loop.forwarder_.target().is_known())
        loop.options_.notices.on_target_check_needed();
    }
    // An agent places no flow.
    void operator()(const EvacuationsRead&) const {}
    void operator()(const NodeAddress& node) const {
      loop.nodes_.Learn(node, now);
    }
    void operator()(const TargetReport& report) const {
      const TargetChange change =
          loop.forwarder_.OnTargetReport(report, now, loop.actions_);
      loop.Execute(now);
      loop.LogReport(report, change, now);
      if (change != TargetChange::kNone)
        loop.nodes_.MakeAllDue();
    }
    void operator()(const TargetLeft& left) const {
      const bool known =
          loop.forwarder_.OnTargetLeft(left.id, left.started_unix_ms);
      LogLine(kTargetLeft)
          .Field("target", left.id)
          .Field("known", known ? "true" : "false");
      loop.nodes_.MakeAllDue();
    }
    void operator()(const TargetProbe& probe) const {
      LogLine(kTargetProbed).Field("outcome", OutcomeName(probe.outcome));
      if (probe.outcome == TargetProbe::Outcome::kRefused)
        loop.forwarder_.OnTargetCrashed(probe.began, now, loop.actions_);
      if (probe.outcome == TargetProbe::Outcome::kHealthy) {
        loop.forwarder_.OnTargetHealthy(kAssumedSlots);
        loop.nodes_.MakeAllDue();
      }
      loop.Execute(now);
    }
    void operator()(const BeginShutdownCommand&) const {
      if (!loop.BeginLeaving(now))
        return;
      loop.forwarder_.BeginShutdown();
      loop.nodes_.MakeAllDue();
    }
  };

  struct MessageHandler {
    AgentLoop& loop;
    Endpoint source;
    absl::Time now;

    void operator()(const EntryReport& report) const {
      loop.RecordPeerMessage(now);
      // An entry that starts may fetch the configuration from this agent.
      if (loop.nodes_.RecordMessage({source.address, Role::kEntry}, now,
                                    absl::Milliseconds(report.interval_ms))) {
        loop.SendConfiguration({source.address});
      }
      for (const NodeAddress& node : report.nodes)
        loop.nodes_.Learn(node, now);
    }
    void operator()(const ConfigurationReport& report) const {
      loop.OnConfigurationReport(source.address, report);
    }
    void operator()(const ForwardedPacket& forwarded) const {
      const absl::optional<PacketHeader> header =
          loop.ReadPacket(forwarded.packet);
      if (!header.has_value())
        return;
      loop.forwarder_.OnForwarded(forwarded, *header, source, now,
                                  loop.actions_);
      loop.Execute(now);
    }
    void operator()(const FlowQuery& query) const {
      loop.forwarder_.OnQuery(query, source, now, loop.actions_);
      loop.Execute(now);
    }
    // Sent to entries only.
    void operator()(const QueryAnswer&) const {}
    void operator()(const AgentReport&) const {}
    void operator()(const ReturnedPacket&) const {}
    void operator()(const FlowPlaced&) const {}
    void operator()(const RefusalReport&) const {}
    void operator()(const EvacuationReport&) const {}
  };

  static AgentIdentity MakeIdentity(const Options& options) {
    AgentIdentity identity;
    identity.service = MakeServiceUid(options.node.service);
    identity.uid =
        MakeTargetUid(identity.service, options.node.target.ToString());
    identity.incarnation = options.incarnation;
    identity.data_centre =
        static_cast<uint32_t>(StableHash(options.node.data_centre, 0));
    return identity;
  }

  absl::Time NextDeadline(absl::Time now) override {
    return std::min(forwarder_.next_deadline(now),
                    last_report_ + kAgentReportInterval);
  }

  void Take(const DataCommand& command, absl::Time now) override {
    std::visit(CommandHandler{*this, now}, command);
  }

  void Round(absl::Time now) override {
    // Packets of the target first: they free slots for packets of clients.
    ReceivePackets([this, now](const PacketHeader& header,
                               absl::Span<const uint8_t> packet) {
      forwarder_.OnTargetPacket(header, packet, now, actions_);
      Execute(now);
    });
    ReceiveMessages([this, now](Endpoint source, const NodeMessage& message) {
      std::visit(MessageHandler{*this, source, now}, message);
    });
    forwarder_.Tick(now, actions_);
    Execute(now);
    SendReports(now);
  }

  void Sweep(absl::Time now) override {
    nodes_.RemoveUnresponsive(now);
    SendRegularConfiguration(nodes_, now);
    PublishStatus(now);
    LogOutcomes(now);
    RecordWarmup(now);
    for (size_t i = 0; i < kNotHeldEvidences; ++i)
      not_held_[i]->Set(forwarder_.not_held_counts()[i]);
    pending_work_->Set(forwarder_.load(now).pending_work_us);
    const WaitAccuracy& accuracy = forwarder_.wait_accuracy();
    predicted_waits_->Set(accuracy.waits);
    predicted_wait_us_->Set(ToMicroseconds(accuracy.predicted));
    observed_wait_us_->Set(ToMicroseconds(accuracy.observed));
    wait_error_us_->Set(ToMicroseconds(accuracy.error));
  }

  static uint64_t ToMicroseconds(absl::Duration time) {
    return static_cast<uint64_t>(absl::ToInt64Microseconds(time));
  }

  void Execute(absl::Time now) {
    for (const AgentActions::ToTarget& action : actions_.to_target) {
      packet_.assign(action.packet.begin(), action.packet.end());
      options_.packets->SetReturnToken(absl::MakeSpan(packet_),
                                       action.return_token);
      packets_.Send(options_.node.target, packet_);
    }
    for (const AgentActions::ToClient& action : actions_.to_clients) {
      channel_.SendRaw({action.client_address, options_.node.client_port},
                       action.packet);
    }
    for (AgentActions::ToEntry& action : actions_.to_entries) {
      ClearReturnMark(action.message);
      channel_.Send(action.entry, action.message);
    }
    for (const AgentActions::ResetClient& reset : actions_.resets) {
      channel_.SendRaw({reset.flow.client.address, options_.node.client_port},
                       options_.packets->MakeReset(reset.flow, reset.sequence));
    }
    LogDecisions(actions_.decisions, now);
    if (actions_.probe_target)
      options_.notices.on_target_check_needed();
    actions_.Clear();
  }

  /// Restores a packet that the target returned to the form its client sent.
  void ClearReturnMark(NodeMessage& message) {
    auto* returned = std::get_if<ReturnedPacket>(&message);
    if (returned == nullptr)
      return;
    packet_.assign(returned->packet.begin(), returned->packet.end());
    options_.packets->SetReturnToken(absl::MakeSpan(packet_), 0);
    returned->packet = packet_;
  }

  void SendReports(absl::Time now) {
    if (!nodes_.IsReportTime(now))
      return;
    due_.clear();
    const absl::Duration interval =
        AgentReportInterval(nodes_.CountPresentEntries(now));
    nodes_.SetInterval(interval);
    nodes_.TakeDue(now, due_);
    last_report_ = now;
    if (due_.empty())
      return;
    AgentReport report;
    report.agent = identity_;
    report.sequence = ++sequence_;
    report.load = forwarder_.load(now);
    report.interval_ms =
        static_cast<uint16_t>(absl::ToInt64Milliseconds(interval));
    const NodeMessage message = report;
    for (const uint32_t address : due_)
      channel_.SendToNode(address, message);
  }

  void LogReport(const TargetReport& report,
                 TargetChange change,
                 absl::Time now) {
    if (change == TargetChange::kNone)
      return;
    const EventId event =
        change == TargetChange::kAppeared       ? kTargetAppeared
        : change == TargetChange::kRestarted    ? kTargetRestarted
        : change == TargetChange::kWrongService ? kTargetOfOtherService
                                                : kTargetStateChanged;
    LogLine(event)
        .Field("target", report.id)
        .Field("service", report.service)
        .Field("started_ms", report.started_unix_ms)
        .Field("sequence", report.sequence)
        .Field("slots", report.slots)
        .Field("draining", report.draining ? "true" : "false")
        .Field("warmup_ms", absl::ToInt64Milliseconds(report.warmup_left))
        .Field("state", InstanceStateName(forwarder_.load(now).state));
  }

  void LogOutcomes(absl::Time now) {
    const AgentLoad load = forwarder_.load(now);
    const bool failing = failing_ ? load.failing_permille > kRecoveredPermille
                                  : load.failing_permille >= kFailingPermille;
    if (failing == failing_)
      return;
    failing_ = failing;
    LogLine(failing ? kTargetFailing : kTargetRecovered)
        .Field("target", forwarder_.target().id())
        .Field("failing_permille", load.failing_permille)
        .Field("busy", load.busy)
        .Field("slots", load.slots)
        .Field("service_time_us", load.service_time_us);
  }

  void RecordWarmup(absl::Time now) {
    const WarmupCounts& counts = forwarder_.warmup_counts();
    warmup_delivered_.Set(counts.delivered);
    warmup_delayed_.Set(counts.delayed);
    const bool warming_up = forwarder_.is_warming_up(now);
    warming_up_gauge_.Set(warming_up ? 1 : 0);
    if (warming_up == warming_up_)
      return;
    warming_up_ = warming_up;
    LogLine(warming_up ? kWarmupBegan : kWarmupEnded)
        .Field("target", forwarder_.target().id())
        .Field("most_per_second", forwarder_.warmup_limit().most_per_second())
        .Field("delivered", counts.delivered)
        .Field("delayed", counts.delayed);
  }

  void PublishStatus(absl::Time now) {
    NodeStatus status;
    status.role = Role::kAgent;
    status.ready = is_ready();
    status.leaving = leaving_;
    status.configuration = configuration();
    status.nodes = nodes_.Present(now, kMaxReportedNodes);
    status.load = forwarder_.load(now);
    status.admission = forwarder_.admission();
    status.target_id = forwarder_.target().id();
    status.time = now;
    options_.board->Publish(std::move(status));
  }

  bool IsReady(absl::Time now) override {
    return forwarder_.load(now).accepts_flows();
  }

  bool IsEndComplete(absl::Duration leaving, absl::Time now) override {
    return leaving >= kMinLeaveTime &&
           (forwarder_.is_idle() || forwarder_.is_target_gone(now));
  }

  const AgentIdentity identity_;
  AgentForwarder forwarder_;
  NodeDirectory nodes_;
  AgentActions actions_;
  std::vector<uint8_t> packet_;
  uint64_t sequence_ = 0;
  absl::Time last_report_ = absl::InfinitePast();
  bool failing_ = false;
  bool warming_up_ = false;
  Counter& warming_up_gauge_;
  Counter& warmup_delivered_;
  Counter& warmup_delayed_;
  /// By NotHeldEvidence.
  std::array<Counter*, kNotHeldEvidences> not_held_{};
  Counter* pending_work_ = nullptr;
  Counter* predicted_waits_ = nullptr;
  Counter* predicted_wait_us_ = nullptr;
  Counter* observed_wait_us_ = nullptr;
  Counter* wait_error_us_ = nullptr;
};

}  // namespace

Result<std::unique_ptr<DataLoop>> OpenAgentLoop(
    const DataLoop::Options& options) {
  BOOST_OUTCOME_TRY(target, UdpSocket::Bind(options.node.target_packets));
  BOOST_OUTCOME_TRY(peers, UdpSocket::Bind(options.node.peers));
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  return std::unique_ptr<DataLoop>(std::make_unique<AgentLoop>(
      options, std::move(target), std::move(peers), std::move(wakeup)));
}

}  // namespace skylarkshunt
