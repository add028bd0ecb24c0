#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "packets.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"
#include "skylarkshunt/forwarding/node_directory.h"

namespace skylarkshunt {
namespace {

constexpr size_t kEntries = 91;
constexpr uint64_t kAgents = 163;
constexpr uint32_t kCentres = 5;
constexpr uint16_t kSlots = 2;
constexpr uint32_t kServiceTimeUs = 28'000;
/// A report of an agent to each entry takes its turn.
constexpr absl::Duration kReportAge = absl::Milliseconds(700);

const ServiceUid kService = MakeServiceUid("dispatch");

Endpoint EndpointOf(uint64_t agent) {
  return {0x0a020000 + static_cast<uint32_t>(agent), 7720};
}

AgentIdentity Identity(uint64_t agent) {
  AgentIdentity identity;
  identity.uid = InstanceUid{StableHash(agent, 1)};
  identity.incarnation = Incarnation{1};
  identity.service = kService;
  identity.data_centre = static_cast<uint32_t>(agent % kCentres);
  return identity;
}

AgentLoad Load(uint16_t busy) {
  AgentLoad load;
  load.slots = kSlots;
  load.busy = busy;
  load.service_time_us = kServiceTimeUs;
  load.state = InstanceState::kServing;
  return load;
}

AgentReport ReportOf(uint64_t agent, uint16_t busy = 0) {
  AgentReport report;
  report.agent = Identity(agent);
  report.sequence = 1;
  report.load = Load(busy);
  report.interval_ms = 3000;
  return report;
}

std::shared_ptr<const RouteTable> Routes() {
  auto table = std::make_shared<RouteTable>();
  table->version = 1;
  Route route;
  route.shares = {{kService, 1}};
  route.latency_objective = absl::Milliseconds(300);
  route.deadline = absl::Milliseconds(3000);
  table->routes[FlowPackets().flow().service] = route;
  return table;
}

FlowPackets FlowNumber(size_t number) {
  return FlowPackets(static_cast<uint16_t>(1025 + number));
}

/// An entry that knows the agents from `first` to `last`.
struct KnowingEntry {
  KnowingEntry(uint32_t centre, uint64_t first, uint64_t last)
      : forwarder(centre, kStart) {
    forwarder.SetRoutes(Routes());
    for (uint64_t agent = first; agent <= last; ++agent)
      Report(agent, kStart);
  }

  void Report(uint64_t agent, absl::Time now, uint16_t busy = 0) {
    forwarder.agents().UpdateFromReport(ReportOf(agent, busy),
                                        EndpointOf(agent), now);
  }

  void Client(const PacketHeader& header, absl::Time now) {
    actions.Clear();
    forwarder.OnClientPacket(header, kPacketBytes, now, actions);
  }

  /// The agent at `endpoint` says that it does not hold the flow.
  void NotHeld(const FlowPackets& flow, Endpoint endpoint, absl::Time now) {
    ReturnedPacket returned;
    returned.agent = Identity(endpoint.address - EndpointOf(0).address);
    returned.load = Load(0);
    returned.reason = ReturnReason::kNotHeld;
    returned.mode = ForwardMode::kSearch;
    returned.packet = kPacketBytes;
    forwarder.OnReturned(returned, flow.Request(), endpoint, now, actions);
  }

  EntryForwarder forwarder;
  EntryActions actions;
};

std::set<uint32_t> AskedIn(const EntryActions& actions) {
  std::set<uint32_t> asked;
  for (const EntryActions::ToAgent& action : actions.to_agents) {
    CPPUNIT_ASSERT(action.message.mode == ForwardMode::kSearch);
    asked.insert(action.agent.address);
  }
  return asked;
}

class LargeFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeFleetTest);
  CPPUNIT_TEST(EntriesWithTheSameStaleViewDoNotCrowd);
  CPPUNIT_TEST(AgentOnceSeenFullGetsFlowsAgain);
  CPPUNIT_TEST(FlowIsPlacedElsewhereWhenItsCandidatesAcceptNone);
  CPPUNIT_TEST(SearchAsksTheCandidatesFirst);
  CPPUNIT_TEST(FlowIsFoundAmongTheCandidatesOfAnotherView);
  CPPUNIT_TEST(SearchGoesOnToAllAgents);
  CPPUNIT_TEST(SearchDoesNotWaitForASilentCandidate);
  CPPUNIT_TEST(ReportsDoNotGrowWithTheSquareOfTheFleet);
  CPPUNIT_TEST(NewsReachesAllEntriesInAFewSteps);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Pattern: herding on stale load. All entries have the same reports, in which
  // ten agents are idle and the others are full, and each places one flow.
  // Guards against entries that all choose the idle ones. An agent runs two
  // requests and can hold as many again; more must wait or go back.
  void EntriesWithTheSameStaleViewDoNotCrowd() {
    std::map<uint32_t, size_t> flows;
    for (size_t i = 0; i < kEntries; ++i) {
      KnowingEntry entry(static_cast<uint32_t>(i % kCentres), 1, kAgents);
      for (uint64_t agent = 11; agent <= kAgents; ++agent)
        entry.forwarder.agents().Find(Identity(agent).uid)->load = Load(kSlots);
      entry.Client(FlowNumber(i).Opening(), kStart + kReportAge);
      ++flows[entry.actions.to_agents.at(0).agent.address];
    }
    const auto most = std::max_element(
        flows.begin(), flows.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    CPPUNIT_ASSERT(most->second <= size_t{2} * kSlots);
  }

  // Pattern: herding on stale load. Guards against an agent that gets no flow
  // of an entry until its next report, since it was full at the last one.
  void AgentOnceSeenFullGetsFlowsAgain() {
    KnowingEntry entry(0, 1, 2);
    entry.Report(1, kStart, 0);
    AgentView* full = entry.forwarder.agents().Find(Identity(1).uid);
    full->load = Load(kSlots);
    AgentView* idle = entry.forwarder.agents().Find(Identity(2).uid);
    idle->identity.data_centre = full->identity.data_centre;
    const auto count = [&](absl::Duration age) {
      size_t placed = 0;
      for (size_t i = 0; i < 100; ++i) {
        PlacementRequest request;
        request.service = kService;
        request.data_centre = full->identity.data_centre;
        request.flow_hash = StableHash(i, 2);
        placed +=
            PlaceFlow(entry.forwarder.agents(), request, kStart + age)->agent ==
            full;
      }
      return placed;
    };
    CPPUNIT_ASSERT_EQUAL(size_t{0}, count(absl::Milliseconds(100)));
    CPPUNIT_ASSERT(count(kReportAge) >= 25);
  }

  // Guards against callers that are refused while agents beyond the candidates
  // of their flows have room.
  void FlowIsPlacedElsewhereWhenItsCandidatesAcceptNone() {
    KnowingEntry entry(0, 1, kAgents);
    for (uint64_t agent = 2; agent <= kAgents; ++agent) {
      entry.forwarder.agents().Find(Identity(agent).uid)->load.state =
          InstanceState::kDraining;
    }
    for (size_t i = 0; i < 100; ++i) {
      entry.Client(FlowNumber(i).Opening(), kStart);
      CPPUNIT_ASSERT(entry.actions.to_agents.at(0).agent == EndpointOf(1));
    }
  }

  // Pattern: search storm. The routers' set changes, and every entry gets flows
  // that it does not know. Guards against a datagram to each of 163 agents for
  // each packet of them, and as many answers.
  void SearchAsksTheCandidatesFirst() {
    KnowingEntry entry(0, 1, kAgents);
    for (size_t i = 0; i < 100; ++i) {
      entry.Client(FlowNumber(i).Request(), kStart);
      CPPUNIT_ASSERT_EQUAL(2 * kSearchedPerSide,
                           entry.actions.to_agents.size());
    }
  }

  // Guards against a search of all agents for a flow whose entry knew some that
  // this one does not know, or the other way round: a release replaces 27.
  void FlowIsFoundAmongTheCandidatesOfAnotherView() {
    constexpr size_t kFlows = 1000;
    constexpr uint64_t kReplaced = 27;
    KnowingEntry before(0, 1, kAgents);
    KnowingEntry after(0, 1 + kReplaced, kAgents + kReplaced);
    size_t kept = 0;
    size_t found = 0;
    for (size_t i = 0; i < kFlows; ++i) {
      const FlowPackets flow = FlowNumber(i);
      before.Client(flow.Opening(), kStart);
      const Endpoint agent = before.actions.to_agents.at(0).agent;
      if (agent.address <= EndpointOf(kReplaced).address)
        continue;
      ++kept;
      after.Client(flow.Request(), kStart);
      found += AskedIn(after.actions).count(agent.address);
    }
    CPPUNIT_ASSERT(kept > kFlows / 2);
    CPPUNIT_ASSERT(100 * found >= 99 * kept);
  }

  // Guards against a flow that is cut or lost because it is at an agent that is
  // none of its candidates.
  void SearchGoesOnToAllAgents() {
    KnowingEntry entry(0, 1, kAgents);
    const FlowPackets flow;
    absl::Time now = kStart + absl::Seconds(3);
    for (uint64_t agent = 1; agent <= kAgents; ++agent)
      entry.forwarder.agents().Find(Identity(agent).uid)->heard = now;
    entry.Client(flow.Request(), now);
    const std::set<uint32_t> first = AskedIn(entry.actions);
    entry.actions.Clear();
    for (const uint32_t address : first)
      entry.NotHeld(flow, {address, EndpointOf(0).port}, now);
    const std::set<uint32_t> all = AskedIn(entry.actions);
    CPPUNIT_ASSERT_EQUAL(size_t{kAgents}, all.size());
    CPPUNIT_ASSERT(entry.actions.resets.empty());
    // Only when all have answered, the flow is nowhere.
    entry.actions.Clear();
    for (const uint32_t address : all) {
      CPPUNIT_ASSERT(entry.actions.resets.empty());
      if (first.count(address) == 0)
        entry.NotHeld(flow, {address, EndpointOf(0).port}, now);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.actions.resets.size());
  }

  void SearchDoesNotWaitForASilentCandidate() {
    KnowingEntry entry(0, 1, kAgents);
    const FlowPackets flow;
    entry.Client(flow.Request(), kStart);
    // The client's next copy.
    entry.Client(flow.Request(), kStart + absl::Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{kAgents}, entry.actions.to_agents.size());
  }

  // Guards against control traffic that takes the processor of small entries:
  // with 15 us a datagram, a hundred sent and 200 received a second are a tenth
  // of 0.038 cores.
  void ReportsDoNotGrowWithTheSquareOfTheFleet() {
    const double sent =
        (kEntries + 204) /
        absl::ToDoubleSeconds(EntryReportInterval(kEntries + 204));
    CPPUNIT_ASSERT(sent <= 100.001);
    const double received =
        204 / absl::ToDoubleSeconds(AgentReportInterval(kEntries)) +
        kEntries / absl::ToDoubleSeconds(EntryReportInterval(kEntries + 204));
    CPPUNIT_ASSERT(received <= 200);
    // Small fleets notice each other as fast as before.
    CPPUNIT_ASSERT(EntryReportInterval(20) == absl::Milliseconds(500));
    CPPUNIT_ASSERT(AgentReportInterval(15) == absl::Milliseconds(120));
  }

  // Pattern: a change of the configuration that one entry has first. Guards
  // against news that waits for the turn of each report in a large fleet, and
  // against a datagram from each entry to each node.
  void NewsReachesAllEntriesInAFewSteps() {
    constexpr uint32_t kFirst = 0x0a010001;
    std::vector<NodeDirectory> entries;
    for (uint32_t i = 0; i < kEntries; ++i) {
      entries.emplace_back(Role::kEntry, kFirst + i, EntryReportInterval(295),
                           absl::Span<const uint32_t>(), kStart);
      for (uint32_t j = 0; j < kEntries; ++j)
        entries[i].RecordMessage({kFirst + j, Role::kEntry}, kStart,
                                 absl::Seconds(3));
      std::vector<uint32_t> ignored;
      entries[i].TakeDue(kStart, ignored);
    }
    std::set<uint32_t> told = {0};
    std::vector<uint32_t> newly = {0};
    size_t datagrams = 0;
    constexpr int kSteps = 5;
    for (int step = 0; step < kSteps; ++step) {
      std::vector<uint32_t> next;
      for (const uint32_t i : newly) {
        std::vector<uint32_t> due;
        entries[i].MakeSomeDue(kStart);
        entries[i].TakeDue(kStart, due);
        datagrams += due.size();
        for (const uint32_t address : due) {
          if (told.insert(address - kFirst).second)
            next.push_back(address - kFirst);
        }
      }
      newly = next;
    }
    CPPUNIT_ASSERT(told.size() >= kEntries - 1);
    CPPUNIT_ASSERT(datagrams <= 10 * kEntries);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeFleetTest);

}  // namespace
}  // namespace skylarkshunt
