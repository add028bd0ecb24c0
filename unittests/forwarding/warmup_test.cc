#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>
#include <random>
#include <variant>
#include <vector>

#include "overload_simulation.h"
#include "packets.h"
#include "skylarkshunt/forwarding/agent_forwarder.h"
#include "skylarkshunt/forwarding/load_model.h"
#include "skylarkshunt/forwarding/warmup_limit.h"

namespace skylarkshunt {
namespace {

const Endpoint kEntry{0x0a010001, 7720};
const ServiceUid kService = MakeServiceUid("dispatch");
/// Limit of the first deployment.
constexpr double kExcess = 1.5;
constexpr double kSlack = 5;
constexpr double kPerSecond = 20;
constexpr size_t kMostPerSecond = 35;

/// Largest number of `times` in a window of one second. Precondition: sorted.
size_t MostInASecond(const std::vector<absl::Time>& times) {
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] > absl::Seconds(1))
      ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

/// Delivers what `limit` allows from `start` to `end`, while demand is without
/// limit except in random pauses.
void DeliverAll(WarmupLimit& limit,
                absl::Time start,
                absl::Time end,
                uint32_t seed,
                std::vector<absl::Time>& delivered) {
  std::mt19937 random(seed);
  for (absl::Time now = start; now < end;) {
    while (limit.NextDelivery() <= now) {
      limit.Record(true, now);
      delivered.push_back(now);
    }
    now += random() % 2000 == 0 ? absl::Milliseconds(random() % 1500)
                                : absl::Milliseconds(1);
  }
}

class WarmupLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WarmupLimitTest);
  CPPUNIT_TEST(NoSecondHasMoreThanTheLimit);
  CPPUNIT_TEST(UsualRateIsWhatTheTargetCanHandle);
  CPPUNIT_TEST(RestartOfTheAgentKeepsTheLimit);
  CPPUNIT_TEST(WithoutConfigurationOnlyTheSlackIsDelivered);
  CPPUNIT_TEST(WithoutRateOrBoundsThereIsNoLimit);
  CPPUNIT_TEST(DeliveriesBeforeARestartOfTheTargetCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A cold target under more load than it can take. Guards against bursts after
  // a pause and at the edges of windows.
  void NoSecondHasMoreThanTheLimit() {
    struct Case {
      double per_second;
      double excess;
      double slack;
      size_t most;
    };
    for (const Case& limits : std::vector<Case>{{20, 1.5, 5, 35},
                                                {100, 1, 0, 100},
                                                {0.5, 1.5, 5, 5},
                                                {1, 1, 0, 1},
                                                {30, 0, 4, 4},
                                                {10, 0.25, 0, 2},
                                                {9'000, 2, 0, 4'096},
                                                {0.5, 1, 0.2, 0}}) {
      WarmupLimit limit(limits.excess, limits.slack, kStart);
      limit.SetRate(limits.per_second);
      CPPUNIT_ASSERT_EQUAL(limits.most, limit.most_per_second());
      std::vector<absl::Time> delivered;
      DeliverAll(limit, kStart, kStart + absl::Seconds(20), 3, delivered);
      CPPUNIT_ASSERT(MostInASecond(delivered) <= limits.most);
      CPPUNIT_ASSERT_EQUAL(limits.most == 0, delivered.empty());
    }
  }

  // Guards against a cold target that gets all that the limit tolerates, and
  // against one that gets less than it can handle.
  void UsualRateIsWhatTheTargetCanHandle() {
    WarmupLimit limit(kExcess, kSlack, kStart - absl::Seconds(5));
    limit.SetRate(kPerSecond);
    std::vector<absl::Time> delivered;
    for (absl::Time now = kStart; now < kStart + absl::Seconds(10);
         now += absl::Milliseconds(1)) {
      if (limit.NextDelivery() > now)
        continue;
      limit.Record(true, now);
      delivered.push_back(now);
    }
    CPPUNIT_ASSERT(delivered.size() >= 200 && delivered.size() <= 202);
    CPPUNIT_ASSERT(MostInASecond(delivered) <= 22);
  }

  // Guards against an agent that exceeds the limit together with its earlier
  // process, of which it knows nothing.
  void RestartOfTheAgentKeepsTheLimit() {
    for (uint32_t seed = 1; seed <= 20; ++seed) {
      std::vector<absl::Time> delivered;
      absl::Time start = kStart;
      for (int restart = 0; restart < 6; ++restart) {
        WarmupLimit limit(kExcess, kSlack, start);
        limit.SetRate(kPerSecond);
        const absl::Time end =
            start + absl::Milliseconds(restart % 2 == 0 ? 1700 : 2400);
        DeliverAll(limit, start, end, seed, delivered);
        start = end;
      }
      CPPUNIT_ASSERT(MostInASecond(delivered) <= kMostPerSecond);
    }
  }

  // Guards against a cold target that is overloaded while the store is away.
  void WithoutConfigurationOnlyTheSlackIsDelivered() {
    WarmupLimit limit(kExcess, kSlack, kStart);
    CPPUNIT_ASSERT(limit.is_in_force());
    std::vector<absl::Time> delivered;
    const absl::Time configured = kStart + absl::Seconds(10);
    DeliverAll(limit, kStart, configured, 3, delivered);
    CPPUNIT_ASSERT(delivered.size() >= 25 && delivered.size() <= 50);
    CPPUNIT_ASSERT(MostInASecond(delivered) <= 5);
    CPPUNIT_ASSERT(delivered.front() >= kStart + absl::Seconds(1));
    limit.SetRate(kPerSecond);
    DeliverAll(limit, configured, configured + absl::Seconds(3), 3, delivered);
    CPPUNIT_ASSERT(MostInASecond(delivered) <= kMostPerSecond);
    CPPUNIT_ASSERT(WarmupLimit(kExcess, 0, kStart).NextDelivery() ==
                   absl::InfiniteFuture());
  }

  // Guards against a limit in deployments that ask for none.
  void WithoutRateOrBoundsThereIsNoLimit() {
    WarmupLimit limit(kExcess, kSlack, kStart);
    limit.SetRate(0);
    CPPUNIT_ASSERT(!limit.is_in_force());
    limit.SetRate(kPerSecond);
    CPPUNIT_ASSERT(limit.is_in_force());
    WarmupLimit without_bounds(0, 0, kStart);
    CPPUNIT_ASSERT(!without_bounds.is_in_force());
    without_bounds.SetRate(kPerSecond);
    CPPUNIT_ASSERT(!without_bounds.is_in_force());
  }

  // A target restarts and its agent learns it from a report. Guards against
  // packets for the new process that are not counted.
  void DeliveriesBeforeARestartOfTheTargetCount() {
    WarmupLimit limit(kExcess, kSlack, kStart - absl::Seconds(5));
    limit.SetRate(kPerSecond);
    std::vector<absl::Time> delivered(kMostPerSecond, kStart);
    for (const absl::Time time : delivered)
      limit.Record(false, time);
    CPPUNIT_ASSERT(limit.NextDelivery() > kStart + absl::Seconds(1));
    DeliverAll(limit, kStart, kStart + absl::Seconds(5), 3, delivered);
    CPPUNIT_ASSERT(MostInASecond(delivered) <= kMostPerSecond);
  }
};

class ColdTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdTargetTest);
  CPPUNIT_TEST(OpeningsOfAColdTargetWaitForTheLimit);
  CPPUNIT_TEST(RetransmissionsCountOnce);
  CPPUNIT_TEST(LoadOfAColdTargetShowsItsCapacity);
  CPPUNIT_TEST(TargetWithoutAReportMayBeCold);
  CPPUNIT_TEST(TargetThatRestartsAgainIsColdAgain);
  CPPUNIT_TEST(WithoutSettingsAColdTargetIsServedAsBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { agent_.Tick(now_, actions_); }

  // Guards against openings that reach a cold target too early, and against
  // ones that wait longer than the limit asks for.
  void OpeningsOfAColdTargetWaitForTheLimit() {
    Report(absl::Seconds(10));
    for (uint16_t port = 1; port <= 3; ++port)
      Open(port);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, delivered_.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent_.warmup_counts().delayed);
    // The slots are free, so only the limit holds the third one back.
    Answer(1);
    Answer(2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, delivered_.size());
    const absl::Time next = agent_.next_deadline(now_);
    CPPUNIT_ASSERT(next > now_ && next <= now_ + absl::Milliseconds(50));
    TickUntil(now_ + absl::Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, delivered_.size());
    for (uint16_t port = 10; port < 200; ++port) {
      Open(port);
      Answer(port);
      TickUntil(now_ + absl::Milliseconds(10));
    }
    CPPUNIT_ASSERT(MostInASecond(delivered_) <= 22);
    CPPUNIT_ASSERT(delivered_.size() >= 30);
  }

  // Guards against a limit that retransmissions use up.
  void RetransmissionsCountOnce() {
    Report(absl::Seconds(10));
    Open(1);
    const absl::Time next = agent_.warmup_limit().NextDelivery();
    Open(1, 1);
    Open(1, 2);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, delivered_.size());
    CPPUNIT_ASSERT(next == agent_.warmup_limit().NextDelivery());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent_.warmup_counts().delivered);
  }

  // Guards against entries that place flows at a cold target as at a warm one.
  void LoadOfAColdTargetShowsItsCapacity() {
    Report(absl::Seconds(10));
    // Two slots that together serve 20 requests per second.
    CPPUNIT_ASSERT_EQUAL(uint32_t{100'000}, agent_.load(now_).service_time_us);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, ExpectedWaitUs(agent_.load(now_), 0));
    for (uint16_t port = 1; port <= 2; ++port) {
      Open(port);
      Answer(port);
    }
    CPPUNIT_ASSERT(ExpectedWaitUs(agent_.load(now_), 0) >= 50'000);
    now_ += absl::Seconds(11);
    CPPUNIT_ASSERT(agent_.load(now_).service_time_us < 50'000);
  }

  // An agent starts, or its target's address refuses connections. Guards
  // against full load on a target that has not reported yet that it is cold.
  void TargetWithoutAReportMayBeCold() {
    agent_.OnTargetHealthy(2);
    CPPUNIT_ASSERT(agent_.is_warming_up(now_));
    Report(absl::ZeroDuration());
    CPPUNIT_ASSERT(!agent_.is_warming_up(now_));
    now_ += absl::Milliseconds(100);
    agent_.OnTargetCrashed(now_, now_, actions_);
    now_ += absl::Milliseconds(100);
    agent_.OnTargetHealthy(2);
    CPPUNIT_ASSERT(agent_.load(now_).accepts_flows());
    CPPUNIT_ASSERT(agent_.is_warming_up(now_));
    // Without a report the warm-up ends by itself.
    CPPUNIT_ASSERT(!agent_.is_warming_up(now_ + absl::Seconds(14)));
    Report(absl::ZeroDuration());
    CPPUNIT_ASSERT(!agent_.is_warming_up(now_));
    // The address of a crashed target returns opening packets.
    for (uint16_t port = 1; port <= 2; ++port) {
      Open(port);
      agent_.OnTargetPacket(
          FlowPackets::Returned(FlowPackets(port).Opening(), port),
          kPacketBytes, now_, actions_);
    }
    CPPUNIT_ASSERT(actions_.probe_target);
    CPPUNIT_ASSERT(agent_.is_warming_up(now_));
  }

  // Guards against a second warm-up that is taken for the end of the first.
  void TargetThatRestartsAgainIsColdAgain() {
    Report(absl::Milliseconds(300));
    CPPUNIT_ASSERT(!agent_.is_warming_up(now_ + absl::Milliseconds(300)));
    now_ += absl::Milliseconds(200);
    ++incarnation_;
    Report(absl::Seconds(10));
    CPPUNIT_ASSERT(agent_.is_warming_up(now_ + absl::Seconds(9)));
    // A delayed report of the incarnation before has no effect.
    --incarnation_;
    Report(absl::ZeroDuration());
    CPPUNIT_ASSERT(agent_.is_warming_up(now_ + absl::Seconds(9)));
  }

  // Guards against new behaviour in deployments without a rate.
  void WithoutSettingsAColdTargetIsServedAsBefore() {
    agent_.SetServiceSettings(nullptr);
    Report(absl::Seconds(10));
    CPPUNIT_ASSERT(!agent_.is_warming_up(now_));
    for (uint16_t port = 1; port <= 3; ++port)
      Open(port);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, delivered_.size());
    CPPUNIT_ASSERT(agent_.next_deadline(now_) > now_);
  }

 private:
  static AgentForwarder::Options MakeOptions() {
    AgentForwarder::Options options;
    options.identity.uid = InstanceUid{77};
    options.identity.service = kService;
    options.service = "dispatch";
    options.warmup_excess = kExcess;
    options.warmup_slack = kSlack;
    return options;
  }

  static AgentForwarder MakeAgent() {
    AgentForwarder agent(MakeOptions(), kStart - absl::Seconds(3));
    ServiceSettings settings;
    settings.warmup = absl::Seconds(10);
    settings.warmup_per_second = kPerSecond;
    agent.SetServiceSettings(&settings);
    return agent;
  }

  void Report(absl::Duration warmup_left) {
    TargetReport report;
    report.id = "i-1";
    report.service = "dispatch";
    report.started_unix_ms = 1000 * incarnation_;
    report.sequence = ++sequence_;
    report.slots = 2;
    report.warmup_left = warmup_left;
    agent_.OnTargetReport(report, now_, actions_);
    Take();
  }

  void Open(uint16_t port, int copy = 0) {
    ForwardedPacket forwarded;
    forwarded.mode = ForwardMode::kOpening;
    forwarded.service = kService;
    forwarded.objective_ms = 500;
    forwarded.attempt_ms = 1400;
    forwarded.wait_limit_us = std::numeric_limits<uint32_t>::max();
    forwarded.packet = kPacketBytes;
    agent_.OnForwarded(forwarded, FlowPackets(port).Opening(copy), kEntry, now_,
                       actions_);
    Take();
  }

  /// Grants and answers the flow, if the target has got it.
  void Answer(uint16_t port) {
    const FlowPackets flow(port);
    agent_.OnTargetPacket(flow.Grant(), kPacketBytes, now_, actions_);
    ForwardedPacket forwarded;
    forwarded.mode = ForwardMode::kEstablished;
    forwarded.packet = kPacketBytes;
    agent_.OnForwarded(forwarded, flow.Request(), kEntry, now_, actions_);
    agent_.OnTargetPacket(flow.Answer(), kPacketBytes, now_, actions_);
    actions_.to_target.erase(
        std::remove_if(actions_.to_target.begin(), actions_.to_target.end(),
                       [](const auto&) { return true; }),
        actions_.to_target.end());
    Take();
  }

  void TickUntil(absl::Time end) {
    while (now_ < end) {
      now_ = std::min(end, agent_.next_deadline(now_));
      agent_.Tick(now_, actions_);
      Take();
    }
  }

  /// Records the opening packets for the target.
  void Take() {
    delivered_.insert(delivered_.end(), actions_.to_target.size(), now_);
    actions_.to_target.clear();
  }

  absl::Time now_ = kStart;
  int64_t incarnation_ = 5;
  uint64_t sequence_ = 0;
  AgentForwarder agent_ = MakeAgent();
  AgentActions actions_;
  std::vector<absl::Time> delivered_;
};

class WarmupSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WarmupSimulationTest);
  CPPUNIT_TEST(DataCentreThatReturnsColdIsNotOverloaded);
  CPPUNIT_TEST(FleetThatIsAllColdKeepsTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A data centre with a third of the targets returns cold at once, and the
  // warm ones can take the load. Guards against openings above the limit at any
  // cold target, and against requests that wait for a cold target instead.
  void DataCentreThatReturnsColdIsNotOverloaded() {
    for (const uint32_t seed : {1U, 2U, 3U}) {
      OverloadSimulation simulation(MakeOptions(seed, true));
      simulation.Run(absl::Seconds(2), 0.45);
      simulation.RestartAgents(kLost, absl::Seconds(1));
      simulation.Run(absl::Seconds(1), 0.45);
      const absl::Time back = simulation.now();
      simulation.Run(absl::Seconds(5), 0.45);
      const absl::Time end = simulation.now();
      simulation.Finish();
      CheckLimit(simulation, kLost);
      using Outcome = OverloadSimulation::Outcome;
      const size_t in_time = simulation.Count(Outcome::kInTime, back, end);
      const size_t others = simulation.Count(Outcome::kLate, back, end) +
                            simulation.Count(Outcome::kFailed, back, end);
      CPPUNIT_ASSERT(others * 50 <= in_time);
    }
    // The warm targets cannot take this load alone.
    OverloadSimulation overloaded(MakeOptions(1, true));
    overloaded.RestartAgents(kLost, absl::Seconds(1));
    overloaded.Run(absl::Seconds(5), 0.75);
    CheckLimit(overloaded, kLost);
    // The load would exceed the limit without it.
    OverloadSimulation unlimited(MakeOptions(1, false));
    unlimited.RestartAgents(kLost, absl::Seconds(1));
    unlimited.Run(absl::Seconds(5), 0.45);
    CPPUNIT_ASSERT(MostInASecond(unlimited.cold_openings(0)) > kMostPerSecond);
  }

  // All targets return cold and cannot take the load. Guards against placements
  // that ignore the limit because no other target is left, and against clients
  // that wait for a refusal which their agent could have sent at once.
  void FleetThatIsAllColdKeepsTheLimit() {
    OverloadSimulation::Options options = MakeOptions(1, true);
    options.warmup_factor =
        options.slots / (kPerSecond * absl::ToDoubleSeconds(options.work));
    OverloadSimulation simulation(options);
    simulation.RestartAgents(options.agents, absl::Seconds(1));
    simulation.Run(absl::Seconds(5), 0.45);
    const size_t opened = CheckLimit(simulation, options.agents);
    // Four seconds at the usual rate.
    CPPUNIT_ASSERT(opened >= options.agents * 60);
    simulation.Finish();
    std::vector<absl::Duration> times = simulation.refusal_times();
    std::sort(times.begin(), times.end());
    CPPUNIT_ASSERT(times.at(times.size() * 9 / 10) <= absl::Milliseconds(200));
  }

 private:
  static constexpr size_t kLost = 3;

  /// Returns the number of openings at the cold targets.
  static size_t CheckLimit(const OverloadSimulation& simulation, size_t cold) {
    size_t opened = 0;
    for (size_t i = 0; i < cold; ++i) {
      opened += simulation.cold_openings(i).size();
      CPPUNIT_ASSERT(MostInASecond(simulation.cold_openings(i)) <=
                     kMostPerSecond);
    }
    return opened;
  }

  static OverloadSimulation::Options MakeOptions(uint32_t seed, bool limited) {
    OverloadSimulation::Options options;
    options.seed = seed;
    options.agents = 9;
    options.warmup = absl::Seconds(10);
    options.warmup_per_second = kPerSecond;
    options.warmup_excess = limited ? kExcess : 0;
    options.warmup_slack = limited ? kSlack : 0;
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmupLimitTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ColdTargetTest);
CPPUNIT_TEST_SUITE_REGISTRATION(WarmupSimulationTest);

}  // namespace
}  // namespace skylarkshunt
