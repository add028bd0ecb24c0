#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "packets.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"

namespace skylarkshunt {
namespace {

const ServiceUid kService = MakeServiceUid("dispatch");
constexpr uint32_t kDataCentre = 1;
/// A link of 10 Mbit/s, in bytes per second.
constexpr uint64_t kSlowLink = 1'250'000;
constexpr size_t kQueryBytes = 47;
constexpr size_t kForwardBytes = 64;
constexpr size_t kPacketSize = 1200;
constexpr absl::Duration kNetworkTime = absl::Milliseconds(2);
/// Rounds of queries, and held packets of a flow and of all flows.
constexpr size_t kMaxRounds = 4;
constexpr size_t kMaxHeldPackets = 16;
constexpr size_t kMaxHeldBytes = 2'097'152;
constexpr size_t kMaxSearches = 4'096;

/// An agent as its entry sees it.
struct TestAgent {
  enum class Kind { kKnows, kUnclear, kPreviousRelease };
  Kind kind = Kind::kKnows;
  std::set<uint16_t> holds;
  size_t queries = 0;
  /// Ports and numbers of the packets that it got, in order.
  std::vector<std::pair<uint16_t, uint16_t>> packets;
};

/// Packet `number` of the flow from `port`.
std::vector<uint8_t> PacketOf(uint16_t port,
                              uint16_t number,
                              size_t size = kPacketSize) {
  std::vector<uint8_t> bytes(size);
  bytes[0] = static_cast<uint8_t>(port >> 8);
  bytes[1] = static_cast<uint8_t>(port);
  bytes[2] = static_cast<uint8_t>(number >> 8);
  bytes[3] = static_cast<uint8_t>(number);
  return bytes;
}

/// An entry and the agents of one service, which answer after a network time.
class TestFleet {
 public:
  explicit TestFleet(size_t agents, uint64_t link_rate = kSlowLink)
      : agents_(agents), entry_(kDataCentre, kStart - absl::Seconds(100)) {
    auto routes = std::make_shared<RouteTable>();
    routes->version = 1;
    routes->routes[FlowPackets().flow().service].shares = {{kService, 1}};
    entry_.SetLinkRate(link_rate);
    entry_.SetRoutes(routes, kStart - absl::Seconds(90));
    Report(kStart - absl::Seconds(20));
    Report(kStart);
  }

  TestAgent& agent(size_t index) { return agents_[index]; }
  EntryForwarder& entry() { return entry_; }
  size_t bytes() const { return bytes_; }
  size_t resets() const { return resets_; }
  absl::Time now() const { return now_; }
  void LoseMessages(bool lose) { loses_ = lose; }
  /// Agents below this index report and answer.
  void SetResponsive(size_t agents) { responsive_ = agents; }

  void Client(uint16_t port, uint16_t number, size_t size = kPacketSize) {
    const std::vector<uint8_t> bytes = PacketOf(port, number, size);
    entry_.OnClientPacket(FlowPackets(port).Request(), bytes, now_, actions_);
    Deliver();
  }

  /// Lets time pass in steps of the network time.
  void Pass(absl::Duration time) {
    const absl::Time end = now_ + time;
    while (now_ < end) {
      now_ += kNetworkTime;
      Report(now_);
      std::vector<Answer> answers = std::move(answers_);
      answers_.clear();
      for (const Answer& answer : answers)
        Handle(answer);
      entry_.Tick(now_, actions_);
      Deliver();
    }
  }

 private:
  struct Answer {
    size_t agent = 0;
    uint16_t port = 0;
    /// Empty if the agent answers a query.
    std::vector<uint8_t> packet;
  };

  static Endpoint EndpointOf(size_t agent) {
    return {static_cast<uint32_t>(agent + 1), 7720};
  }

  AgentIdentity IdentityOf(size_t agent) const {
    return {InstanceUid{agent + 1}, Incarnation{1}, kService, kDataCentre};
  }

  static AgentLoad Load() {
    AgentLoad load;
    load.slots = 4;
    load.state = InstanceState::kServing;
    return load;
  }

  void Report(absl::Time now) {
    for (size_t i = 0; i < std::min(responsive_, agents_.size()); ++i) {
      AgentReport report;
      report.agent = IdentityOf(i);
      report.sequence = ++sequence_;
      report.load = Load();
      report.interval_ms = 100;
      entry_.agents().UpdateFromReport(report, EndpointOf(i), now);
    }
  }

  void Deliver() {
    resets_ += actions_.resets.size();
    for (const EntryActions::QueryToAgent& query : actions_.queries) {
      bytes_ += kQueryBytes;
      const size_t index = query.agent.address - 1;
      ++agents_[index].queries;
      const bool answers =
          !loses_ && index < responsive_ &&
          agents_[index].kind != TestAgent::Kind::kPreviousRelease;
      if (answers)
        answers_.push_back({index, query.message.flow.client.port, {}});
    }
    for (const EntryActions::ToAgent& action : actions_.to_agents) {
      bytes_ += action.message.packet.size() + kForwardBytes;
      const absl::Span<const uint8_t> packet = action.message.packet;
      const auto port = static_cast<uint16_t>(packet[0] << 8 | packet[1]);
      const size_t index = action.agent.address - 1;
      agents_[index].packets.emplace_back(port, packet[2] << 8 | packet[3]);
      if (action.message.mode == ForwardMode::kSearch && !loses_ &&
          index < responsive_)
        answers_.push_back({index, port, {packet.begin(), packet.end()}});
    }
    actions_.Clear();
  }

  void Handle(const Answer& answer) {
    const TestAgent& agent = agents_[answer.agent];
    const FlowPackets flow(answer.port);
    const Endpoint endpoint = EndpointOf(answer.agent);
    if (agent.holds.count(answer.port) > 0 &&
        (agent.kind != TestAgent::Kind::kUnclear || !answer.packet.empty())) {
      entry_.OnPlaced({IdentityOf(answer.agent), Load(), flow.flow()}, endpoint,
                      now_, actions_);
    } else if (answer.packet.empty()) {
      QueryAnswer message;
      message.agent = IdentityOf(answer.agent);
      message.load = Load();
      message.flow = flow.flow();
      message.outcome = agent.kind == TestAgent::Kind::kUnclear
                            ? QueryAnswer::Outcome::kUnclear
                            : QueryAnswer::Outcome::kNotHeld;
      entry_.OnQueryAnswer(message, endpoint, now_, actions_);
    } else {
      ReturnedPacket returned;
      returned.agent = IdentityOf(answer.agent);
      returned.load = Load();
      returned.reason = ReturnReason::kNotHeld;
      returned.mode = ForwardMode::kSearch;
      returned.packet = answer.packet;
      entry_.OnReturned(returned, flow.Request(), endpoint, now_, actions_);
    }
    Deliver();
  }

  std::vector<TestAgent> agents_;
  EntryForwarder entry_;
  EntryActions actions_;
  std::vector<Answer> answers_;
  absl::Time now_ = kStart;
  uint64_t sequence_ = 0;
  size_t responsive_ = SIZE_MAX;
  bool loses_ = false;
  size_t bytes_ = 0;
  size_t resets_ = 0;
};

class EntryQueriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryQueriesTest);
  CPPUNIT_TEST(UploadsThatChangeTheirEntryFitTheLink);
  CPPUNIT_TEST(HeldPacketsGoToTheHolderOnceAndInOrder);
  CPPUNIT_TEST(LostMessagesAreRepeatedABoundedNumberOfTimes);
  CPPUNIT_TEST(AgentOfThePreviousReleaseGetsThePacket);
  CPPUNIT_TEST(AgentOfThePreviousReleaseCanDenyTheFlow);
  CPPUNIT_TEST(UnclearAgentsGetOnePacket);
  CPPUNIT_TEST(UnclearAgentsGetNothingWhileAnAgentIsMissing);
  CPPUNIT_TEST(FlowIsResetOnlyAfterAllAgentsDenyIt);
  CPPUNIT_TEST(HeldPacketsOfAFlowAreBounded);
  CPPUNIT_TEST(HeldBytesAreBounded);
  CPPUNIT_TEST(SearchesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // 100 uploads of 16 packets in flight change their entry, and 50 agents may
  // hold them. Guards against copies of the packets that exceed the link many
  // times over.
  void UploadsThatChangeTheirEntryFitTheLink() {
    constexpr uint16_t kFlows = 100;
    constexpr size_t kPackets = size_t{kFlows} * kMaxHeldPackets;
    for (const uint64_t link : {kSlowLink, uint64_t{0}}) {
      TestFleet fleet(50, link);
      for (uint16_t port = 0; port < kFlows; ++port)
        fleet.agent(port % 50).holds.insert(port);
      for (uint16_t number = 0; number < kMaxHeldPackets; ++number) {
        for (uint16_t port = 0; port < kFlows; ++port)
          fleet.Client(port, number);
      }
      fleet.Pass(absl::Seconds(1));
      const size_t packets = kPackets * (kPacketSize + kForwardBytes);
      if (link == 0) {
        CPPUNIT_ASSERT(fleet.bytes() > 8 * kSlowLink);
        continue;
      }
      CPPUNIT_ASSERT(fleet.bytes() >= packets);
      CPPUNIT_ASSERT(fleet.bytes() < packets + kSlowLink / 4);
      size_t delivered = 0;
      for (size_t i = 0; i < 50; ++i)
        delivered += fleet.agent(i).packets.size();
      CPPUNIT_ASSERT_EQUAL(kPackets, delivered);
    }
  }

  // Guards against lost, repeated or reordered packets of a flow, and against
  // packets at agents that do not hold it.
  void HeldPacketsGoToTheHolderOnceAndInOrder() {
    TestFleet fleet(3);
    fleet.agent(1).holds = {7};
    for (const uint16_t number : {0, 1, 2, 1, 3})
      fleet.Client(7, number);
    fleet.Pass(kNetworkTime);
    fleet.Client(7, 4);
    fleet.Pass(absl::Seconds(1));
    const std::vector<std::pair<uint16_t, uint16_t>> expected = {
        {7, 0}, {7, 1}, {7, 2}, {7, 3}, {7, 4}};
    CPPUNIT_ASSERT(fleet.agent(1).packets == expected);
    CPPUNIT_ASSERT(fleet.agent(0).packets.empty());
    CPPUNIT_ASSERT(fleet.agent(2).packets.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.agent(0).queries);
  }

  // Guards against flows that a single lost datagram keeps from their agent,
  // and against queries that are repeated for ever on a link that is full.
  void LostMessagesAreRepeatedABoundedNumberOfTimes() {
    TestFleet lost(3);
    lost.LoseMessages(true);
    lost.Client(7, 0);
    lost.Pass(absl::Seconds(2));
    // One of them goes with the packet, for an agent of the previous release.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lost.agent(0).packets.size());
    CPPUNIT_ASSERT_EQUAL(kMaxRounds - 1, lost.agent(0).queries);
    // The client's retransmission starts further rounds.
    lost.agent(1).holds = {7};
    lost.Client(7, 0);
    lost.Pass(absl::Milliseconds(100));
    lost.LoseMessages(false);
    lost.Pass(absl::Milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, lost.agent(1).packets.size());
  }

  // Guards against flows that are not found while agents are upgraded.
  void AgentOfThePreviousReleaseGetsThePacket() {
    TestFleet fleet(3);
    fleet.agent(1).kind = TestAgent::Kind::kPreviousRelease;
    fleet.agent(1).holds = {7};
    fleet.Client(7, 0);
    fleet.Pass(absl::Milliseconds(50));
    CPPUNIT_ASSERT(fleet.agent(1).packets.empty());
    fleet.Pass(absl::Milliseconds(50));
    CPPUNIT_ASSERT(!fleet.agent(1).packets.empty());
    CPPUNIT_ASSERT(fleet.agent(0).packets.empty());
    fleet.Client(7, 1);
    CPPUNIT_ASSERT(
        (fleet.agent(1).packets.back() == std::pair<uint16_t, uint16_t>{7, 1}));
  }

  // Guards against clients that wait in vain while agents are upgraded.
  void AgentOfThePreviousReleaseCanDenyTheFlow() {
    TestFleet fleet(3);
    fleet.agent(1).kind = TestAgent::Kind::kPreviousRelease;
    fleet.Client(7, 0);
    fleet.Pass(absl::Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.resets());
    fleet.Pass(absl::Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.resets());
  }

  // All agents were restarted beside their targets. Guards against targets that
  // get each packet of an upload, or get it again with each round.
  void UnclearAgentsGetOnePacket() {
    TestFleet fleet(3);
    for (size_t i = 0; i < 3; ++i)
      fleet.agent(i).kind = TestAgent::Kind::kUnclear;
    for (uint16_t number = 0; number < 8; ++number)
      fleet.Client(7, number);
    fleet.Pass(kNetworkTime);
    fleet.LoseMessages(true);
    fleet.Pass(absl::Seconds(2));
    for (size_t i = 0; i < 3; ++i)
      CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.agent(i).packets.size());
  }

  // Guards against packets that reach foreign targets only, because the agent
  // of the flow is away.
  void UnclearAgentsGetNothingWhileAnAgentIsMissing() {
    TestFleet fleet(3);
    fleet.agent(0).kind = TestAgent::Kind::kUnclear;
    fleet.SetResponsive(2);
    fleet.Pass(absl::Seconds(2));
    fleet.Client(7, 0);
    fleet.Pass(absl::Seconds(2));
    CPPUNIT_ASSERT(fleet.agent(0).queries > 0);
    CPPUNIT_ASSERT(fleet.agent(0).packets.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.resets());
  }

  // Guards against the reset of a flow that the last agent holds.
  void FlowIsResetOnlyAfterAllAgentsDenyIt() {
    TestFleet fleet(3);
    fleet.SetResponsive(2);
    fleet.Client(7, 0);
    fleet.Pass(absl::Seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.resets());
    fleet.SetResponsive(3);
    fleet.Pass(absl::Milliseconds(500));
    fleet.Client(7, 0);
    fleet.Pass(absl::Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.resets());
  }

  // Guards against a client that fills the memory of the entry.
  void HeldPacketsOfAFlowAreBounded() {
    TestFleet fleet(3);
    fleet.agent(1).holds = {7};
    for (uint16_t number = 0; number < 100; ++number)
      fleet.Client(7, number);
    fleet.Pass(absl::Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(kMaxHeldPackets, fleet.agent(1).packets.size());
  }

  // Guards against flows that fill the memory of the entry together, and
  // against room that is lost when searches expire, end or reset their flow.
  void HeldBytesAreBounded() {
    TestFleet fleet(2);
    fleet.LoseMessages(true);
    const auto fill = [&fleet](uint16_t first) {
      for (uint16_t port = first; port < first + 200; ++port) {
        for (uint16_t number = 0; number < kMaxHeldPackets; ++number)
          fleet.Client(port, number);
      }
    };
    fill(1);
    fleet.Pass(absl::Seconds(4));
    fleet.entry().ExpireIdle(fleet.now());
    fleet.LoseMessages(false);
    // The flows of this round are reset, those of the last one are found.
    fill(1000);
    fleet.Pass(absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{200}, fleet.resets());
    for (uint16_t port = 2000; port < 2200; ++port)
      fleet.agent(1).holds.insert(port);
    const size_t before = fleet.agent(1).packets.size();
    fill(2000);
    fleet.Pass(absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(kMaxHeldBytes / kPacketSize,
                         fleet.agent(1).packets.size() - before);
  }

  // Guards against searches that fill the memory of the entry.
  void SearchesAreBounded() {
    TestFleet fleet(1);
    fleet.LoseMessages(true);
    for (uint16_t port = 0; port < kMaxSearches + 10; ++port)
      fleet.Client(port, 0, 4);
    fleet.LoseMessages(false);
    for (uint16_t port = 0; port < kMaxSearches + 10; ++port)
      fleet.agent(0).holds.insert(port);
    fleet.Pass(absl::Seconds(2));
    std::set<uint16_t> found;
    for (const auto& [port, number] : fleet.agent(0).packets)
      found.insert(port);
    CPPUNIT_ASSERT_EQUAL(kMaxSearches, found.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryQueriesTest);

}  // namespace
}  // namespace skylarkshunt
