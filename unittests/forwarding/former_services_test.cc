#include "skylarkshunt/forwarding/former_services.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "packets.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"

namespace skylarkshunt {
namespace {

const ServiceUid kOld = MakeServiceUid("dispatch");
const ServiceUid kNew = MakeServiceUid("schemata");
constexpr uint32_t kDataCentre = 1;
/// Later than any settle time of a small fleet.
constexpr absl::Duration kSettled = absl::Seconds(20);

std::shared_ptr<const RouteTable> RouteTo(uint64_t version,
                                          std::vector<RouteShare> shares) {
  auto table = std::make_shared<RouteTable>();
  table->version = version;
  table->routes[FlowPackets().flow().service].shares = std::move(shares);
  return table;
}

AgentIdentity IdentityOf(uint64_t uid, ServiceUid service) {
  AgentIdentity agent;
  agent.uid = InstanceUid{uid};
  agent.incarnation = Incarnation{1};
  agent.service = service;
  agent.data_centre = kDataCentre;
  return agent;
}

/// An entry with agents 1 and 2 of the old service and 3 and 4 of the new one.
class FormerServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FormerServicesTest);
  CPPUNIT_TEST(FlowIsFoundAtAServiceThatItsRouteNoLongerNames);
  CPPUNIT_TEST(EndOfASplitLeavesItsFlowsOpen);
  CPPUNIT_TEST(StartedEntryFindsAFlowOfAServiceThatItNeverKnew);
  CPPUNIT_TEST(StartedEntryResetsAFlowThatEveryAgentDenies);
  CPPUNIT_TEST(FormerServiceIsForgottenAfterTheLifetimeOfAFlow);
  CPPUNIT_TEST(TooManyChangesMakeTheFormerServicesUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against the reset of an open flow by an entry without it in its
  // cache, after its route has moved to another service (review case 2).
  void FlowIsFoundAtAServiceThatItsRouteNoLongerNames() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(2, {{kNew, 1}});
    Pass(absl::Seconds(5));
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1, 2, 3, 4}));
    Deny({2, 3, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    entry_.OnPlaced({IdentityOf(1, kOld), {}, flow_.flow()}, EndpointOf(1),
                    now_, actions_);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1}));
  }

  void EndOfASplitLeavesItsFlowsOpen() {
    SetRoute(1, {{kOld, 90}, {kNew, 10}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(2, {{kNew, 1}});
    Search();
    Deny({2, 3, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    Deny({1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, resets_);
  }

  // Guards against the same reset by an entry that started after the change and
  // has only the present configuration.
  void StartedEntryFindsAFlowOfAServiceThatItNeverKnew() {
    SetRoute(2, {{kNew, 1}});
    Pass(kSettled);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{3, 4}));
    Deny({3, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    CPPUNIT_ASSERT((queried_ == std::vector<uint64_t>{1, 2, 3, 4}));
    // Targets of other services must not get the packet of an unknown flow.
    CPPUNIT_ASSERT(only_known_ == std::vector<uint64_t>({1, 2}));
    Deny({2});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    entry_.OnPlaced({IdentityOf(1, kOld), {}, flow_.flow()}, EndpointOf(1),
                    now_, actions_);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1}));
  }

  void StartedEntryResetsAFlowThatEveryAgentDenies() {
    SetRoute(2, {{kNew, 1}});
    Pass(kSettled);
    Search();
    Deny({3, 4, 1, 2});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, resets_);
  }

  // Guards against searches that query more and more agents with each change.
  void FormerServiceIsForgottenAfterTheLifetimeOfAFlow() {
    SetRoute(1, {{kOld, 1}});
    SetRoute(2, {{kNew, 1}});
    Pass(FormerServices::kFlowLifetime);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{3, 4}));
    Deny({3, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, resets_);
  }

  // Guards against a full table that is taken for a complete one.
  void TooManyChangesMakeTheFormerServicesUnknown() {
    RouteTable first;
    RouteTable second;
    for (uint32_t i = 0; i <= FormerServices::kMaxServices; ++i) {
      const Endpoint address{i, 443};
      first.routes[address].shares = {{kOld, 1}};
      second.routes[address].shares = {{kNew, 1}};
    }
    FormerServices services;
    services.Record(nullptr, first, kStart);
    const absl::Time changed = kStart + FormerServices::kFlowLifetime;
    CPPUNIT_ASSERT(services.IsComplete(changed));
    services.Record(&first, second, changed);
    CPPUNIT_ASSERT(!services.IsComplete(changed));
    const absl::Time later = changed + FormerServices::kFlowLifetime;
    services.Expire(later);
    CPPUNIT_ASSERT(services.IsComplete(later));
  }

 private:
  static Endpoint EndpointOf(uint64_t uid) {
    return {static_cast<uint32_t>(uid), 7720};
  }

  void SetRoute(uint64_t version, std::vector<RouteShare> shares) {
    entry_.SetRoutes(RouteTo(version, std::move(shares)), now_);
  }

  /// Lets time pass, in which all agents report.
  void Pass(absl::Duration time) {
    for (uint64_t uid = 1; uid <= 4; ++uid)
      Report(uid);
    now_ += time;
    for (uint64_t uid = 1; uid <= 4; ++uid)
      Report(uid);
  }

  void Report(uint64_t uid) {
    AgentReport report;
    report.agent = IdentityOf(uid, uid <= 2 ? kOld : kNew);
    report.sequence = ++sequence_;
    report.load.slots = 4;
    report.load.state = InstanceState::kServing;
    report.interval_ms = 100;
    entry_.agents().UpdateFromReport(report, EndpointOf(uid), now_);
  }

  /// Handles a packet of the flow. Returns the agents that got it.
  std::vector<uint64_t> Search() {
    actions_.Clear();
    queried_.clear();
    entry_.OnClientPacket(flow_.Request(), kPacketBytes, now_, actions_);
    RecordActions();
    return queried_;
  }

  /// The agents answer that they do not hold the flow.
  void Deny(const std::vector<uint64_t>& agents) {
    for (const uint64_t uid : agents) {
      ReturnedPacket returned;
      returned.agent = IdentityOf(uid, uid <= 2 ? kOld : kNew);
      returned.load.state = InstanceState::kServing;
      returned.reason = ReturnReason::kNotHeld;
      returned.mode = ForwardMode::kSearch;
      returned.packet = kPacketBytes;
      actions_.Clear();
      entry_.OnReturned(returned, flow_.Request(), EndpointOf(uid), now_,
                        actions_);
      RecordActions();
    }
  }

  void RecordActions() {
    resets_ += actions_.resets.size();
    if (!actions_.to_agents.empty()) {
      queried_.clear();
      only_known_.clear();
    }
    for (const EntryActions::ToAgent& action : actions_.to_agents) {
      queried_.push_back(action.agent.address);
      if (action.message.known_only)
        only_known_.push_back(action.agent.address);
    }
    // A packet goes to some agents again when its search is widened.
    for (std::vector<uint64_t>* agents : {&queried_, &only_known_}) {
      std::sort(agents->begin(), agents->end());
      agents->erase(std::unique(agents->begin(), agents->end()), agents->end());
    }
  }

  const FlowPackets flow_;
  absl::Time now_ = kStart;
  uint64_t sequence_ = 0;
  EntryForwarder entry_{kDataCentre, kStart - kSettled};
  EntryActions actions_;
  std::vector<uint64_t> queried_;
  std::vector<uint64_t> only_known_;
  size_t resets_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerServicesTest);

}  // namespace
}  // namespace skylarkshunt
