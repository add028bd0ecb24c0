#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "packets.h"
#include "skylarkshunt/forwarding/agent_forwarder.h"
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
    forwarder_.SetRoutes(RoutesOf(1, true), kStart);
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

  const EntryActions& actions() const { return actions_; }
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
  CPPUNIT_TEST(RefusalSparesAFlowThatAnotherEntryOpened);
  CPPUNIT_TEST(CopyIsNotRefusedWithoutTheFirstOne);
  CPPUNIT_TEST(FlowIsRefusedWhenOneEntryReceivedAllCopies);
  CPPUNIT_TEST(OpeningThatWaitedInTheSocketIsNotRefused);
  CPPUNIT_TEST(CopyWithoutAnAgentIsNotRefused);
  CPPUNIT_TEST(UncachedForcedReturnIsNotRefused);
  CPPUNIT_TEST(RefusalAfterAnUnresponsiveTargetIsDeferred);
  CPPUNIT_TEST(FlowOfANewerRouteIsNotReset);
  CPPUNIT_TEST(FlowOfADroppedRouteIsReset);
  CPPUNIT_TEST(StartedEntryAwaitsAgentsThatRestart);
  CPPUNIT_TEST(EntryAwaitsFurtherAgentsAfterOneAppeared);
  CPPUNIT_TEST(AgentThatWasUnresponsiveMustAnswerBeforeAReset);
  CPPUNIT_TEST(ForeignTargetsAreNotAskedWhileAnAgentIsMissing);
  CPPUNIT_TEST(ForeignTargetsAreNotAskedWhileAnotherServiceMissesAnAgent);
  CPPUNIT_TEST(RemovedAgentIsNoProof);
  CPPUNIT_TEST(AgentThatStartsWhereOneEndedMayAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An entry leaves the rotation while an opening packet waits at an agent, and
  // the retransmission goes through another entry to another agent, which opens
  // the flow. Guards against a reset when the first agent refuses the packet.
  void RefusalSparesAFlowThatAnotherEntryOpened() {
    TestEntry first;
    TestEntry second;
    const FlowPackets flow;
    first.ReportAll(LoadOf(0));
    const uint64_t refusing = first.Client(flow.Opening());
    first.Placed(refusing, flow);
    second.ReportAll(LoadOf(0));
    second.Report(refusing, LoadOf(40));
    second.Pass(absl::Milliseconds(200));
    const uint64_t opening = second.Client(flow.Opening(1));
    CPPUNIT_ASSERT(opening != refusing);
    second.Placed(opening, flow);
    CPPUNIT_ASSERT_EQUAL(opening, second.Client(flow.Request()));
    first.Pass(absl::Milliseconds(600));
    first.Return(refusing, flow.Opening(), ReturnReason::kNoSlotInTime);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, first.resets());
    // The flow is found if its packets come back.
    first.Client(flow.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, first.resets());
  }

  // The first copy went through another entry, whose agent may have opened the
  // flow. Guards against a reset because of the second copy.
  void CopyIsNotRefusedWithoutTheFirstOne() {
    for (const ReturnReason reason :
         {ReturnReason::kNoSlotInTime, ReturnReason::kQueueFull}) {
      TestEntry entry;
      const FlowPackets flow;
      entry.ReportAll(LoadOf(0));
      const uint64_t agent = entry.Client(flow.Opening(1));
      entry.Pass(absl::Milliseconds(5));
      entry.Return(agent, flow.Opening(1), reason);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    }
  }

  // Guards against clients that wait in vain although nobody else can have got
  // their packets.
  void FlowIsRefusedWhenOneEntryReceivedAllCopies() {
    TestEntry entry;
    const FlowPackets at_once(1);
    entry.ReportAll(LoadOf(0));
    uint64_t agent = entry.Client(at_once.Opening());
    entry.Pass(absl::Milliseconds(10));
    entry.Return(agent, at_once.Opening(), ReturnReason::kNoSlotInTime);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.resets());

    const FlowPackets later(2);
    agent = entry.Client(later.Opening());
    entry.Placed(agent, later);
    for (const int copy : {1, 2}) {
      entry.Pass(absl::Milliseconds(copy == 1 ? 200 : 400));
      entry.ReportAll(LoadOf(0));
      CPPUNIT_ASSERT_EQUAL(agent, entry.Client(later.Opening(copy)));
      entry.Placed(agent, later);
    }
    entry.Pass(absl::Milliseconds(300));
    entry.Return(agent, later.Opening(), ReturnReason::kNoSlotInTime);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.resets());
  }

  // An entry with a small processor share reads an opening packet after its
  // client has sent the next copy, which another entry may have got. Guards
  // against an entry that takes an old packet for a new one.
  void OpeningThatWaitedInTheSocketIsNotRefused() {
    TestEntry entry;
    const FlowPackets flow;
    entry.ReportAll(LoadOf(0));
    entry.forwarder().set_socket_delay(absl::Milliseconds(250));
    const uint64_t agent = entry.Client(flow.Opening());
    entry.Pass(absl::Milliseconds(2));
    entry.Return(agent, flow.Opening(), ReturnReason::kNoSlotInTime);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
  }

  // All agents drain, and one of them may hold the flow that an earlier copy
  // opened through another entry. Guards against the reset of that flow.
  void CopyWithoutAnAgentIsNotRefused() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0, InstanceState::kDraining));
    entry.Client(FlowPackets(1).Opening(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    entry.Client(FlowPackets(2).Opening());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.resets());
  }

  // The entry does not know the flow that an agent returns, since it started
  // again. Guards against the reset of a flow that another entry placed
  // meanwhile.
  void UncachedForcedReturnIsNotRefused() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0));
    entry.Return(1, FlowPackets().Opening(), ReturnReason::kTargetRefused,
                 ForwardMode::kOpening, kMaxDeclines);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    for (const ReturnReason reason :
         {ReturnReason::kNoSlotInTime, ReturnReason::kQueueFull}) {
      entry.Return(1, FlowPackets().Opening(), reason);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
      CPPUNIT_ASSERT(entry.actions().decisions.at(0).kind ==
                     DecisionKind::kDeferred);
    }
  }

  // A target that does not answer an opening packet in time may still grant the
  // flow. Guards against a reset because of the next agent's refusal.
  void RefusalAfterAnUnresponsiveTargetIsDeferred() {
    TestEntry entry;
    const FlowPackets flow;
    entry.ReportAll(LoadOf(0));
    const uint64_t slow = entry.Client(flow.Opening());
    entry.Placed(slow, flow);
    entry.Pass(absl::Milliseconds(80));
    const uint64_t other =
        entry.Return(slow, flow.Opening(), ReturnReason::kTargetUnresponsive);
    CPPUNIT_ASSERT(other != 0 && other != slow);
    entry.Return(other, flow.Opening(), ReturnReason::kNoSlotInTime);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    // The next copy does not change what the first target may have done.
    entry.Pass(absl::Milliseconds(120));
    entry.ReportAll(LoadOf(0));
    const uint64_t next = entry.Client(flow.Opening(1));
    entry.Return(next, flow.Opening(1), ReturnReason::kNoSlotInTime);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
  }

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
    const FlowPackets earlier(2);
    entry.Placed(entry.Client(earlier.Opening()), earlier);
    entry.Pass(absl::Seconds(8));
    entry.ReportAll(LoadOf(0));
    const FlowPackets latest(3);
    entry.Placed(entry.Client(latest.Opening()), latest);
    entry.forwarder().SetRoutes(RoutesOf(2, false), kStart);
    entry.Client(earlier.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.resets());
    // A newer version may have the route, by which another entry opened a flow
    // or which the client of the latest flow knew.
    for (const FlowPackets& flow : {latest, FlowPackets(1)}) {
      entry.Client(flow.Request());
      CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    }
    entry.Pass(absl::Seconds(8));
    for (const FlowPackets& flow : {latest, FlowPackets(1)}) {
      entry.Client(flow.Request());
      CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.resets());
    }
    entry.forwarder().SetRoutes(RoutesOf(3, true), kStart);
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

  // An agent restarts beside its running target and misses the packet of a
  // search that is still in progress when it is back. Guards against a reset
  // because the agent was queried and is responsive, although it never
  // answered.
  void AgentThatWasUnresponsiveMustAnswerBeforeAReset() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0));
    entry.Pass(absl::Seconds(1));
    entry.Report(1, LoadOf(0));
    entry.Report(2, LoadOf(0));
    const FlowPackets flow;
    entry.Client(flow.Request());
    entry.Return(1, flow.Request(), ReturnReason::kNotHeld,
                 ForwardMode::kSearch);
    entry.Report(3, LoadOf(0));
    entry.Return(2, flow.Request(), ReturnReason::kNotHeld,
                 ForwardMode::kSearch);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, entry.resets());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, DenyByAll(entry, flow));
  }

  // The agent that holds a flow restarts, and the other agents restarted
  // before, so that they do not know the flows of their targets. Guards against
  // packets of the flow that reach foreign targets only.
  void ForeignTargetsAreNotAskedWhileAnAgentIsMissing() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0));
    entry.Pass(absl::Seconds(1));
    entry.Report(1, LoadOf(0));
    entry.Report(2, LoadOf(0));
    const FlowPackets flow;
    AgentForwarder::Options options;
    options.identity = IdentityOf(1);
    options.service = "dispatch";
    AgentForwarder agent(options, kStart);
    agent.OnTargetHealthy(4);
    for (const bool missing : {true, false}) {
      entry.Client(flow.Request());
      const ForwardedPacket& search = entry.actions().to_agents.at(0).message;
      CPPUNIT_ASSERT(search.mode == ForwardMode::kSearch);
      AgentActions actions;
      agent.OnForwarded(search, flow.Request(), {}, kStart, actions);
      CPPUNIT_ASSERT_EQUAL(size_t{missing ? 0U : 1U}, actions.to_target.size());
      CPPUNIT_ASSERT(actions.to_entries.empty());
      entry.Report(3, LoadOf(0));
    }
    // An agent with a long report interval counts as responsive while it
    // restarts.
    entry.Report(3, LoadOf(0, InstanceState::kLeaving));
    entry.Client(flow.Request());
    CPPUNIT_ASSERT(entry.actions().to_agents.at(0).message.known_only);
  }

  // The flows of one route go to two services, and an agent of the second one
  // restarts. Guards against packets of its flows that reach targets of the
  // first service only.
  void ForeignTargetsAreNotAskedWhileAnotherServiceMissesAnAgent() {
    TestEntry entry;
    auto routes = std::make_shared<RouteTable>(*RoutesOf(2, true));
    const ServiceUid other = MakeServiceUid("schemata");
    routes->routes[FlowPackets().flow().service].shares = {{kService, 1},
                                                           {other, 1}};
    entry.forwarder().SetRoutes(routes, kStart);
    entry.ReportAll(LoadOf(0));
    AgentIdentity missing = IdentityOf(9);
    missing.service = other;
    entry.forwarder().agents().Update(missing, LoadOf(0), EndpointOf(9),
                                      kStart);
    entry.Pass(absl::Seconds(1));
    entry.ReportAll(LoadOf(0));
    entry.Client(FlowPackets().Request());
    for (const EntryActions::ToAgent& search : entry.actions().to_agents)
      CPPUNIT_ASSERT(search.message.known_only);
  }

  // A restart takes longer than an agent is kept in the directory. Guards
  // against the reset of a flow at its target, which kept running.
  void RemovedAgentIsNoProof() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0, InstanceState::kLeaving));
    const FlowPackets flow;
    for (int second = 1; second <= 10; ++second) {
      entry.Pass(absl::Seconds(1));
      entry.Report(1, LoadOf(0));
      entry.Report(2, LoadOf(0));
      const absl::Time now = kStart + absl::Seconds(second);
      entry.forwarder().agents().RemoveUnresponsive(now);
      entry.forwarder().ExpireIdle(now);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, DenyByAll(entry, flow, 2));
    }
    entry.Pass(kAgentExpiryTimeout);
    entry.forwarder().ExpireIdle(kStart + absl::Seconds(10) +
                                 kAgentExpiryTimeout);
    entry.Report(1, LoadOf(0));
    entry.Report(2, LoadOf(0));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, DenyByAll(entry, flow, 2));
  }

  // A target and its agent start at the address of others that ended. Guards
  // against a reset before the new agent, which holds the flow, can answer.
  void AgentThatStartsWhereOneEndedMayAnswer() {
    TestEntry entry;
    entry.ReportAll(LoadOf(0));
    entry.Report(3, LoadOf(0, InstanceState::kDown));
    entry.Pass(absl::Seconds(1));
    entry.Report(1, LoadOf(0));
    entry.Report(2, LoadOf(0));
    const FlowPackets flow;
    CPPUNIT_ASSERT_EQUAL(size_t{0}, DenyByAll(entry, flow, 2));
    entry.Pass(absl::Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, DenyByAll(entry, flow, 2));
  }

 private:
  /// Searches the flow, which none of the first `agents` holds. Returns the
  /// number of resets.
  static size_t DenyByAll(TestEntry& entry,
                          const FlowPackets& flow,
                          uint64_t agents = kAgents) {
    entry.Client(flow.Request());
    size_t resets = 0;
    for (uint64_t uid = 1; uid <= agents; ++uid) {
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
