#include "node_loop.h"

#include <algorithm>
#include <utility>

#include "skylarkshunt/forwarding/node_directory.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kSweepInterval = absl::Seconds(1);
/// Longest wait of a round. A suspension is detected by the gap between two
/// rounds, so a round must be much shorter than kSuspendedGap.
constexpr absl::Duration kMaxRoundWait = absl::Milliseconds(100);
/// After a wait of this length the packet socket is read even if poll() did not
/// report a packet. The wait may have begun long before the socket was last
/// empty, and only a read shows that it is empty now.
constexpr absl::Duration kLongWait = absl::Milliseconds(10);
/// Shortest wait. It prevents a busy loop when a deadline is in the past.
constexpr absl::Duration kMinRoundWait = absl::Milliseconds(1);
/// Time between the end of the shutdown and the SIGKILL.
constexpr absl::Duration kShutdownMargin = absl::Seconds(1);

}  // namespace

NodeLoop::NodeLoop(const Options& options,
                   UdpSocket packets,
                   UdpSocket peers,
                   Wakeup wakeup,
                   EventId suspended,
                   size_t regular_receivers)
    : options_(options),
      packets_(std::move(packets)),
      channel_(std::move(peers), options.node.peers.port, *options.counters),
      started_(MonotonicNow()),
      wakeup_(std::move(wakeup)),
      suspended_(suspended),
      log_(*options.counters, *options.history),
      exchange_(regular_receivers),
      malformed_(options.counters->Find(
          "skylarkshunt_packets_malformed_total",
          "Packets of clients or targets that were refused.")),
      received_(options.counters->Find("skylarkshunt_packets_total",
                                       "Packets of clients or targets.")),
      commands_(kMaxDataCommands, [this] { wakeup_.Notify(); }),
      last_round_(started_),
      packets_empty_(started_),
      next_sweep_(started_),
      thread_(wakeup_) {}

void NodeLoop::Start() {
  thread_.Start([this] { Step(); });
}

void NodeLoop::Step() {
  const absl::Time before = MonotonicNow();
  const absl::Duration wait =
      std::min(kMaxRoundWait, NextDeadline(before) - before);
  // A system call costs as much as the decision about a packet, so only sockets
  // with datagrams are read.
  const uint32_t readable =
      WaitReadableSet({packets_.fd(), channel_.fd(), wakeup_.fd()},
                      std::max(kMinRoundWait, wait));
  channel_readable_ = (readable & 2U) != 0;
  const absl::Time now = MonotonicNow();
  // An interrupted poll() reports no socket, and proves nothing.
  const bool was_idle = readable == 0 || now - before >= kLongWait;
  packets_readable_ = was_idle || (readable & 1U) != 0;
  if (!packets_readable_)
    packets_empty_ = before;
  if (now - last_round_ > kSuspendedGap) {
    DiscardStale(now - last_round_);
    packets_empty_ = now;
    OnSuspended(now);
  }
  last_round_ = now;
  if ((readable & 4U) != 0)
    wakeup_.Drain();
  while (absl::optional<DataCommand> command = commands_.TryPop())
    Take(*command, now);
  Round(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    log_.ReportOmitted(now);
    Sweep(now);
  }
  connected_.store(now - last_seen_ < kNodePresenceTimeout);
  ready_.store(IsReady(now));
  if (!leaving_)
    return;
  const absl::Duration leaving = now - leaving_since_;
  if (leaving >= options_.node.shutdown_limit - kShutdownMargin ||
      IsEndComplete(leaving, now)) {
    ended_.store(true);
  }
}

void NodeLoop::ReceivePackets(
    const std::function<void(const PacketHeader&, absl::Span<const uint8_t>)>&
        handle) {
  for (int i = 0; packets_readable_ && i < kDatagramBatch; ++i) {
    const absl::optional<Datagram> datagram = packets_.Receive();
    if (!datagram.has_value()) {
      packets_empty_ = last_round_;
      return;
    }
    const absl::optional<PacketHeader> header = ReadPacket(datagram->bytes);
    if (!header.has_value())
      continue;
    received_.Increment();
    channel_.usage().RecordReceived(LinkPurpose::kClientPacket,
                                    datagram->bytes.size());
    handle(*header, datagram->bytes);
  }
}

void NodeLoop::ReceiveMessages(
    const std::function<void(Endpoint, const NodeMessage&)>& handle) {
  if (channel_readable_)
    channel_.Receive(handle);
}

absl::optional<PacketHeader> NodeLoop::ReadPacket(
    absl::Span<const uint8_t> packet) {
  const Result<PacketHeader> header = options_.packets->Read(packet);
  if (header.has_value())
    return header.value();
  malformed_.Increment();
  return absl::nullopt;
}

void NodeLoop::LogDecisions(const std::vector<Decision>& decisions,
                            absl::Time now) {
  for (const Decision& decision : decisions)
    log_.Record(now, decision);
}

void NodeLoop::SetConfiguration(const ConfigurationId& held,
                                NodeDirectory& nodes,
                                absl::Time now) {
  SendConfiguration(exchange_.SetHeld(held, nodes, now));
}

void NodeLoop::SendConfiguration(absl::Span<const uint32_t> addresses) {
  const NodeMessage message = exchange_.MakeReport();
  for (const uint32_t address : addresses)
    channel_.SendToNode(address, message);
}

void NodeLoop::SendRegularConfiguration(const NodeDirectory& nodes,
                                        absl::Time now) {
  SendConfiguration(exchange_.NextReceivers(nodes, now));
}

void NodeLoop::OnConfigurationReport(uint32_t address,
                                     const ConfigurationReport& report) {
  switch (exchange_.OnReport(report)) {
    case ConfigurationExchange::Outcome::kEqual:
      return;
    case ConfigurationExchange::Outcome::kNewer:
      options_.notices.on_configuration_offered(address, report.held);
      return;
    case ConfigurationExchange::Outcome::kOlder:
      SendConfiguration({address});
      return;
  }
}

bool NodeLoop::BeginLeaving(absl::Time now) {
  if (leaving_)
    return false;
  leaving_ = true;
  leaving_since_ = now;
  return true;
}

void NodeLoop::DiscardStale(absl::Duration gap) {
  size_t dropped = channel_.Discard();
  while (packets_.Receive().has_value())
    ++dropped;
  LogLine(suspended_, Severity::kWarning)
      .Field("gap_ms", absl::ToInt64Milliseconds(gap))
      .Field("datagrams_dropped", dropped);
}

}  // namespace skylarkshunt
