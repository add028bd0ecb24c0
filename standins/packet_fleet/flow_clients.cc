#include "standins/packet_fleet/flow_clients.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/memory/memory.h"
#include "absl/strings/str_cat.h"
#include "platform/packet_format.h"
#include "standins/packet_fleet/packet_writer.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kRound = absl::Milliseconds(5);
/// Times of the retransmissions of an opening packet, and of the end of its
/// attempt.
constexpr std::array<absl::Duration, 3> kOpeningWaits = {
    absl::Milliseconds(200), absl::Milliseconds(400), absl::Milliseconds(800)};
constexpr absl::Duration kFirstRepeat = absl::Milliseconds(200);
constexpr absl::Duration kLongestRepeat = absl::Milliseconds(1600);
/// Doublings after which an interval is above kLongestRepeat.
constexpr int kMostDoublings = 4;
constexpr absl::Duration kDeadline = absl::Seconds(3);
constexpr int kMostAttempts = 3;
/// Pause between two requests of a kept flow, and how long it is kept.
constexpr int kLeastPauseMs = 50;
constexpr int kMostPauseMs = 800;
constexpr int kLeastKeptMs = 1000;
constexpr int kMostKeptMs = 10'000;
/// Lower ports are not used by clients.
constexpr uint16_t kFirstPort = 1024;
constexpr int kPercent = 100;

}  // namespace

Result<std::unique_ptr<FlowClients>> FlowClients::Start(const Options& options,
                                                        FlowLedger& ledger) {
  std::vector<UdpSocket> sockets;
  for (const uint32_t address : options.addresses) {
    BOOST_OUTCOME_TRY(socket, UdpSocket::Bind({address, options.port}));
    sockets.push_back(std::move(socket));
  }
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  auto clients = absl::WrapUnique(
      new FlowClients(options, ledger, std::move(sockets), std::move(wakeup)));
  clients->thread_.Start([raw = clients.get()] { raw->Step(); });
  return clients;
}

FlowClients::FlowClients(const Options& options,
                         FlowLedger& ledger,
                         std::vector<UdpSocket> sockets,
                         Wakeup wakeup)
    : options_(options),
      ledger_(ledger),
      format_(MakePlatformPacketFormat()),
      sockets_(std::move(sockets)),
      wakeup_(std::move(wakeup)),
      routes_(options.routes),
      random_(options.seed),
      next_port_(kFirstPort),
      next_ask_(MonotonicNow()),
      last_step_(next_ask_),
      thread_(wakeup_) {}

FlowClients::~FlowClients() {
  thread_.Stop();
}

void FlowClients::SetRotation(std::vector<Endpoint> entries) {
  absl::MutexLock lock(&mutex_);
  rotation_ = std::move(entries);
}

void FlowClients::SetRoutes(std::vector<ClientRoute> routes) {
  absl::MutexLock lock(&mutex_);
  routes_ = std::move(routes);
}

void FlowClients::SetRateFactor(int factor) {
  absl::MutexLock lock(&mutex_);
  rate_factor_ = factor;
}

void FlowClients::StopAsking() {
  absl::MutexLock lock(&mutex_);
  asking_ = false;
}

bool FlowClients::idle() const {
  absl::MutexLock lock(&mutex_);
  return running_.empty();
}

ClientTally FlowClients::tally() const {
  absl::MutexLock lock(&mutex_);
  return tally_;
}

void FlowClients::Step() {
  WaitReadable({wakeup_.fd()}, kRound);
  const absl::Time now = MonotonicNow();
  absl::MutexLock lock(&mutex_);
  for (UdpSocket& socket : sockets_) {
    while (absl::optional<Datagram> datagram = socket.Receive()) {
      const Result<PacketHeader> header = format_->Read(datagram->bytes);
      if (header.has_value())
        OnPacket(header.value(), datagram->bytes, now);
    }
  }
  while (asking_ && next_ask_ <= now) {
    next_ask_ +=
        absl::Seconds(1) / (options_.requests_per_second * rate_factor_);
    Ask(now);
  }
  SendDue(now);
  last_step_ = now;
}

void FlowClients::Ask(absl::Time now) {
  Attempt attempt;
  attempt.client = random_() % sockets_.size();
  attempt.route = routes_[random_() % routes_.size()];
  if (static_cast<int>(random_() % kPercent) < options_.kept_percent) {
    ++tally_.kept;
    attempt.kept_until =
        now + absl::Milliseconds(kLeastKeptMs +
                                 random_() % (kMostKeptMs - kLeastKeptMs));
  }
  CountAsked(attempt, now);
  Open(std::move(attempt), now);
}

void FlowClients::CountAsked(Attempt& attempt, absl::Time now) {
  attempt.request = next_request_++;
  attempt.attempt = 1;
  attempt.asked = now;
  attempt.deadline = now + kDeadline;
  ++tally_.asked;
  ++tally_.by_second[absl::ToUnixSeconds(now)].second;
}

void FlowClients::Open(Attempt attempt, absl::Time now) {
  do {
    next_port_ = std::max(kFirstPort, static_cast<uint16_t>(next_port_ + 1));
    attempt.flow = {{options_.addresses[attempt.client], next_port_},
                    attempt.route.address};
  } while (running_.contains(attempt.flow));
  attempt.phase = Phase::kOpening;
  attempt.sent = 0;
  attempt.sequence = static_cast<uint32_t>(random_());
  SendAttempt(attempt, now);
  running_[attempt.flow] = std::move(attempt);
}

void FlowClients::SendAttempt(Attempt& attempt, absl::Time now) {
  PacketHeader header;
  header.sequence = attempt.sequence;
  if (attempt.phase == Phase::kOpening) {
    header.opening = true;
    attempt.next = now + kOpeningWaits[attempt.sent];
    Send(attempt, header, "", static_cast<uint32_t>(attempt.sent), now);
  } else {
    header.acknowledges = true;
    header.acknowledged = attempt.expects;
    attempt.next =
        now +
        std::min(kLongestRepeat,
                 kFirstRepeat * (1 << std::min(attempt.sent, kMostDoublings)));
    Send(attempt, header,
         absl::StrCat(attempt.request, " ", attempt.route.service,
                      attempt.asked < attempt.kept_until ? " keep" : ""),
         0, now);
  }
  ++attempt.sent;
}

void FlowClients::Send(const Attempt& attempt,
                       const PacketHeader& header,
                       const std::string& payload,
                       uint32_t copies,
                       absl::Time now) {
  if (rotation_.empty())
    return;
  PacketHeader complete = header;
  complete.source = attempt.flow.client;
  complete.destination = attempt.flow.service;
  const uint64_t hash = StableFlowHash(attempt.flow);
  const Endpoint entry = rotation_[hash % rotation_.size()];
  ledger_.RecordSent(attempt.flow, entry, now);
  sockets_[attempt.client].Send(entry, WritePacket(complete, payload, copies));
}

void FlowClients::OnPacket(const PacketHeader& header,
                           absl::Span<const uint8_t> packet,
                           absl::Time now) {
  const auto found = running_.find(header.flow_to_client());
  if (found == running_.end())
    return;
  Attempt& attempt = found->second;
  const bool from_end = HasChecksum(packet);
  if (!from_end && !IsReset(packet)) {
    ++tally_.altered;
    return;
  }
  if (header.reset) {
    OnReset(attempt, header, from_end, now);
    return;
  }
  if (header.opening) {
    if (attempt.phase != Phase::kOpening)
      return;
    attempt.phase = Phase::kOpen;
    attempt.sequence += 1;
    attempt.expects = header.sequence + 1;
    attempt.sent = 0;
    ledger_.RecordGranted(attempt.flow, header.sequence);
    SendAttempt(attempt, now);
    return;
  }
  if (attempt.phase == Phase::kOpening || header.payload_bytes == 0)
    return;
  const std::string payload(packet.end() - header.payload_bytes, packet.end());
  OnAnswer(attempt, header, payload, now);
}

void FlowClients::OnReset(Attempt& attempt,
                          const PacketHeader& header,
                          bool from_end,
                          absl::Time now) {
  const ResetOutcome outcome =
      ledger_.RecordReset(attempt.flow, header.sequence, attempt.expects,
                          from_end, last_step_, now);
  if (outcome == ResetOutcome::kIgnored)
    return;
  ledger_.RecordEnd(attempt.flow, now);
  Attempt copy = std::move(attempt);
  running_.erase(copy.flow);
  if (copy.phase == Phase::kIdle) {
    ++tally_.cut;
    return;
  }
  Retry(std::move(copy), outcome == ResetOutcome::kEndsFlow, now);
}

void FlowClients::OnAnswer(Attempt& attempt,
                           const PacketHeader& header,
                           const std::string& payload,
                           absl::Time now) {
  const FlowId flow = attempt.flow;
  if (attempt.phase == Phase::kIdle || header.sequence != attempt.expects) {
    Acknowledge(attempt, false, now);
    return;
  }
  const std::string own =
      absl::StrCat(attempt.request, " ", attempt.route.service);
  if (payload == own + " busy")
    ++tally_.rejected;
  else if (payload != own)
    ++tally_.wrong;
  else
    ++tally_.answered;
  ++tally_.by_second[absl::ToUnixSeconds(attempt.asked)].first;
  const std::string request =
      absl::StrCat(own, attempt.asked < attempt.kept_until ? " keep" : "");
  attempt.sequence += static_cast<uint32_t>(request.size());
  attempt.expects += header.payload_bytes;
  const bool ends = header.ending || !asking_ || now >= attempt.kept_until;
  Acknowledge(attempt, ends, now);
  if (ends) {
    ledger_.RecordEnd(flow, now);
    running_.erase(flow);
    return;
  }
  attempt.phase = Phase::kIdle;
  attempt.sent = 0;
  attempt.next =
      now + absl::Milliseconds(kLeastPauseMs +
                               random_() % (kMostPauseMs - kLeastPauseMs));
}

void FlowClients::Acknowledge(const Attempt& attempt,
                              bool ending,
                              absl::Time now) {
  PacketHeader header;
  header.sequence = attempt.sequence;
  header.acknowledges = true;
  header.acknowledged = attempt.expects;
  header.ending = ending;
  Send(attempt, header, "", 0, now);
}

void FlowClients::Retry(Attempt attempt, bool was_open, absl::Time now) {
  const bool allowed = attempt.route.idempotent || !was_open;
  if (!allowed || attempt.attempt >= kMostAttempts || now > attempt.deadline) {
    ++(was_open ? tally_.cut : tally_.refused);
    return;
  }
  ++attempt.attempt;
  Open(std::move(attempt), now);
}

void FlowClients::SendDue(absl::Time now) {
  std::vector<FlowId> ended;
  for (auto& [flow, attempt] : running_) {
    if (attempt.phase == Phase::kIdle) {
      if (!asking_) {
        ended.push_back(flow);
        Acknowledge(attempt, true, now);
      } else if (now >= attempt.next) {
        CountAsked(attempt, now);
        attempt.phase = Phase::kOpen;
        SendAttempt(attempt, now);
      }
      continue;
    }
    const bool opening_over =
        attempt.phase == Phase::kOpening &&
        attempt.sent >= static_cast<int>(kOpeningWaits.size());
    if (now >= attempt.deadline || (now >= attempt.next && opening_over))
      ended.push_back(flow);
    else if (now >= attempt.next)
      SendAttempt(attempt, now);
  }
  for (const FlowId& flow : ended) {
    const auto found = running_.find(flow);
    Attempt attempt = std::move(found->second);
    running_.erase(found);
    ledger_.RecordEnd(flow, now);
    if (now >= attempt.deadline && attempt.phase != Phase::kIdle)
      ++tally_.timed_out;
    else if (attempt.phase == Phase::kOpening)
      Retry(std::move(attempt), false, now);
  }
}

}  // namespace skylarkshunt
