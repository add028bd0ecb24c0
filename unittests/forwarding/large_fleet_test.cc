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
constexpr uint32_t kDataCentres = 5;
constexpr uint16_t kSlots = 2;
constexpr uint32_t kServiceTimeUs = 28'000;
/// Age of an agent's report at an entry. Reports to the entries are sent in
/// turn.
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
  identity.data_centre = static_cast<uint32_t>(agent % kDataCentres);
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
struct EntryWithAgents {
  EntryWithAgents(uint32_t data_centre, uint64_t first, uint64_t last)
      : forwarder(data_centre, kStart) {
    forwarder.SetRoutes(Routes(), kStart);
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

  /// The agent at `endpoint` reports that it does not hold the flow.
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

std::set<uint32_t> QueriedIn(const EntryActions& actions) {
  std::set<uint32_t> queried;
  for (const EntryActions::ToAgent& action : actions.to_agents) {
    CPPUNIT_ASSERT(action.message.mode == ForwardMode::kSearch);
    queried.insert(action.agent.address);
  }
  return queried;
}

class LargeFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeFleetTest);
  CPPUNIT_TEST(EntriesWithTheSameStaleViewSpreadTheirFlows);
  CPPUNIT_TEST(AgentWithStaleFullLoadGetsFlows);
  CPPUNIT_TEST(FlowIsPlacedElsewhereWhenItsCandidatesAcceptNone);
  CPPUNIT_TEST(SearchQueriesTheCandidatesFirst);
  CPPUNIT_TEST(FlowIsFoundAmongTheCandidatesOfAnotherView);
  CPPUNIT_TEST(SearchContinuesWithAllAgents);
  CPPUNIT_TEST(SearchDoesNotWaitForAnUnresponsiveCandidate);
  CPPUNIT_TEST(ReportsDoNotGrowWithTheSquareOfTheFleet);
  CPPUNIT_TEST(ChangeReachesAllEntriesInAFewSteps);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Herding on stale load: all entries have the same reports, in which ten
  // agents are idle and the others are full, and each entry places one flow.
  // Guards against entries that all choose the idle agents. An agent runs two
  // requests and can hold two more; further ones must wait or are returned.
  void EntriesWithTheSameStaleViewSpreadTheirFlows() {
    std::map<uint32_t, size_t> flows;
    for (size_t i = 0; i < kEntries; ++i) {
      EntryWithAgents entry(static_cast<uint32_t>(i % kDataCentres), 1,
                            kAgents);
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

  // Herding on stale load. Guards against an agent that gets no flow from an
  // entry until its next report because it was full at the last one.
  void AgentWithStaleFullLoadGetsFlows() {
    EntryWithAgents entry(0, 1, 2);
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

  // Guards against clients that are refused while agents other than the
  // candidates of their flows have free slots.
  void FlowIsPlacedElsewhereWhenItsCandidatesAcceptNone() {
    EntryWithAgents entry(0, 1, kAgents);
    for (uint64_t agent = 2; agent <= kAgents; ++agent) {
      entry.forwarder.agents().Find(Identity(agent).uid)->load.state =
          InstanceState::kDraining;
    }
    for (size_t i = 0; i < 100; ++i) {
      entry.Client(FlowNumber(i).Opening(), kStart);
      CPPUNIT_ASSERT(entry.actions.to_agents.at(0).agent == EndpointOf(1));
    }
  }

  // Search storm: the set of routers changes, and every entry gets flows that
  // it has not cached. Guards against a datagram to each of 163 agents for each
  // of their packets, and as many answers.
  void SearchQueriesTheCandidatesFirst() {
    EntryWithAgents entry(0, 1, kAgents);
    for (size_t i = 0; i < 100; ++i) {
      entry.Client(FlowNumber(i).Request(), kStart);
      CPPUNIT_ASSERT_EQUAL(2 * kSearchedPerSide,
                           entry.actions.to_agents.size());
    }
  }

  // The entry that placed a flow knew agents that this one does not know, or
  // the other way round; a release replaces 27. Guards against a search of all
  // agents in this case.
  void FlowIsFoundAmongTheCandidatesOfAnotherView() {
    constexpr size_t kFlows = 1000;
    constexpr uint64_t kReplaced = 27;
    EntryWithAgents before(0, 1, kAgents);
    EntryWithAgents after(0, 1 + kReplaced, kAgents + kReplaced);
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
      found += QueriedIn(after.actions).count(agent.address);
    }
    CPPUNIT_ASSERT(kept > kFlows / 2);
    CPPUNIT_ASSERT(100 * found >= 99 * kept);
  }

  // Guards against a flow that is reset or lost because the agent that holds it
  // is not one of its candidates.
  void SearchContinuesWithAllAgents() {
    EntryWithAgents entry(0, 1, kAgents);
    const FlowPackets flow;
    const absl::Time now =
        kStart + entry.forwarder.agents().ExpiryTimeout(kService);
    for (uint64_t agent = 1; agent <= kAgents; ++agent)
      entry.forwarder.agents().Find(Identity(agent).uid)->last_seen = now;
    entry.Client(flow.Request(), now);
    const std::set<uint32_t> first = QueriedIn(entry.actions);
    entry.actions.Clear();
    for (const uint32_t address : first)
      entry.NotHeld(flow, {address, EndpointOf(0).port}, now);
    const std::set<uint32_t> all = QueriedIn(entry.actions);
    CPPUNIT_ASSERT_EQUAL(size_t{kAgents}, all.size());
    CPPUNIT_ASSERT(entry.actions.resets.empty());
    // The flow is reset only after all agents have answered.
    entry.actions.Clear();
    for (const uint32_t address : all) {
      CPPUNIT_ASSERT(entry.actions.resets.empty());
      if (first.count(address) == 0)
        entry.NotHeld(flow, {address, EndpointOf(0).port}, now);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, entry.actions.resets.size());
  }

  void SearchDoesNotWaitForAnUnresponsiveCandidate() {
    EntryWithAgents entry(0, 1, kAgents);
    const FlowPackets flow;
    entry.Client(flow.Request(), kStart);
    // The client's next retransmission.
    entry.Client(flow.Request(), kStart + absl::Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{kAgents}, entry.actions.to_agents.size());
  }

  // Guards against control traffic that uses up the processor time of small
  // entries. At 15 us per datagram, a hundred sent and 200 received per second
  // are a tenth of 0.038 cores.
  void ReportsDoNotGrowWithTheSquareOfTheFleet() {
    const double sent =
        (kEntries + 204) /
        absl::ToDoubleSeconds(EntryReportInterval(kEntries + 204));
    CPPUNIT_ASSERT(sent <= 100.001);
    const double received =
        204 / absl::ToDoubleSeconds(AgentReportInterval(kEntries)) +
        kEntries / absl::ToDoubleSeconds(EntryReportInterval(kEntries + 204));
    CPPUNIT_ASSERT(received <= 200);
    // Nodes of small fleets detect each other at the shorter intervals.
    CPPUNIT_ASSERT(EntryReportInterval(20) == absl::Milliseconds(500));
    CPPUNIT_ASSERT(AgentReportInterval(15) == absl::Milliseconds(120));
  }

  // One entry has a new configuration first. Guards against a change that waits
  // for the periodic reports in a large fleet, and against a datagram from each
  // entry to each node.
  void ChangeReachesAllEntriesInAFewSteps() {
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
    std::set<uint32_t> informed = {0};
    std::vector<uint32_t> newly = {0};
    size_t datagrams = 0;
    constexpr int kSteps = 5;
    for (int step = 0; step < kSteps; ++step) {
      std::vector<uint32_t> next;
      for (const uint32_t i : newly) {
        const std::vector<uint32_t> receivers =
            entries[i].SelectForChange(kStart);
        datagrams += receivers.size();
        for (const uint32_t address : receivers) {
          if (informed.insert(address - kFirst).second)
            next.push_back(address - kFirst);
        }
      }
      newly = next;
    }
    CPPUNIT_ASSERT(informed.size() >= kEntries - 1);
    CPPUNIT_ASSERT(datagrams <= 10 * kEntries);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeFleetTest);

}  // namespace
}  // namespace skylarkshunt
