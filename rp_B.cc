#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "packets.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"

namespace skylarkshunt {
namespace {

const ServiceUid kService = MakeServiceUid("dispatch");
constexpr uint32_t kDataCentre = 1;
constexpr uint64_t kAgents = 3;
/// Later than any settle time of a small fleet.
constexpr absl::Duration kSettled = absl::Seconds(20);

Endpoint EndpointOf(uint64_t uid) {
  return {0x0a020000 + static_cast<uint32_t>(uid), 7720};
}

uint64_t UidAt(Endpoint agent) {
  return agent.address - 0x0a020000;
}

AgentIdentity IdentityOf(uint64_t uid) {
  AgentIdentity agent;
  agent.uid = InstanceUid{uid};
  agent.incarnation = Incarnation{1};
  agent.service = kService;
  agent.data_centre = kDataCentre;
  return agent;
}

AgentLoad LoadOf(uint16_t busy, InstanceState state = InstanceState::kServing) {
  AgentLoad load;
  load.slots = 4;
  load.busy = busy;
  load.service_time_us = 25'000;
  load.state = state;
  return load;
}

std::shared_ptr<const RouteTable> RoutesOf(uint64_t version, bool with_route) {
  auto table = std::make_shared<RouteTable>();
  table->version = version;
  if (with_route) {
    Route route;
    route.shares = {{kService, 1}};
    route.latency_objective = absl::Milliseconds(150);
    route.deadline = absl::Milliseconds(2500);
    table->routes[FlowPackets().flow().service] = route;
  }
  return table;
}

/// One entry with its own view of the agents and its own time.
class TestEntry {
 public:
  explicit TestEntry(absl::Time started = kStart - kSettled)
      : forwarder_(kDataCentre, started) {
    forwarder_.SetRoutes(RoutesOf(1, true));
  }

  void Report(uint64_t uid, const AgentLoad& load, uint16_t interval_ms = 100) {
    AgentReport report;
    report.agent = IdentityOf(uid);
    report.sequence = ++sequence_;
    report.load = load;
    report.interval_ms = interval_ms;
    forwarder_.agents().UpdateFromReport(report, EndpointOf(uid), now_);
  }
  void ReportAll(const AgentLoad& load) {
    for (uint64_t uid = 1; uid <= kAgents; ++uid)
      Report(uid, load);
  }
  void Pass(absl::Duration time) { now_ += time; }
  void Tick() {
    actions_.Clear();
    forwarder_.Tick(now_, actions_);
  }

  /// Handles a packet of a client. Returns the agent that got it first, or 0.
  uint64_t Client(const PacketHeader& header) {
    actions_.Clear();
    forwarder_.OnClientPacket(header, kPacketBytes, now_, actions_);
    return first_agent();
  }
  void Placed(uint64_t uid, const FlowPackets& flow) {
    actions_.Clear();
    forwarder_.OnPlaced({IdentityOf(uid), LoadOf(1), flow.flow()},
                        EndpointOf(uid), now_, actions_);
  }
  /// Handles a packet that agent `uid` returned. Returns the agent that got it
  /// next, or 0.
  uint64_t Return(uint64_t uid,
                  const PacketHeader& header,
                  ReturnReason reason,
                  ForwardMode mode = ForwardMode::kOpening,
                  size_t declined = 0) {
    ReturnedPacket returned;
    returned.agent = IdentityOf(uid);
    returned.load = LoadOf(4);
    returned.reason = reason;
    returned.mode = mode;
    returned.declined.assign(declined, InstanceUid{99});
    returned.packet = kPacketBytes;
    actions_.Clear();
    forwarder_.OnReturned(returned, header, EndpointOf(uid), now_, actions_);
    return first_agent();
  }

  size_t resets() const { return actions_.resets.size(); }
  EntryForwarder& forwarder() { return forwarder_; }

 private:
  uint64_t first_agent() const {
    return actions_.to_agents.empty() ? 0 : UidAt(actions_.to_agents[0].agent);
  }

  absl::Time now_ = kStart;
  uint64_t sequence_ = 0;
  EntryForwarder forwarder_;
  EntryActions actions_;
};

/// A reset needs proof that the flow is open nowhere.
class ResetProofTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResetProofTest);
  CPPUNIT_TEST(FlowOfANewerRouteIsNotReset);
  CPPUNIT_TEST(FlowOfADroppedRouteIsReset);
  CPPUNIT_TEST(StartedEntryAwaitsAgentsThatRestart);
  CPPUNIT_TEST(EntryAwaitsFurtherAgentsAfterOneAppeared);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Entries adopt a configuration at different times. Guards against the reset
  // of a flow that was opened under a route that this entry does not have yet.
  void FlowOfANewerRouteIsNotReset() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0));
    const FlowPackets flow(1, {0xc6120009, 443});
    entry.Client(flow.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    entry.Client(flow.Opening(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    // Nobody can have opened a flow before its first packet.
    entry.Client(FlowPackets(2, {0xc6120009, 443}).Opening());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.resets());
  }

  // Guards against clients that wait for an answer on a route that is gone.
  void FlowOfADroppedRouteIsReset() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0));
    entry.forwarder().SetRoutes(RoutesOf(2, false));
    entry.Client(FlowPackets(1).Request());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.resets());
    entry.forwarder().SetRoutes(RoutesOf(3, true));
    entry.Client(FlowPackets(1).Request());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
  }

  // All nodes lose power and an agent, whose target kept running, starts later
  // than the entry. Guards against a reset because the agents that are known so
  // far do not hold the flow.
  void StartedEntryAwaitsAgentsThatRestart() {
    TestEntry entry(kStart);
    const FlowPackets flow;
    entry.ReportAll(LoadOf(0));
    for (int second = 1; second <= 5; ++second) {
      entry.Pass(absl::Seconds(1));
      entry.ReportAll(LoadOf(0));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, DenyByAll(entry, flow));
    }
    entry.Pass(kSettled);
    entry.ReportAll(LoadOf(0));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, DenyByAll(entry, flow));
  }

  // An entry was cut off until it had removed all agents, and they appear again
  // one after the other. Guards against a reset because the first ones do not
  // hold the flow.
  void EntryAwaitsFurtherAgentsAfterOneAppeared() {
    TestEntry entry;
    constexpr uint16_t kIntervalMs = 1000;
    for (uint64_t uid = 1; uid <= kAgents; ++uid)
      entry.Report(uid, LoadOf(0), kIntervalMs);
    const FlowPackets flow;
    entry.Pass(absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, DenyByAll(entry, flow));
    entry.Pass(absl::Seconds(2));
    for (uint64_t uid = 1; uid <= kAgents; ++uid)
      entry.Report(uid, LoadOf(0), kIntervalMs);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, DenyByAll(entry, flow));
  }

 private:
  /// Searches the flow, which no agent holds. Returns the number of resets.
  static size_t DenyByAll(TestEntry& entry, const FlowPackets& flow) {
    entry.Client(flow.Request());
    size_t resets = 0;
    for (uint64_t uid = 1; uid <= kAgents; ++uid) {
      entry.Return(uid, flow.Request(), ReturnReason::kNotHeld,
                   ForwardMode::kSearch);
      resets += entry.resets();
    }
    return resets;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResetProofTest);

}  // namespace
}  // namespace skylarkshunt
