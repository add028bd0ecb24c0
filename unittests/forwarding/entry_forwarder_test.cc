#include "skylarkshunt/forwarding/entry_forwarder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <variant>

#include "packets.h"

namespace skylarkshunt {
namespace {

const ServiceUid kService = MakeServiceUid("dispatch");
constexpr uint32_t kLocalDataCentre = 1;
constexpr uint32_t kRemoteDataCentre = 2;

Endpoint EndpointOf(uint64_t uid) {
  return {0x0a020000 + static_cast<uint32_t>(uid), 7720};
}

AgentIdentity Identity(uint64_t uid,
                       uint32_t data_centre = kLocalDataCentre,
                       uint64_t incarnation = 1) {
  AgentIdentity agent;
  agent.uid = InstanceUid{uid};
  agent.incarnation = Incarnation{incarnation};
  agent.service = kService;
  agent.data_centre = data_centre;
  return agent;
}

AgentLoad Load(uint16_t busy, uint32_t service_time_us = 25'000) {
  AgentLoad load;
  load.slots = 4;
  load.busy = busy;
  load.service_time_us = service_time_us;
  load.state = InstanceState::kServing;
  return load;
}

std::shared_ptr<const RouteTable> Routes(uint64_t version = 1) {
  auto table = std::make_shared<RouteTable>();
  table->version = version;
  Route route;
  route.shares = {{kService, 1}};
  route.latency_objective = absl::Milliseconds(150);
  route.deadline = absl::Milliseconds(2500);
  table->routes[FlowPackets().flow().service] = route;
  return table;
}

class EntryForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryForwarderTest);
  CPPUNIT_TEST(FlowStaysWhereItWasPlaced);
  CPPUNIT_TEST(FlowOfAnotherEntryIsFound);
  CPPUNIT_TEST(FlowIsResetOnlyAfterAllAgentsDenyIt);
  CPPUNIT_TEST(FlowOfAnUnresponsiveAgentIsNotReset);
  CPPUNIT_TEST(EntryResetsNoFlowWithinItsSettleTime);
  CPPUNIT_TEST(DeclinedOpeningGoesToAnotherAgent);
  CPPUNIT_TEST(OpeningIsForcedAfterThreeDeclines);
  CPPUNIT_TEST(RemovedRouteIsRefused);
  CPPUNIT_TEST(OlderConfigurationIsIgnored);
  CPPUNIT_TEST(WithoutConfigurationPacketsAreDropped);
  CPPUNIT_TEST(WithoutConfigurationOpeningsAreRefusedAfterTheStart);
  CPPUNIT_TEST(WithoutConfigurationOnlyTheLastCopyIsRefusedDuringTheStart);
  CPPUNIT_TEST(WithoutConfigurationNoOpenFlowIsRefused);
  CPPUNIT_TEST(RetransmissionAvoidsAnUnresponsiveAgent);
  CPPUNIT_TEST(UnansweredOpeningGoesElsewhereBeforeItsRetransmission);
  CPPUNIT_TEST(UnresponsiveAgentGetsNoFlow);
  CPPUNIT_TEST(AnsweredOpeningsArePlacedOnce);
  CPPUNIT_TEST(ClientWithoutASlotInTimeIsRefused);
  CPPUNIT_TEST(RetryIsPlacedAsTheOlderRequest);
  CPPUNIT_TEST(FlowPlacedElsewhereIsNotRefused);
  CPPUNIT_TEST(RefusalIsDeferredWhileAnotherAgentMayHoldTheFlow);
  CPPUNIT_TEST(RefusedAtOnceWhenNobodyAccepts);
  CPPUNIT_TEST(CopiesOfOpeningPacketsAreRecorded);
  CPPUNIT_TEST(RefusalNamesTheReceivedCopies);
  CPPUNIT_TEST(ResetAfterASearchNamesTheKnownAgents);
  CPPUNIT_TEST(SecondHolderOfAFlowIsReported);
  CPPUNIT_TEST(SearchesAreCountedByOutcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    entry_.SetRoutes(Routes(), kStart);
    for (uint64_t uid = 1; uid <= 3; ++uid)
      Report(uid, 0);
  }

  void FlowStaysWhereItWasPlaced() {
    const FlowPackets flow;
    Client(flow.Opening());
    const Endpoint agent = actions_.to_agents.at(0).agent;
    CPPUNIT_ASSERT(actions_.to_agents[0].message.mode == ForwardMode::kOpening);
    CPPUNIT_ASSERT_EQUAL(uint32_t{150},
                         actions_.to_agents[0].message.objective_ms);
    CPPUNIT_ASSERT_EQUAL(uint32_t{833},
                         actions_.to_agents[0].message.attempt_ms);
    // Changes of the load do not move the flow.
    for (uint64_t uid = 1; uid <= 3; ++uid)
      Report(uid, EndpointOf(uid) == agent ? 9 : 0);
    Client(flow.Opening(1));
    CPPUNIT_ASSERT(actions_.to_agents.at(0).agent == agent);
    Client(flow.Request());
    CPPUNIT_ASSERT(actions_.to_agents.at(0).agent == agent);
    CPPUNIT_ASSERT(actions_.to_agents[0].message.mode ==
                   ForwardMode::kEstablished);
  }

  // An entry joins or leaves, and nearly all flows change their entry. Guards
  // against flows that lose their target.
  void FlowOfAnotherEntryIsFound() {
    const FlowPackets flow;
    Client(flow.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, actions_.to_agents.size());
    CPPUNIT_ASSERT(actions_.to_agents[0].message.mode == ForwardMode::kSearch);
    Placed(2, flow);
    Client(flow.Request());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_agents.size());
    CPPUNIT_ASSERT(actions_.to_agents[0].agent == EndpointOf(2));
  }

  // Guards against a reset of a flow that one target still holds.
  void FlowIsResetOnlyAfterAllAgentsDenyIt() {
    Age(kAgentExpiryTimeout);
    const FlowPackets flow;
    Client(flow.Request());
    Return(1, flow.Request(), ReturnReason::kNotHeld, ForwardMode::kSearch);
    Return(2, flow.Request(), ReturnReason::kNotHeld, ForwardMode::kSearch);
    Return(2, flow.Request(), ReturnReason::kNotHeld, ForwardMode::kSearch);
    CPPUNIT_ASSERT(actions_.resets.empty());
    Return(3, flow.Request(), ReturnReason::kNotHeld, ForwardMode::kSearch);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{9001}, actions_.resets[0].sequence);
  }

  // A target keeps its flows while its agent is missing.
  void FlowOfAnUnresponsiveAgentIsNotReset() {
    Age(kAgentExpiryTimeout);
    now_ += absl::Seconds(1);
    Report(1, 0);
    Report(2, 0);
    const FlowPackets flow;
    Client(flow.Request());
    for (uint64_t uid : {1, 2})
      Return(uid, flow.Request(), ReturnReason::kNotHeld, ForwardMode::kSearch);
    CPPUNIT_ASSERT(actions_.resets.empty());
  }

  // Guards against a reset by an entry that does not know all agents yet.
  void EntryResetsNoFlowWithinItsSettleTime() {
    const FlowPackets flow;
    Client(flow.Request());
    for (uint64_t uid = 1; uid <= 3; ++uid)
      Return(uid, flow.Request(), ReturnReason::kNotHeld, ForwardMode::kSearch);
    CPPUNIT_ASSERT(actions_.resets.empty());
  }

  void DeclinedOpeningGoesToAnotherAgent() {
    const FlowPackets flow;
    Client(flow.Opening());
    const Endpoint first = actions_.to_agents.at(0).agent;
    Return(UidAt(first), flow.Opening(), ReturnReason::kBusy,
           ForwardMode::kOpening);
    const EntryActions::ToAgent& second = actions_.to_agents.at(0);
    CPPUNIT_ASSERT(second.agent != first);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, second.message.declined.size());
    Client(flow.Request());
    CPPUNIT_ASSERT(actions_.to_agents.at(0).agent == second.agent ||
                   actions_.to_agents.at(0).agent != first);
  }

  // Guards against an opening packet that is declined endlessly.
  void OpeningIsForcedAfterThreeDeclines() {
    const FlowPackets flow;
    Client(flow.Opening());
    std::vector<InstanceUid> declined;
    for (int i = 0; i < 3; ++i) {
      const uint64_t uid = UidAt(actions_.to_agents.at(0).agent);
      Return(uid, flow.Opening(), ReturnReason::kBusy, ForwardMode::kOpening,
             declined, 9);
      declined.push_back(InstanceUid{uid});
    }
    const ForwardedPacket& forced = actions_.to_agents.at(0).message;
    CPPUNIT_ASSERT_EQUAL(std::numeric_limits<uint32_t>::max(),
                         forced.wait_limit_us);
    CPPUNIT_ASSERT_EQUAL(kMaxDeclines, forced.declined.size());
    Return(UidAt(actions_.to_agents.at(0).agent), flow.Opening(),
           ReturnReason::kTargetRefused, ForwardMode::kOpening, declined, 9);
    CPPUNIT_ASSERT(actions_.to_agents.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
  }

  void RemovedRouteIsRefused() {
    const FlowPackets flow;
    Client(flow.Opening());
    auto without = std::make_shared<RouteTable>();
    without->version = 2;
    entry_.SetRoutes(without, kStart);
    // The flow is so young that its client may know of a newer version.
    Client(flow.Request());
    CPPUNIT_ASSERT(actions_.to_agents.empty());
    CPPUNIT_ASSERT(actions_.resets.empty());
    now_ += absl::Seconds(7);
    Client(flow.Request());
    CPPUNIT_ASSERT(actions_.to_agents.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    PacketHeader reset = flow.Request();
    reset.reset = true;
    Client(reset);
    CPPUNIT_ASSERT(actions_.resets.empty());
  }

  void OlderConfigurationIsIgnored() {
    entry_.SetRoutes(Routes(9), kStart);
    entry_.SetRoutes(Routes(8), kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, entry_.routes()->version);
  }

  void WithoutConfigurationPacketsAreDropped() {
    EntryForwarder entry(kLocalDataCentre, kStart);
    entry.OnClientPacket(FlowPackets().Opening(), kPacketBytes, kStart,
                         actions_);
    CPPUNIT_ASSERT(actions_.resets.empty());
    CPPUNIT_ASSERT(actions_.to_agents.empty());
  }

  // The store is away and an entry has no configuration. Guards against clients
  // that wait for the end of an attempt that cannot succeed.
  void WithoutConfigurationOpeningsAreRefusedAfterTheStart() {
    EntryForwarder entry(kLocalDataCentre, kStart);
    const absl::Time late = kStart + absl::Seconds(2);
    entry.OnClientPacket(FlowPackets().Opening(), kPacketBytes, late, actions_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    CPPUNIT_ASSERT(actions_.resets[0].flow == FlowPackets().flow());
    CPPUNIT_ASSERT(actions_.decisions.at(0).kind == DecisionKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("no_configuration"),
                         std::string(actions_.decisions[0].reason));
    // The client's next attempt may reach another entry.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.refused.size());
    CPPUNIT_ASSERT(actions_.to_agents.empty());
  }

  // Guards against clients that wait until the end of their attempt during the
  // start, and against a refusal while a retransmission could still be placed.
  void WithoutConfigurationOnlyTheLastCopyIsRefusedDuringTheStart() {
    EntryForwarder entry(kLocalDataCentre, kStart);
    const FlowPackets flow;
    for (int copy = 0; copy < 3; ++copy) {
      CPPUNIT_ASSERT(actions_.resets.empty());
      const PacketHeader header = flow.Opening(copy);
      entry.OnClientPacket(header, kPacketBytes, kStart + header.opening_age,
                           actions_);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    CPPUNIT_ASSERT(actions_.decisions.at(0).kind == DecisionKind::kDeferred);
  }

  // Guards against an untrue refusal: an entry with a configuration may have
  // opened the flow of an earlier copy, or of an established packet.
  void WithoutConfigurationNoOpenFlowIsRefused() {
    EntryForwarder entry(kLocalDataCentre, kStart);
    absl::Time now = kStart + absl::Minutes(5);
    entry.OnClientPacket(FlowPackets(2000).Opening(1), kPacketBytes, now,
                         actions_);
    // The client has sent its second copy before the first one is handled.
    entry.set_socket_delay(absl::Milliseconds(300));
    entry.OnClientPacket(FlowPackets(2001).Opening(), kPacketBytes, now,
                         actions_);
    entry.set_socket_delay(absl::ZeroDuration());
    PacketHeader ending = FlowPackets(2002).Request();
    ending.ending = true;
    PacketHeader reset = FlowPackets(2002).Request();
    reset.reset = true;
    for (const PacketHeader& header :
         {FlowPackets(2002).Request(), ending, reset}) {
      entry.OnClientPacket(header, kPacketBytes, now, actions_);
    }
    CPPUNIT_ASSERT(actions_.resets.empty());
    CPPUNIT_ASSERT(actions_.refused.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{5}, actions_.decisions.size());
  }

  // Guards against a client that gives up because its first agent died.
  void RetransmissionAvoidsAnUnresponsiveAgent() {
    const FlowPackets flow;
    Client(flow.Opening());
    const Endpoint first = actions_.to_agents.at(0).agent;
    now_ += absl::Milliseconds(400);
    for (uint64_t uid = 1; uid <= 3; ++uid) {
      if (EndpointOf(uid) != first)
        Report(uid, 0);
    }
    Client(flow.Opening(1));
    CPPUNIT_ASSERT(actions_.to_agents.at(0).agent != first);
  }

  // An agent dies between two of its reports. Guards against clients that wait
  // for their own retransmission after 200 ms.
  void UnansweredOpeningGoesElsewhereBeforeItsRetransmission() {
    const FlowPackets flow;
    Client(flow.Opening());
    const Endpoint first = actions_.to_agents.at(0).agent;
    CPPUNIT_ASSERT(entry_.next_deadline() < now_ + absl::Milliseconds(100));
    Pass(entry_.next_deadline() - now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_agents.size());
    CPPUNIT_ASSERT(actions_.to_agents[0].agent != first);
    CPPUNIT_ASSERT(actions_.to_agents[0].message.packet == kPacketBytes);
    // The last agent must accept the packet, so it is sent no further.
    for (int i = 0; i < 3; ++i)
      Pass(absl::Milliseconds(100));
    CPPUNIT_ASSERT(actions_.to_agents.empty());
    CPPUNIT_ASSERT(entry_.next_deadline() == absl::InfiniteFuture());
  }

  // Guards against new flows for an agent that is known to be unresponsive.
  void UnresponsiveAgentGetsNoFlow() {
    const FlowPackets flow(1);
    Client(flow.Opening());
    const Endpoint unresponsive = actions_.to_agents.at(0).agent;
    AgentView* agent = entry_.agents().Find(InstanceUid{UidAt(unresponsive)});
    RecordUnanswered(*agent, now_);
    CPPUNIT_ASSERT(IsResponsive(*agent, now_));
    RecordUnanswered(*agent, now_);
    CPPUNIT_ASSERT(!IsResponsive(*agent, now_));
    CPPUNIT_ASSERT(!entry_.agents().IsComplete(kService, now_));
    Client(flow.Opening(1));
    CPPUNIT_ASSERT(actions_.to_agents.at(0).agent != unresponsive);
    Report(UidAt(unresponsive), 0);
    CPPUNIT_ASSERT(IsResponsive(*agent, now_));
    // A message after the packet was sent proves that the agent is responsive.
    RecordUnanswered(*agent, now_ - absl::Milliseconds(1));
    RecordUnanswered(*agent, now_ - absl::Milliseconds(1));
    CPPUNIT_ASSERT(IsResponsive(*agent, now_));
  }

  // Guards against flows that open at two targets while all agents answer.
  void AnsweredOpeningsArePlacedOnce() {
    const FlowPackets placed(1);
    const FlowPackets declined_once(2);
    Client(placed.Opening());
    Placed(UidAt(actions_.to_agents.at(0).agent), placed);
    Client(declined_once.Opening());
    Return(UidAt(actions_.to_agents.at(0).agent), declined_once.Opening(),
           ReturnReason::kBusy, ForwardMode::kOpening);
    Placed(UidAt(actions_.to_agents.at(0).agent), declined_once);
    CPPUNIT_ASSERT(entry_.next_deadline() == absl::InfiniteFuture());
    Pass(absl::Milliseconds(500));
    CPPUNIT_ASSERT(actions_.to_agents.empty());
  }

  void ClientWithoutASlotInTimeIsRefused() {
    const FlowPackets flow;
    Client(flow.Opening());
    const uint64_t uid = UidAt(actions_.to_agents.at(0).agent);
    Placed(uid, flow);
    Return(uid, flow.Opening(), ReturnReason::kNoSlotInTime,
           ForwardMode::kOpening);
    CPPUNIT_ASSERT(actions_.to_agents.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    CPPUNIT_ASSERT(actions_.resets[0].flow == flow.flow());
    // The decision contains the inputs that led to it.
    const Decision& decision = actions_.decisions.at(0);
    CPPUNIT_ASSERT_EQUAL(uid, ToNumber(decision.agent));
    CPPUNIT_ASSERT_EQUAL(uint32_t{4}, decision.busy);
    CPPUNIT_ASSERT_EQUAL(uint32_t{4}, decision.slots);
  }

  // Retry storm. Guards against a refused request that competes as a new one,
  // with its whole objective and deadline ahead.
  void RetryIsPlacedAsTheOlderRequest() {
    const FlowPackets flow;
    Client(flow.Opening());
    const uint64_t uid = UidAt(actions_.to_agents.at(0).agent);
    now_ += absl::Milliseconds(100);
    Return(uid, flow.Opening(), ReturnReason::kNoSlotInTime,
           ForwardMode::kOpening);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.refused.size());
    now_ += absl::Milliseconds(5);
    Client(FlowPackets(1026).Opening());
    const ForwardedPacket retry = actions_.to_agents.at(0).message;
    CPPUNIT_ASSERT_EQUAL(uint32_t{45}, retry.objective_ms);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1197}, retry.attempt_ms);
    // The next flow of the address is a request of its own.
    Client(FlowPackets(1027).Opening());
    CPPUNIT_ASSERT_EQUAL(uint32_t{150},
                         actions_.to_agents.at(0).message.objective_ms);
  }

  // An agent is suspended for a while, its clients' packets go to another
  // agent, and it returns the packets later. Guards against a reset of a flow
  // that is open at another target.
  void FlowPlacedElsewhereIsNotRefused() {
    const FlowPackets flow;
    Client(flow.Opening());
    const uint64_t slow = UidAt(actions_.to_agents.at(0).agent);
    Pass(absl::Milliseconds(100));
    const uint64_t other = UidAt(actions_.to_agents.at(0).agent);
    CPPUNIT_ASSERT(other != slow);
    Placed(other, flow);
    for (const ReturnReason reason :
         {ReturnReason::kNoSlotInTime, ReturnReason::kTargetRefused,
          ReturnReason::kBusy}) {
      Return(slow, flow.Opening(), reason, ForwardMode::kOpening,
             {InstanceUid{8}, InstanceUid{9}, InstanceUid{10}});
      CPPUNIT_ASSERT(actions_.resets.empty());
      CPPUNIT_ASSERT(actions_.to_agents.empty());
    }
    Client(flow.Request());
    CPPUNIT_ASSERT_EQUAL(other, UidAt(actions_.to_agents.at(0).agent));
  }

  // An agent answers an opening packet later than its timeout, and the next
  // agent refuses the packet at once. Guards against a reset of the flow that
  // the first agent may have opened, whose request then runs although its
  // client was told that it did not.
  void RefusalIsDeferredWhileAnotherAgentMayHoldTheFlow() {
    const FlowPackets flow;
    Client(flow.Opening());
    const uint64_t slow = UidAt(actions_.to_agents.at(0).agent);
    Pass(absl::Milliseconds(100));
    const uint64_t other = UidAt(actions_.to_agents.at(0).agent);
    CPPUNIT_ASSERT(other != slow);
    Return(other, flow.Opening(), ReturnReason::kNoSlotInTime,
           ForwardMode::kOpening, {InstanceUid{slow}});
    CPPUNIT_ASSERT(actions_.resets.empty());
    CPPUNIT_ASSERT(actions_.refused.empty());
    Placed(slow, flow);
    Client(flow.Request());
    CPPUNIT_ASSERT_EQUAL(slow, UidAt(actions_.to_agents.at(0).agent));
  }

  void RefusedAtOnceWhenNobodyAccepts() {
    Age(absl::Seconds(3));
    for (uint64_t uid = 1; uid <= 3; ++uid) {
      AgentLoad load = Load(0);
      load.state = InstanceState::kDraining;
      entry_.agents().Update(Identity(uid), load, EndpointOf(uid), now_);
    }
    Client(FlowPackets().Opening());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
  }

  // Guards against a copy that is not recorded because the entry has no route
  // for it, and against a copy whose time in the socket is ignored.
  void CopiesOfOpeningPacketsAreRecorded() {
    EntryForwarder entry(kLocalDataCentre, kStart);
    const FlowPackets flow;
    entry.OnClientPacket(flow.Opening(), kPacketBytes, now_, actions_);
    entry.SetRoutes(Routes(), kStart);
    const FlowPackets foreign(1, {0xc6120009, 443});
    entry.set_socket_delay(absl::Milliseconds(30));
    entry.OnClientPacket(foreign.Opening(1), kPacketBytes, now_, actions_);
    entry.OnClientPacket(flow.Request(), kPacketBytes, now_, actions_);
    const OpeningCopies& copies = entry.opening_copies();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, copies.size());
    CPPUNIT_ASSERT_EQUAL(uint8_t{1}, copies.Find(flow.flow()).received);
    CPPUNIT_ASSERT_EQUAL(uint8_t{2}, copies.Find(foreign.flow()).received);
    CPPUNIT_ASSERT(copies.Find(foreign.flow()).first_sent ==
                   kStart - absl::Milliseconds(230) -
                       OpeningCopies::kNetworkTime);
    entry.ExpireIdle(now_ + absl::Seconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, copies.size());
  }

  // Guards against a refusal whose decision does not show that another entry
  // has received the first copy of the opening packet.
  void RefusalNamesTheReceivedCopies() {
    const FlowPackets flow;
    entry_.set_socket_delay(absl::Milliseconds(30));
    Client(flow.Opening());
    const uint64_t uid = UidAt(actions_.to_agents.at(0).agent);
    now_ += absl::Milliseconds(7);
    Return(uid, flow.Opening(), ReturnReason::kNoSlotInTime,
           ForwardMode::kOpening);
    const Decision refused = actions_.decisions.at(0);
    CPPUNIT_ASSERT(refused.kind == DecisionKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(actions_.resets.at(0).sequence, refused.sequence);
    const auto& opening = std::get<OpeningEvidence>(refused.evidence);
    CPPUNIT_ASSERT_EQUAL(uint8_t{1}, opening.copies);
    CPPUNIT_ASSERT(opening.age ==
                   absl::Milliseconds(37) + OpeningCopies::kNetworkTime);
    // Another entry received the first copy.
    const FlowPackets moved(2);
    Client(moved.Opening(1));
    Return(UidAt(actions_.to_agents.at(0).agent), moved.Opening(1),
           ReturnReason::kNoSlotInTime, ForwardMode::kOpening);
    const Decision held_back = actions_.decisions.at(0);
    CPPUNIT_ASSERT(held_back.kind == DecisionKind::kDeferred);
    CPPUNIT_ASSERT_EQUAL(uint8_t{2},
                         std::get<OpeningEvidence>(held_back.evidence).copies);
    // A packet without a route may belong to an open flow.
    const FlowPackets foreign(1, {0xc6120009, 443});
    Client(foreign.Request());
    const Decision no_route = actions_.decisions.at(0);
    CPPUNIT_ASSERT(no_route.kind == DecisionKind::kDeferred);
    const auto& none = std::get<OpeningEvidence>(no_route.evidence);
    CPPUNIT_ASSERT_EQUAL(uint8_t{0}, none.copies);
    CPPUNIT_ASSERT(none.age == absl::InfiniteDuration());
    // A packet that is dropped for lack of a configuration counts, too.
    EntryForwarder unconfigured(kLocalDataCentre, kStart);
    actions_.Clear();
    unconfigured.OnClientPacket(flow.Opening(), kPacketBytes, now_, actions_);
    const Decision deferred = actions_.decisions.at(0);
    CPPUNIT_ASSERT(deferred.kind == DecisionKind::kDeferred);
    CPPUNIT_ASSERT_EQUAL(uint8_t{1},
                         std::get<OpeningEvidence>(deferred.evidence).copies);
  }

  // Guards against a reset whose decision does not show that the entry had
  // just started, or had learned of an agent a moment before.
  void ResetAfterASearchNamesTheKnownAgents() {
    Age(kAgentExpiryTimeout);
    CPPUNIT_ASSERT(entry_.agents().last_appeared(kService) == kStart);
    CPPUNIT_ASSERT(entry_.agents().last_appeared(MakeServiceUid("schemata")) ==
                   absl::InfinitePast());
    AgentLoad down = Load(0);
    down.state = InstanceState::kDown;
    entry_.agents().Update(Identity(4), down, EndpointOf(4), now_);
    Age(kAgentSuspectTimeout);
    // An agent that restarted is not a new one.
    entry_.agents().Update(Identity(1, kLocalDataCentre, 2), Load(0),
                           EndpointOf(1), now_);
    const FlowPackets flow;
    constexpr absl::Duration kRetransmission = absl::Milliseconds(200);
    for (const absl::Duration after : {absl::ZeroDuration(), kRetransmission}) {
      now_ += after;
      Client(flow.Request());
      for (uint64_t uid = 1; uid <= 3; ++uid) {
        Return(uid, flow.Request(), ReturnReason::kNotHeld,
               ForwardMode::kSearch);
      }
    }
    const Decision& reset = actions_.decisions.at(0);
    CPPUNIT_ASSERT(reset.kind == DecisionKind::kFlowReset);
    CPPUNIT_ASSERT_EQUAL(uint32_t{9001}, reset.sequence);
    const auto& search = std::get<SearchEvidence>(reset.evidence);
    CPPUNIT_ASSERT_EQUAL(uint32_t{4}, search.queried);
    CPPUNIT_ASSERT_EQUAL(uint32_t{4}, search.known);
    CPPUNIT_ASSERT(search.uptime == kAgentExpiryTimeout + kAgentSuspectTimeout +
                                        kRetransmission);
    CPPUNIT_ASSERT(search.newest_agent ==
                   kAgentSuspectTimeout + kRetransmission);
  }

  // Guards against a flow that opened at two targets and leaves no trace in
  // the log, and against a report for a flow that was only placed again.
  void SecondHolderOfAFlowIsReported() {
    const FlowPackets flow;
    Client(flow.Request());
    Placed(2, flow);
    CPPUNIT_ASSERT(FindDecision(DecisionKind::kHeldTwice) == nullptr);
    Placed(2, flow);
    CPPUNIT_ASSERT(actions_.decisions.empty());
    Placed(3, flow);
    const Decision* twice = FindDecision(DecisionKind::kHeldTwice);
    CPPUNIT_ASSERT(twice != nullptr);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, ToNumber(twice->agent));
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2},
        ToNumber(std::get<OtherHolderEvidence>(twice->evidence).agent));
    const FlowPackets opening(2);
    Client(opening.Opening());
    for (uint64_t uid = 1; uid <= 3; ++uid) {
      Placed(uid, opening);
      CPPUNIT_ASSERT(actions_.decisions.empty());
    }
    Client(opening.Request());
    Placed(1, opening);
    CPPUNIT_ASSERT(FindDecision(DecisionKind::kHeldTwice) != nullptr);
  }

  // Guards against searches that end without an answer and are not counted.
  void SearchesAreCountedByOutcome() {
    Age(kAgentExpiryTimeout);
    Client(FlowPackets(1).Request());
    Placed(2, FlowPackets(1));
    Client(FlowPackets(2).Request());
    for (uint64_t uid = 1; uid <= 3; ++uid) {
      Return(uid, FlowPackets(2).Request(), ReturnReason::kNotHeld,
             ForwardMode::kSearch);
    }
    Client(FlowPackets(3).Request());
    entry_.ExpireIdle(now_ + absl::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, entry_.search_counts().found);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, entry_.search_counts().held_nowhere);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, entry_.search_counts().not_proven);
  }

 private:
  static uint64_t UidAt(Endpoint agent) { return agent.address - 0x0a020000; }

  void Report(uint64_t uid, uint16_t busy) {
    AgentReport report;
    report.agent = Identity(uid);
    report.sequence = ++sequence_;
    report.load = Load(busy);
    entry_.agents().UpdateFromReport(report, EndpointOf(uid), now_);
  }

  /// Returns the decision of `kind` in the last actions, or null.
  const Decision* FindDecision(DecisionKind kind) const {
    const auto found = std::find_if(
        actions_.decisions.begin(), actions_.decisions.end(),
        [kind](const Decision& decision) { return decision.kind == kind; });
    return found == actions_.decisions.end() ? nullptr : &*found;
  }

  /// Advances the time by `time`, with a report of every agent.
  void Age(absl::Duration time) {
    now_ += time;
    for (uint64_t uid = 1; uid <= 3; ++uid)
      Report(uid, 0);
  }

  /// Advances the time by `time`, without any message.
  void Pass(absl::Duration time) {
    now_ += time;
    actions_.Clear();
    entry_.Tick(now_, actions_);
  }

  void Client(const PacketHeader& header) {
    actions_.Clear();
    entry_.OnClientPacket(header, kPacketBytes, now_, actions_);
  }

  void Placed(uint64_t uid, const FlowPackets& flow) {
    actions_.Clear();
    entry_.OnPlaced({Identity(uid), Load(1), flow.flow()}, EndpointOf(uid),
                    now_, actions_);
  }

  void Return(uint64_t uid,
              const PacketHeader& header,
              ReturnReason reason,
              ForwardMode mode,
              std::vector<InstanceUid> declined = {},
              uint16_t busy = 4) {
    ReturnedPacket returned;
    returned.agent = Identity(uid);
    returned.load = Load(busy);
    returned.reason = reason;
    returned.mode = mode;
    returned.declined = std::move(declined);
    returned.packet = kPacketBytes;
    actions_.Clear();
    entry_.OnReturned(returned, header, EndpointOf(uid), now_, actions_);
  }

  absl::Time now_ = kStart;
  uint64_t sequence_ = 0;
  EntryForwarder entry_{kLocalDataCentre, kStart};
  EntryActions actions_;
};

class PlacementByLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementByLoadTest);
  CPPUNIT_TEST(LocalDataCentreIsPreferredWhileItHasSlots);
  CPPUNIT_TEST(SlowTargetIsAvoided);
  CPPUNIT_TEST(FailingTargetIsAvoided);
  CPPUNIT_TEST(FailingShareCommonToAllTargetsIsIgnored);
  CPPUNIT_TEST(ServiceStaysAvailableWhenAllTargetsFail);
  CPPUNIT_TEST(UnreportedFlowsCountAsLoad);
  CPPUNIT_TEST(UnresponsiveAndDrainingAgentsGetNoFlow);
  CPPUNIT_TEST(AgentWithLongReportIntervalIsResponsive);
  CPPUNIT_TEST(OlderIncarnationChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LocalDataCentreIsPreferredWhileItHasSlots() {
    directory_.Update(Identity(1, kLocalDataCentre), Load(2), EndpointOf(1),
                      kStart);
    directory_.Update(Identity(2, kRemoteDataCentre), Load(1), EndpointOf(2),
                      kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
    directory_.Update(Identity(1, kLocalDataCentre), Load(4), EndpointOf(1),
                      kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Place());
  }

  // One target is five times slower. Guards against an equal share of the flows
  // for it.
  void SlowTargetIsAvoided() {
    directory_.Update(Identity(1), Load(0, 125'000), EndpointOf(1), kStart);
    directory_.Update(Identity(2), Load(4, 25'000), EndpointOf(2), kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Place());
    directory_.Update(Identity(2), Load(22, 25'000), EndpointOf(2), kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
  }

  // One target fails two of five requests at once and therefore looks idle and
  // fast. Guards against a share of the flows that grows with the failures.
  void FailingTargetIsAvoided() {
    AgentLoad failing = Load(0, 3'000);
    failing.failing_permille = 400;
    directory_.Update(Identity(1), failing, EndpointOf(1), kStart);
    for (uint64_t uid : {2, 3}) {
      directory_.Update(Identity(uid), Load(8, 25'000), EndpointOf(uid),
                        kStart);
    }
    CPPUNIT_ASSERT(Place() != 1);
    for (uint64_t uid : {2, 3}) {
      directory_.Update(Identity(uid), Load(40, 25'000), EndpointOf(uid),
                        kStart);
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
  }

  // All targets show a similar failing share, for example because of answers of
  // very different sizes. Guards against a concentration of flows at one target
  // because this share is counted against the others.
  void FailingShareCommonToAllTargetsIsIgnored() {
    for (uint64_t uid : {1, 2, 3}) {
      AgentLoad load = Load(static_cast<uint16_t>(3 + uid));
      load.failing_permille = uid == 1 ? 490 : 400;
      directory_.Update(Identity(uid), load, EndpointOf(uid), kStart);
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
  }

  // Guards against a service without targets because all of them seem to fail.
  void ServiceStaysAvailableWhenAllTargetsFail() {
    AgentLoad failing = Load(1);
    failing.failing_permille = 1000;
    directory_.Update(Identity(1), failing, EndpointOf(1), kStart);
    failing.busy = 3;
    directory_.Update(Identity(2), failing, EndpointOf(2), kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
  }

  // Guards against a concentration of flows at the agent with the oldest
  // report.
  void UnreportedFlowsCountAsLoad() {
    directory_.Update(Identity(1), Load(0), EndpointOf(1), kStart);
    directory_.Update(Identity(2), Load(1), EndpointOf(2), kStart);
    AgentView* first = directory_.Find(InstanceUid{1});
    first->unreported = 4;
    first->last_sent = kStart;
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Place());
  }

  void UnresponsiveAndDrainingAgentsGetNoFlow() {
    AgentLoad draining = Load(0);
    draining.state = InstanceState::kDraining;
    directory_.Update(Identity(1), draining, EndpointOf(1), kStart);
    directory_.Update(Identity(2), Load(0), EndpointOf(2),
                      kStart - absl::Seconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, Place());
    CPPUNIT_ASSERT(!directory_.IsComplete(kService, kStart));
  }

  // A large fleet whose agents report rarely. Guards against small entries that
  // spend their processor time on reports, and against agents that count as
  // unresponsive because of their long report interval.
  void AgentWithLongReportIntervalIsResponsive() {
    CPPUNIT_ASSERT(AgentReportInterval(1) == kAgentReportInterval);
    CPPUNIT_ASSERT(AgentReportInterval(50) == absl::Milliseconds(400));
    CPPUNIT_ASSERT(AgentReportInterval(100) == absl::Milliseconds(1600));
    CPPUNIT_ASSERT(AgentReportInterval(5'000) == absl::Seconds(5));
    AgentReport report;
    report.agent = Identity(1);
    report.sequence = 1;
    report.load = Load(0);
    report.interval_ms = 400;
    directory_.UpdateFromReport(report, EndpointOf(1),
                                kStart - absl::Seconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
    directory_.Update(Identity(2), Load(4), EndpointOf(2),
                      kStart - absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
  }

  // Guards against a delayed message of an earlier incarnation of an agent.
  void OlderIncarnationChangesNothing() {
    directory_.Update(Identity(1, kLocalDataCentre, 7), Load(0), EndpointOf(1),
                      kStart);
    AgentLoad late = Load(0);
    late.state = InstanceState::kDown;
    CPPUNIT_ASSERT(directory_.Update(Identity(1, kLocalDataCentre, 6), late,
                                     EndpointOf(1),
                                     kStart) == AgentChange::kNone);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Place());
    CPPUNIT_ASSERT(directory_.Update(Identity(1, kLocalDataCentre, 8), Load(0),
                                     EndpointOf(1),
                                     kStart) == AgentChange::kRestarted);
  }

 private:
  uint64_t Place() {
    PlacementRequest request;
    request.service = kService;
    request.data_centre = kLocalDataCentre;
    const auto placement = PlaceFlow(directory_, request, kStart);
    return placement.has_value() ? ToNumber(placement->agent->identity.uid) : 0;
  }

  AgentDirectory directory_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryForwarderTest);
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementByLoadTest);

}  // namespace
}  // namespace skylarkshunt
