#include "standins/packet_fleet/flow_clients.h"

#include <array>
#include <utility>

#include "absl/memory/memory.h"
#include "absl/strings/str_cat.h"
#include "platform/packet_format.h"
#include "standins/packet_fleet/packet_writer.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kRound = absl::Milliseconds(5);
/// Times of the copies of an opening packet, and of the end of its attempt.
constexpr std::array<absl::Duration, 3> kOpeningWaits = {
    absl::Milliseconds(200), absl::Milliseconds(400), absl::Milliseconds(800)};
constexpr absl::Duration kFirstRepeat = absl::Milliseconds(200);
constexpr absl::Duration kLongestRepeat = absl::Milliseconds(1600);
constexpr absl::Duration kDeadline = absl::Seconds(3);
constexpr int kMostAttempts = 3;
constexpr uint32_t kFirstSequence = 5000;

}  // namespace

Result<std::unique_ptr<FlowClients>> FlowClients::Start(
    const Options& options) {
  std::vector<UdpSocket> sockets;
  for (const uint32_t address : options.addresses) {
    BOOST_OUTCOME_TRY(socket, UdpSocket::Bind({address, options.port}));
    sockets.push_back(std::move(socket));
  }
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  auto clients = absl::WrapUnique(
      new FlowClients(options, std::move(sockets), std::move(wakeup)));
  clients->thread_.Start([raw = clients.get()] { raw->Step(); });
  return clients;
}

FlowClients::FlowClients(const Options& options,
                         std::vector<UdpSocket> sockets,
                         Wakeup wakeup)
    : options_(options),
      format_(MakePlatformPacketFormat()),
      sockets_(std::move(sockets)),
      wakeup_(std::move(wakeup)),
      random_(options.seed),
      next_ask_(MonotonicNow()),
      thread_(wakeup_) {}

FlowClients::~FlowClients() {
  thread_.Stop();
}

void FlowClients::SetRotation(std::vector<Endpoint> entries) {
  absl::MutexLock lock(&mutex_);
  rotation_ = std::move(entries);
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
    next_ask_ += absl::Seconds(1) / options_.requests_per_second;
    Ask(now);
  }
  SendDue(now);
}

void FlowClients::Ask(absl::Time now) {
  Attempt attempt;
  attempt.client = random_() % sockets_.size();
  attempt.route = options_.routes[random_() % options_.routes.size()];
  attempt.request = next_request_++;
  attempt.opened = now;
  attempt.deadline = now + kDeadline;
  ++tally_.asked;
  ++tally_.by_second[absl::ToUnixSeconds(now)].second;
  attempt.flow = {{options_.addresses[attempt.client], next_port_++},
                  attempt.route.address};
  SendAttempt(attempt, now);
  running_[attempt.request] = attempt;
}

void FlowClients::SendAttempt(Attempt& attempt, absl::Time now) {
  PacketHeader header;
  header.source = attempt.flow.client;
  header.destination = attempt.flow.service;
  header.sequence = kFirstSequence;
  if (attempt.phase == Phase::kOpening) {
    header.opening = true;
    Send(attempt, header, "", static_cast<uint32_t>(attempt.sent));
    attempt.next = now + kOpeningWaits[attempt.sent];
  } else {
    header.sequence = kFirstSequence + 1;
    header.acknowledges = true;
    header.acknowledged = attempt.granted + 1;
    Send(attempt, header,
         absl::StrCat(attempt.request, " ", attempt.route.service), 0);
    attempt.next =
        now + std::min(kLongestRepeat, kFirstRepeat * (1 << attempt.sent));
  }
  ++attempt.sent;
}

void FlowClients::Send(const Attempt& attempt,
                       const PacketHeader& header,
                       const std::string& payload,
                       uint32_t copies) {
  if (rotation_.empty())
    return;
  const uint64_t hash = StableFlowHash(attempt.flow);
  sockets_[attempt.client].Send(rotation_[hash % rotation_.size()],
                                WritePacket(header, payload, copies));
}

void FlowClients::OnPacket(const PacketHeader& header,
                           absl::Span<const uint8_t> packet,
                           absl::Time now) {
  const FlowId flow = header.flow_to_client();
  auto found = running_.begin();
  while (found != running_.end() && found->second.flow != flow)
    ++found;
  if (found == running_.end())
    return;
  Attempt& attempt = found->second;
  if (header.reset) {
    const bool was_open = attempt.phase == Phase::kOpen;
    if (was_open)
      tally_.cuts[attempt.granted >> 24].push_back(now);
    Attempt copy = attempt;
    running_.erase(found);
    Retry(std::move(copy), was_open, now);
    return;
  }
  if (header.opening) {
    if (attempt.phase == Phase::kOpen)
      return;
    attempt.phase = Phase::kOpen;
    attempt.granted = header.sequence;
    attempt.sent = 0;
    SendAttempt(attempt, now);
    return;
  }
  if (header.payload_bytes == 0)
    return;
  const std::string payload(packet.end() - header.payload_bytes, packet.end());
  if (payload != absl::StrCat(attempt.request, " ", attempt.route.service))
    ++tally_.wrong;
  else
    ++tally_.answered;
  ++tally_.by_second[absl::ToUnixSeconds(attempt.opened)].first;
  PacketHeader end;
  end.source = flow.client;
  end.destination = flow.service;
  end.acknowledges = true;
  end.acknowledged = attempt.granted + 2;
  end.ending = true;
  Send(attempt, end, "", 0);
  running_.erase(found);
}

void FlowClients::Retry(Attempt attempt, bool was_open, absl::Time now) {
  const bool allowed = attempt.route.idempotent || !was_open;
  if (!allowed || attempt.attempt >= kMostAttempts || now > attempt.deadline) {
    ++(was_open ? tally_.cut : tally_.refused);
    return;
  }
  ++attempt.attempt;
  attempt.phase = Phase::kOpening;
  attempt.sent = 0;
  attempt.flow.client.port = next_port_++;
  SendAttempt(attempt, now);
  running_[attempt.request] = std::move(attempt);
}

void FlowClients::SendDue(absl::Time now) {
  std::vector<Attempt> ended;
  for (auto it = running_.begin(); it != running_.end();) {
    Attempt& attempt = it->second;
    if (now >= attempt.deadline) {
      ++tally_.timed_out;
      it = running_.erase(it);
      continue;
    }
    if (now < attempt.next) {
      ++it;
      continue;
    }
    if (attempt.phase == Phase::kOpening &&
        attempt.sent >= static_cast<int>(kOpeningWaits.size())) {
      ended.push_back(attempt);
      it = running_.erase(it);
      continue;
    }
    SendAttempt(attempt, now);
    ++it;
  }
  for (Attempt& attempt : ended)
    Retry(std::move(attempt), false, now);
}

}  // namespace skylarkshunt
