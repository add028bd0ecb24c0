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
constexpr uint32_t kSlots = 4;

}  // namespace

Result<std::unique_ptr<FlowTarget>> FlowTarget::Start(const Options& options) {
  BOOST_OUTCOME_TRY(socket, UdpSocket::Bind(options.app));
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  auto target = absl::WrapUnique(
      new FlowTarget(options, std::move(socket), std::move(wakeup)));
  BOOST_OUTCOME_TRYV(target->Open());
  return target;
}

FlowTarget::FlowTarget(const Options& options, UdpSocket socket, Wakeup wakeup)
    : options_(options),
      format_(MakePlatformPacketFormat()),
      socket_(std::move(socket)),
      wakeup_(std::move(wakeup)),
      started_ms_(absl::ToUnixMillis(absl::Now())),
      random_(options.index),
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

void FlowTarget::Crash() {
  absl::MutexLock lock(&mutex_);
  crashed_.store(true);
  flows_.clear();
}

void FlowTarget::Restart() {
  absl::MutexLock lock(&mutex_);
  started_ms_.store(absl::ToUnixMillis(absl::Now()));
  sequence_.store(0);
  draining_.store(false);
  crashed_.store(false);
}

std::map<uint64_t, int> FlowTarget::runs() const {
  absl::MutexLock lock(&mutex_);
  return runs_;
}

void FlowTarget::Step() {
  WaitReadable({socket_.fd(), wakeup_.fd()}, kRound);
  while (absl::optional<Datagram> datagram = socket_.Receive()) {
    const Result<PacketHeader> header = format_->Read(datagram->bytes);
    if (header.has_value())
      OnPacket(header.value(), datagram->bytes);
  }
  SendDue(absl::Now());
}

void FlowTarget::OnPacket(const PacketHeader& header,
                          absl::Span<const uint8_t> packet) {
  absl::MutexLock lock(&mutex_);
  const FlowId id = header.flow_from_client();
  const auto known = flows_.find(id);
  const bool granted = known != flows_.end();
  if (crashed_.load() || (!granted && !header.opening)) {
    std::vector<uint8_t> returned(packet.begin(), packet.end());
    returned[30] |= 8;
    socket_.Send(options_.outbound, returned);
    return;
  }
  if (header.opening) {
    Flow& flow = flows_[id];
    if (!granted)
      flow.sequence = (uint32_t{options_.index} << 24) | (random_() & 0xffff);
    PacketHeader grant;
    grant.source = id.service;
    grant.destination = id.client;
    grant.opening = true;
    grant.acknowledges = true;
    grant.sequence = flow.sequence;
    Send(grant, "");
    return;
  }
  Flow& flow = known->second;
  if (header.acknowledges && header.acknowledged - flow.sequence > 0xffff) {
    std::vector<uint8_t> returned(packet.begin(), packet.end());
    returned[30] |= 8;
    socket_.Send(options_.outbound, returned);
    return;
  }
  if (header.ending || header.reset) {
    flow.answered = true;
    return;
  }
  const std::string payload(packet.end() - header.payload_bytes, packet.end());
  const std::vector<std::string> parts = absl::StrSplit(payload, ' ');
  uint64_t request = 0;
  if (flow.request != 0 || parts.size() != 2 ||
      !absl::SimpleAtoi(parts[0], &request)) {
    return;
  }
  if (parts[1] != options_.service)
    misrouted_.fetch_add(1);
  flow.request = request;
  flow.next = absl::Now() + options_.work;
  ++runs_[request];
}

void FlowTarget::SendDue(absl::Time now) {
  absl::MutexLock lock(&mutex_);
  for (auto& [id, flow] : flows_) {
    if (flow.request == 0 || flow.answered || now < flow.next ||
        flow.sent > kMostRepeats) {
      continue;
    }
    ++flow.sent;
    flow.next = now + kRepeatAfter * flow.sent;
    PacketHeader answer;
    answer.source = id.service;
    answer.destination = id.client;
    answer.acknowledges = true;
    answer.ending = true;
    answer.sequence = flow.sequence + 1;
    Send(answer, absl::StrCat(flow.request, " ", options_.service));
  }
}

void FlowTarget::Send(const PacketHeader& header, const std::string& payload) {
  socket_.Send(options_.outbound, WritePacket(header, payload));
}

void FlowTarget::Report() {
  if (crashed_.load())
    return;
  const nlohmann::json report = {
      {"service", options_.service},
      {"addr", options_.app.ToString()},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", kSlots},
      {"state", draining_.load() ? "draining" : "ready"},
      {"warmup-left-ms", 0},
      {"seq", sequence_.fetch_add(1) + 1},
      {"born", started_ms_.load()}};
  HttpCall call;
  call.server = options_.reports;
  call.method = "POST";
  call.target = absl::StrCat("/skylarkshunt/Instances.Heartbeat/t",
                             static_cast<int>(options_.index));
  call.body = report.dump();
  call.timeout = options_.report_interval;
  // The agent may be away; the next report follows soon.
  static_cast<void>(Call(call));
}

}  // namespace skylarkshunt
