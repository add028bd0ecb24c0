#include "standins/packet_fleet/flow_target.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/memory/memory.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "platform/packet_format.h"
#include "skylarkshunt/http/http_client.h"
#include "standins/packet_fleet/packet_writer.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kRound = absl::Milliseconds(5);
constexpr absl::Duration kRepeatAfter = absl::Milliseconds(200);
constexpr int kMostRepeats = 8;
/// A flow that ended is known for this long, and its packets are answered.
constexpr absl::Duration kEndedKept = absl::Seconds(5);
/// Limit of the configuration for a flow without packets.
constexpr absl::Duration kIdleTimeout = absl::Seconds(15);

}  // namespace

Result<std::unique_ptr<FlowTarget>> FlowTarget::Start(const Options& options,
                                                      FlowLedger& ledger) {
  BOOST_OUTCOME_TRY(socket, UdpSocket::Bind(options.app));
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  auto target = absl::WrapUnique(
      new FlowTarget(options, ledger, std::move(socket), std::move(wakeup)));
  BOOST_OUTCOME_TRYV(target->Open());
  return target;
}

FlowTarget::FlowTarget(const Options& options,
                       FlowLedger& ledger,
                       UdpSocket socket,
                       Wakeup wakeup)
    : options_(options),
      ledger_(ledger),
      format_(MakePlatformPacketFormat()),
      socket_(std::move(socket)),
      wakeup_(std::move(wakeup)),
      started_ms_(absl::ToUnixMillis(absl::Now())),
      random_(static_cast<uint32_t>(options.index)),
      packets_(wakeup_),
      report_wakeup_(Wakeup::Create().value()),
      reports_(report_wakeup_) {}

FlowTarget::~FlowTarget() {
  reports_.Stop();
  packets_.Stop();
}

Result<void> FlowTarget::Open() {
  HttpServer::Options http;
  http.listeners.push_back({options_.app, [this](const HttpRequest&) {
                              HttpResponse response;
                              const bool well =
                                  !crashed_.load() && !draining_.load();
                              response.status = well ? 200 : 503;
                              return response;
                            }});
  BOOST_OUTCOME_TRY(health, HttpServer::Start(std::move(http)));
  health_ = std::move(health);
  packets_.Start([this] { Step(); });
  reports_.Start([this] {
    Report();
    WaitReadable({report_wakeup_.fd()}, options_.report_interval);
  });
  return Success();
}

void FlowTarget::Crash(bool returns_packets) {
  absl::MutexLock lock(&mutex_);
  crashed_.store(true);
  returns_packets_.store(returns_packets);
  flows_.clear();
  waiting_.clear();
  running_ = 0;
  ledger_.RecordLost(options_.index, MonotonicNow());
}

void FlowTarget::Restart(const Incarnation& incarnation) {
  absl::MutexLock lock(&mutex_);
  const int64_t now = absl::ToUnixMillis(absl::Now());
  started_ms_.store(now);
  first_report_ms_.store(now +
                         absl::ToInt64Milliseconds(incarnation.report_delay));
  if (incarnation.new_id)
    identity_.fetch_add(1);
  sequence_.store(0);
  draining_.store(false);
  crashed_.store(false);
}

void FlowTarget::Leave() {
  HttpCall call;
  call.server = options_.reports;
  call.method = "POST";
  call.target = absl::StrCat("/skylarkshunt/Instances.Leave/", id());
  call.body = nlohmann::json{{"born", started_ms_.load()}}.dump();
  call.timeout = options_.report_interval;
  // A target without an agent that confirms exits as well.
  static_cast<void>(Call(call));
  Crash(false);
}

std::map<uint64_t, int> FlowTarget::runs() const {
  absl::MutexLock lock(&mutex_);
  return runs_;
}

std::string FlowTarget::id() const {
  return absl::StrCat("t", options_.index, "-", identity_.load());
}

void FlowTarget::Step() {
  WaitReadable({socket_.fd(), wakeup_.fd()}, kRound);
  while (absl::optional<Datagram> datagram = socket_.Receive()) {
    const Result<PacketHeader> header = format_->Read(datagram->bytes);
    if (header.has_value())
      OnPacket(header.value(), datagram->bytes);
  }
  SendDue(MonotonicNow());
}

void FlowTarget::OnPacket(const PacketHeader& header,
                          absl::Span<const uint8_t> packet) {
  absl::MutexLock lock(&mutex_);
  const FlowId id = header.flow_from_client();
  const absl::Time now = MonotonicNow();
  if (!HasChecksum(packet))
    altered_.fetch_add(1);
  if (crashed_.load() && !returns_packets_.load())
    return;
  if (header.opening && !crashed_.load()) {
    Grant(id, header);
    return;
  }
  const auto known = flows_.find(id);
  const bool holds =
      known != flows_.end() && header.acknowledges &&
      header.acknowledged - (known->second.granted + 1) <=
          known->second.next_sequence - (known->second.granted + 1);
  if (holds)
    ledger_.RecordOpen(id, options_.index, now);
  if (!header.opening)
    ledger_.RecordReceived(id, options_.index, now);
  if (!holds) {
    socket_.Send(options_.outbound, ReturnPacket(packet));
    return;
  }
  known->second.used = now;
  OnFlowPacket(id, known->second, header,
               {packet.end() - header.payload_bytes, packet.end()});
}

void FlowTarget::Grant(const FlowId& id, const PacketHeader& header) {
  const auto known = flows_.find(id);
  const bool again =
      known != flows_.end() && known->second.opening == header.sequence;
  if (known != flows_.end() && !again) {
    if (known->second.running)
      --running_;
    flows_.erase(known);
  }
  Flow& flow = flows_[id];
  if (!again) {
    flow.opening = header.sequence;
    flow.granted = static_cast<uint32_t>(random_());
    flow.expects = header.sequence + 1;
    flow.sequence = flow.granted + 1;
    flow.next_sequence = flow.granted + 1;
  }
  flow.used = MonotonicNow();
  ledger_.RecordGrant(id, options_.index, flow.granted);
  PacketHeader grant;
  grant.source = id.service;
  grant.destination = id.client;
  grant.opening = true;
  grant.acknowledges = true;
  grant.sequence = flow.granted;
  grant.acknowledged = header.sequence + 1;
  socket_.Send(options_.outbound, WritePacket(grant, ""));
}

void FlowTarget::OnFlowPacket(const FlowId& id,
                              Flow& flow,
                              const PacketHeader& header,
                              const std::string& payload) {
  if (header.acknowledged == flow.next_sequence)
    flow.unacknowledged = false;
  if (flow.ended) {
    if (!payload.empty()) {
      ledger_.RecordEndedByTarget(id, options_.index, MonotonicNow());
      SendEnd(id, flow, true);
    }
    return;
  }
  if (header.ending || header.reset) {
    flow.ended = true;
    if (!header.reset)
      SendEnd(id, flow, false);
    return;
  }
  if (payload.empty())
    return;
  if (header.sequence == flow.expects && !flow.queued && !flow.running) {
    flow.expects += header.payload_bytes;
    TakeRequest(id, flow, payload);
  } else if (flow.unacknowledged) {
    SendAnswer(id, flow);
  }
}

void FlowTarget::TakeRequest(const FlowId& id,
                             Flow& flow,
                             const std::string& payload) {
  const std::vector<std::string> parts = absl::StrSplit(payload, ' ');
  if (parts.size() < 2 || !absl::SimpleAtoi(parts[0], &flow.request)) {
    altered_.fetch_add(1);
    return;
  }
  const bool any = parts[1] == kAnyService;
  if (!any && parts[1] != options_.service)
    misrouted_.fetch_add(1);
  flow.service = any ? kAnyService : options_.service;
  flow.keep = parts.size() > 2;
  if (waiting_.size() >= options_.queue) {
    Answer(id, flow, " busy");
    return;
  }
  flow.queued = true;
  waiting_.push_back(id);
  StartWaiting(MonotonicNow());
}

void FlowTarget::StartWaiting(absl::Time now) {
  while (running_ < options_.slots && !waiting_.empty()) {
    const auto found = flows_.find(waiting_.front());
    waiting_.pop_front();
    if (found == flows_.end() || !found->second.queued)
      continue;
    found->second.queued = false;
    found->second.running = true;
    ++running_;
    ++runs_[found->second.request];
    const double factor = 0.5 + static_cast<double>(random_() % 1000) / 1000;
    found->second.next = now + factor * options_.work;
  }
}

void FlowTarget::Answer(const FlowId& id, Flow& flow, const char* suffix) {
  flow.answer = absl::StrCat(flow.request, " ", flow.service, suffix);
  flow.sequence = flow.next_sequence;
  flow.next_sequence += static_cast<uint32_t>(flow.answer.size());
  flow.unacknowledged = true;
  flow.closing = !flow.keep || draining_.load();
  flow.sent = 0;
  SendAnswer(id, flow);
}

void FlowTarget::SendAnswer(const FlowId& id, Flow& flow) {
  PacketHeader answer;
  answer.source = id.service;
  answer.destination = id.client;
  answer.acknowledges = true;
  answer.acknowledged = flow.expects;
  answer.ending = flow.closing;
  answer.sequence = flow.sequence;
  socket_.Send(options_.outbound, WritePacket(answer, flow.answer));
  ++flow.sent;
  flow.next = MonotonicNow() + kRepeatAfter * flow.sent;
}

void FlowTarget::SendEnd(const FlowId& id, const Flow& flow, bool reset) {
  PacketHeader end;
  end.source = id.service;
  end.destination = id.client;
  end.acknowledges = true;
  end.acknowledged = flow.expects;
  end.ending = !reset;
  end.reset = reset;
  end.sequence = flow.next_sequence;
  socket_.Send(options_.outbound, WritePacket(end, ""));
}

void FlowTarget::SendDue(absl::Time now) {
  absl::MutexLock lock(&mutex_);
  for (auto it = flows_.begin(); it != flows_.end();) {
    const auto current = it++;
    Flow& flow = current->second;
    if (flow.running && now >= flow.next) {
      flow.running = false;
      --running_;
      if (!flow.ended)
        Answer(current->first, flow, "");
    } else if (flow.unacknowledged && !flow.ended && now >= flow.next &&
               flow.sent <= kMostRepeats) {
      SendAnswer(current->first, flow);
    } else if (!flow.running && !flow.queued &&
               now - flow.used > (flow.ended ? kEndedKept : kIdleTimeout)) {
      flows_.erase(current);
    }
  }
  StartWaiting(now);
}

void FlowTarget::Report() {
  if (crashed_.load() ||
      absl::ToUnixMillis(absl::Now()) < first_report_ms_.load()) {
    return;
  }
  const nlohmann::json report = {
      {"service", options_.service},
      {"addr", options_.app.ToString()},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", options_.slots},
      {"state", draining_.load() ? "draining" : "ready"},
      {"warmup-left-ms", 0},
      {"seq", sequence_.fetch_add(1) + 1},
      {"born", started_ms_.load()}};
  HttpCall call;
  call.server = options_.reports;
  call.method = "POST";
  call.target = absl::StrCat("/skylarkshunt/Instances.Heartbeat/", id());
  call.body = report.dump();
  call.timeout = options_.report_interval;
  // The agent may be away; the next report follows soon.
  static_cast<void>(Call(call));
}

}  // namespace skylarkshunt
