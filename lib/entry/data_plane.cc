#include "data_plane.h"

#include <utility>

#include "skylarkshunt/edge/codec.h"
#include "skylarkshunt/link/codec.h"

namespace skylarkshunt {
namespace {

/// Longest wait for a datagram before the loop looks whether to end.
constexpr absl::Duration kDataWait = absl::Milliseconds(100);

Counter& MalformedCounter(CounterRegistry& counters, absl::string_view labels) {
  return counters.Find("skylarkshunt_malformed_datagrams_total",
                       "Datagrams dropped because they did not decode.",
                       MetricType::kCounter, labels);
}

}  // namespace

Result<std::unique_ptr<EntryDataPlane>> EntryDataPlane::Open(
    const Options& options) {
  BOOST_OUTCOME_TRY(callers, UdpSocket::Bind(options.data));
  BOOST_OUTCOME_TRY(agents, UdpSocket::Bind(Endpoint{options.data.address, 0}));
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  Router::Options routing;
  routing.entry = agents.local();
  routing.incarnation = options.incarnation;
  routing.policy = options.policy;
  routing.random_seed = options.random_seed;
  BOOST_OUTCOME_TRY(router, Router::Create(routing));
  router->UseSnapshot(RoutingSnapshot::Build(options.region, {}, {}, nullptr));
  std::unique_ptr<EntryDataPlane> plane(new EntryDataPlane(
      options, std::move(callers), std::move(agents), std::move(wakeup)));
  plane->router_ = std::move(router);
  return plane;
}

EntryDataPlane::EntryDataPlane(const Options& options,
                               UdpSocket callers,
                               UdpSocket agents,
                               Wakeup wakeup)
    : callers_(std::move(callers)),
      agents_(std::move(agents)),
      wakeup_(std::move(wakeup)),
      log_(*options.counters, options.established_log_rate),
      caller_malformed_(MalformedCounter(*options.counters, "from=\"caller\"")),
      agent_malformed_(MalformedCounter(*options.counters, "from=\"agent\"")),
      replies_(options.counters->Find("skylarkshunt_replies_total",
                                      "Answers of agents sent to callers.")),
      unsent_(options.counters->Find(
          "skylarkshunt_unsent_datagrams_total",
          "Datagrams that were too large or that the kernel did not take.")),
      snapshots_replaced_(
          options.counters->Find("skylarkshunt_ring_overflows_total",
                                 "Pushes that found a ring full.",
                                 MetricType::kCounter,
                                 "ring=\"routing_snapshots\"")),
      snapshots_(1, [this] { wakeup_.Notify(); }),
      last_traffic_ms_(absl::ToUnixMillis(MonotonicNow())),
      thread_(wakeup_) {}

void EntryDataPlane::Start() {
  thread_.Start([this] { Step(); });
}

void EntryDataPlane::UseSnapshot(
    std::shared_ptr<const RoutingSnapshot> snapshot) {
  snapshots_.PushReplacingOldest(std::move(snapshot));
  snapshots_replaced_.Set(snapshots_.overflows());
}

absl::Duration EntryDataPlane::Quiet() const {
  return MonotonicNow() - absl::FromUnixMillis(last_traffic_ms_.load());
}

void EntryDataPlane::Step() {
  WaitReadable({callers_.fd(), agents_.fd(), wakeup_.fd()}, kDataWait);
  wakeup_.Drain();
  if (auto snapshot = snapshots_.TryPop())
    router_->UseSnapshot(*std::move(snapshot));
  const absl::Time now = MonotonicNow();
  for (int i = 0; i < kDatagramBatch; ++i) {
    const absl::optional<Datagram> datagram = callers_.Receive();
    if (!datagram.has_value())
      break;
    OnCallerDatagram(now, *datagram);
  }
  for (int i = 0; i < kDatagramBatch; ++i) {
    const absl::optional<Datagram> datagram = agents_.Receive();
    if (!datagram.has_value())
      break;
    OnAgentDatagram(now, *datagram);
  }
}

void EntryDataPlane::OnCallerDatagram(absl::Time now,
                                      const Datagram& datagram) {
  Result<CallerMessage> message = DecodeCallerMessage(datagram.bytes);
  if (!message.has_value()) {
    caller_malformed_.Increment();
    return;
  }
  NoteTraffic(now);
  const RouteResult result = router_->OnCallerMessage(
      now, datagram.source, std::move(message).value());
  log_.Record(now, result.decision);
  Execute(result.action);
}

void EntryDataPlane::OnAgentDatagram(absl::Time now, const Datagram& datagram) {
  Result<LinkMessage> message = DecodeLinkMessage(datagram.bytes);
  Reply* reply =
      message.has_value() ? std::get_if<Reply>(&message.value()) : nullptr;
  if (reply == nullptr) {
    agent_malformed_.Increment();
    return;
  }
  NoteTraffic(now);
  replies_.Increment();
  SendToCaller(router_->OnReply(now, std::move(*reply)));
}

void EntryDataPlane::Execute(const RouteAction& action) {
  if (const auto* to_agent = std::get_if<RouteToAgent>(&action))
    SendToAgent(*to_agent);
  else if (const auto* to_caller = std::get_if<RouteToCaller>(&action))
    SendToCaller(*to_caller);
}

void EntryDataPlane::SendToAgent(const RouteToAgent& route) {
  const Result<std::vector<uint8_t>> bytes = EncodeLinkMessage(route.forward);
  if (!bytes.has_value() || !agents_.Send(route.agent, bytes.value()))
    unsent_.Increment();
}

void EntryDataPlane::SendToCaller(const RouteToCaller& route) {
  const Result<std::vector<uint8_t>> bytes = EncodeAnswer(route.answer);
  if (!bytes.has_value() || !callers_.Send(route.caller, bytes.value()))
    unsent_.Increment();
}

void EntryDataPlane::NoteTraffic(absl::Time now) {
  last_traffic_ms_.store(absl::ToUnixMillis(now), std::memory_order_relaxed);
}

}  // namespace skylarkshunt
