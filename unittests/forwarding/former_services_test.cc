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
const ServiceUid kLast = MakeServiceUid("archive");
constexpr uint32_t kDataCentre = 1;
/// Later than any settle time of a small fleet.
constexpr absl::Duration kSettled = absl::Seconds(20);

std::shared_ptr<const RouteTable> RouteTo(uint64_t version,
                                          std::vector<RouteShare> shares) {
  auto table = std::make_shared<RouteTable>();
  table->version = version;
  if (!shares.empty())
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

ServiceUid ServiceOf(uint64_t uid) {
  return uid <= 2 ? kOld : uid <= 4 ? kNew : kLast;
}

/// An entry with agents 1 and 2 of the old service and 3 and 4 of the new one.
class FormerServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FormerServicesTest);
  CPPUNIT_TEST(FlowIsFoundAtAServiceThatItsRouteNoLongerNames);
  CPPUNIT_TEST(EndOfASplitLeavesItsFlowsOpen);
  CPPUNIT_TEST(StartedEntryFindsAFlowOfAServiceThatItNeverKnew);
  CPPUNIT_TEST(StartedEntryProbesTargetsOfTheRoute);
  CPPUNIT_TEST(StartedEntryResetsAFlowThatEveryAgentDenies);
  CPPUNIT_TEST(FormerServiceIsForgottenAfterTheLifetimeOfAFlow);
  CPPUNIT_TEST(TooManyChangesMakeTheFormerServicesUnknown);
  CPPUNIT_TEST(FlowOfARemovedRouteIsFoundWhenTheRouteIsBack);
  CPPUNIT_TEST(FlowOfAnEndedShareIsFound);
  CPPUNIT_TEST(FlowIsFoundAfterTwoChanges);
  CPPUNIT_TEST(ServiceOfASkippedVersionIsQueried);
  CPPUNIT_TEST(FlowOfANewerVersionIsFound);
  CPPUNIT_TEST(UnclearAgentOfAnotherServiceDelaysTheResetOnly);
  CPPUNIT_TEST(EntriesThatStopInTurnLeaveTheFlowOpen);
  CPPUNIT_TEST(RestartedAgentOfAFormerServiceIsAwaited);
  CPPUNIT_TEST(FullTableLeavesFlowsOpen);
  CPPUNIT_TEST(EntryThatHasOnlyTheRemovalSparesNewFlows);
  CPPUNIT_TEST(CopyAtAnEntryThatHasOnlyTheRemovalIsNotRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { StartEntry(kStart - kSettled); }

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
    Place(1);
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
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1, 2, 3, 4}));
    // No target gets the packet of a flow that any agent may know.
    if (link_rate() == 0)
      CPPUNIT_ASSERT(only_known_ == std::vector<uint64_t>({1, 2, 3, 4}));
    else
      CPPUNIT_ASSERT(!IsUnclear(3));
    Deny({3, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    Deny({2});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    Place(1);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1}));
  }

  // The agents of the new service were restarted beside their targets. Guards
  // against flows that are never found because none of them gets a packet.
  void StartedEntryProbesTargetsOfTheRoute() {
    SetRoute(2, {{kNew, 1}});
    Pass(kSettled);
    Search();
    CPPUNIT_ASSERT(!IsUnclear(3));
    Deny({1, 2});
    Pass(absl::Milliseconds(200));
    Search();
    CPPUNIT_ASSERT(link_rate() > 0 || only_known_.empty());
    CPPUNIT_ASSERT(IsUnclear(3));
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
    // The other agents are only asked for what they know, before the reset.
    Deny({3, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    CPPUNIT_ASSERT(only_known_ == std::vector<uint64_t>({1, 2}));
    Deny({1, 2});
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

  // Guards against the reset of a flow that outlived the removal of its route.
  void FlowOfARemovedRouteIsFoundWhenTheRouteIsBack() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(2, {});
    Pass(absl::Seconds(1));
    SetRoute(3, {{kNew, 1}});
    Pass(absl::Seconds(1));
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1, 2, 3, 4}));
    Deny({2, 3, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    Deny({1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, resets_);
  }

  // Guards against the reset of flows of a canary that ends, whether its share
  // is 0 or left out, and begins again.
  void FlowOfAnEndedShareIsFound() {
    SetRoute(1, {{kOld, 10}, {kNew, 90}});
    Pass(FormerServices::kFlowLifetime);
    const std::vector<std::vector<RouteShare>> versions = {
        {{kOld, 0}, {kNew, 1}},
        {{kNew, 1}},
        {{kOld, 10}, {kNew, 90}},
        {{kNew, 1}}};
    for (const std::vector<RouteShare>& shares : versions) {
      SetRoute(entry_->routes()->version + 1, shares);
      Pass(absl::Seconds(4));
      CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1, 2, 3, 4}));
      Deny({2, 3, 4});
      CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    }
  }

  // Guards against the reset of flows of the first of three services.
  void FlowIsFoundAfterTwoChanges() {
    agents_ = 5;
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(2, {{kNew, 1}});
    Pass(absl::Seconds(5));
    SetRoute(3, {{kLast, 1}});
    Pass(absl::Seconds(5));
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1, 2, 3, 4, 5}));
    Deny({2, 3, 4, 5});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
  }

  // Two changes follow so closely that the entry gets the last one only. Guards
  // against the reset of a flow that another entry opened between them.
  void ServiceOfASkippedVersionIsQueried() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(3, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime - absl::Seconds(1));
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1, 2, 3, 4}));
    Deny({1, 2, 4});
    // Agent 3 was restarted beside its target and cannot tell.
    for (int i = 0; i < 2; ++i) {
      Pass(absl::Milliseconds(400));
      Search();
      Deny({1, 2, 4});
      CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    }
  }

  // The entry that opened the flow had a version that this one does not have
  // yet, and is stopped. Guards against a reset because the agents of the older
  // version deny the flow.
  void FlowOfANewerVersionIsFound() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1, 2}));
    Deny({1, 2});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    CPPUNIT_ASSERT(only_known_ == std::vector<uint64_t>({3, 4}));
    Deny({4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    Place(3);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{3}));
  }

  // Guards against clients that wait in vain because an agent of a service that
  // their route never named was restarted beside its target.
  void UnclearAgentOfAnotherServiceDelaysTheResetOnly() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    Search();
    Deny({1, 2, 4});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    Pass(absl::Milliseconds(200));
    Search();
    Deny({1, 2});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, resets_);
  }

  // Guards against a reset by the third entry that a flow passes through. The
  // first one has stopped, the second one has had both versions, and the third
  // one starts when the second one stops.
  void EntriesThatStopInTurnLeaveTheFlowOpen() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(2, {{kNew, 1}});
    Pass(absl::Seconds(2));
    Search();
    Deny({2, 3, 4});
    Place(1);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1}));
    StartEntry(now_);
    SetRoute(2, {{kNew, 1}});
    for (int i = 0; i < 60; ++i) {
      Pass(absl::Seconds(1));
      Search();
      Deny({2, 3, 4});
      entry_->ExpireIdle(now_);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    Place(1);
    CPPUNIT_ASSERT((Search() == std::vector<uint64_t>{1}));
  }

  // Guards against a reset while the agent that holds the flow was restarted
  // beside its target, and against packets that never reach that target.
  void RestartedAgentOfAFormerServiceIsAwaited() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(2, {{kNew, 1}});
    incarnation_of_first_ = 2;
    Pass(absl::Seconds(1));
    bool got_packet = false;
    for (int i = 0; i < 5; ++i) {
      Pass(absl::Milliseconds(500));
      Search();
      Deny({2, 3, 4});
      got_packet = got_packet || IsUnclear(1);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    CPPUNIT_ASSERT(got_packet);
  }

  // More routes change than the table has room for. Guards against the reset of
  // the flows of a route whose former service is not recorded.
  void FullTableLeavesFlowsOpen() {
    agents_ = 5;
    auto first = std::make_shared<RouteTable>(*RouteTo(1, {{kLast, 1}}));
    auto second = std::make_shared<RouteTable>(*RouteTo(2, {{kNew, 1}}));
    for (uint32_t i = 0; i < FormerServices::kMaxServices; ++i) {
      first->routes[{i, 443}].shares = {{kLast, 1}};
      second->routes[{i, 443}].shares = {{kNew, 1}};
    }
    entry_->SetRoutes(first, now_);
    Pass(FormerServices::kFlowLifetime);
    entry_->SetRoutes(second, now_);
    SetRoute(3, {{kOld, 1}});
    SetRoute(4, {{kLast, 1}});
    Pass(absl::Seconds(5));
    Search();
    Deny({5, 3, 4, 2});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    CPPUNIT_ASSERT((queried_ == std::vector<uint64_t>{1, 2, 3, 4, 5}));
  }

  // Another entry has the version with which the route is back, and opened the
  // flow. Guards against its reset by an entry that has only the removal, and
  // against clients of the removed route that wait for ever.
  void EntryThatHasOnlyTheRemovalSparesNewFlows() {
    SetRoute(1, {{kOld, 1}});
    Pass(FormerServices::kFlowLifetime);
    SetRoute(2, {});
    Search();
    Pass(absl::Seconds(2));
    Search();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    // A newer version would have come by now.
    Pass(absl::Seconds(6));
    Search();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, resets_);
  }

  // The first copy of an opening packet went through an entry with the version
  // in which the route is back. Guards against a reset because of the second
  // one.
  void CopyAtAnEntryThatHasOnlyTheRemovalIsNotRefused() {
    SetRoute(1, {{kOld, 1}});
    SetRoute(2, {});
    Pass(absl::Seconds(1));
    Client(flow_.Opening(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, resets_);
    // Nobody else can have got the first copy of another flow.
    Client(FlowPackets(2000).Opening());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, resets_);
  }

 protected:
  /// Rate of the entry's link, in bytes per second; 0 if unknown.
  virtual uint64_t link_rate() const { return 0; }

 private:
  static Endpoint EndpointOf(uint64_t uid) {
    return {static_cast<uint32_t>(uid), 7720};
  }

  void StartEntry(absl::Time started) {
    entry_ = std::make_unique<EntryForwarder>(kDataCentre, started);
    entry_->SetLinkRate(link_rate());
  }

  void SetRoute(uint64_t version, std::vector<RouteShare> shares) {
    entry_->SetRoutes(RouteTo(version, std::move(shares)), now_);
  }

  /// Lets time pass, in which all agents report.
  void Pass(absl::Duration time) {
    for (uint64_t uid = 1; uid <= agents_; ++uid)
      Report(uid);
    now_ += time;
    for (uint64_t uid = 1; uid <= agents_; ++uid)
      Report(uid);
    actions_.Clear();
    entry_->Tick(now_, actions_);
    RecordActions();
    if (time >= absl::Seconds(1))
      entry_->ExpireIdle(now_);
  }

  AgentIdentity Identity(uint64_t uid) const {
    AgentIdentity agent = IdentityOf(uid, ServiceOf(uid));
    if (uid == 1)
      agent.incarnation = Incarnation{incarnation_of_first_};
    return agent;
  }

  void Report(uint64_t uid) {
    AgentReport report;
    report.agent = Identity(uid);
    report.sequence = ++sequence_;
    report.load.slots = 4;
    report.load.state = InstanceState::kServing;
    report.interval_ms = 100;
    entry_->agents().UpdateFromReport(report, EndpointOf(uid), now_);
  }

  /// Handles a packet of the flow. Returns the agents that got it, or a query.
  std::vector<uint64_t> Search() {
    Client(flow_.Request());
    return queried_;
  }

  void Client(const PacketHeader& header) {
    actions_.Clear();
    queried_.clear();
    only_known_.clear();
    entry_->OnClientPacket(header, kPacketBytes, now_, actions_);
    RecordActions();
  }

  /// The agents answer that they do not hold the flow.
  void Deny(const std::vector<uint64_t>& agents) {
    for (const uint64_t uid : agents) {
      actions_.Clear();
      if (link_rate() > 0) {
        Answer(uid, QueryAnswer::Outcome::kNotHeld);
      } else {
        ReturnedPacket returned;
        returned.agent = Identity(uid);
        returned.load.state = InstanceState::kServing;
        returned.reason = ReturnReason::kNotHeld;
        returned.mode = ForwardMode::kSearch;
        returned.packet = kPacketBytes;
        entry_->OnReturned(returned, flow_.Request(), EndpointOf(uid), now_,
                           actions_);
      }
      RecordActions(true);
    }
  }

  /// Whether the agent, which cannot tell, passes a packet to its target.
  bool IsUnclear(uint64_t uid) {
    if (link_rate() == 0)
      return only_known_.empty();
    actions_.Clear();
    Answer(uid, QueryAnswer::Outcome::kUnclear);
    return actions_.to_agents.size() == 1 &&
           !actions_.to_agents[0].message.known_only;
  }

  void Answer(uint64_t uid, QueryAnswer::Outcome outcome) {
    QueryAnswer answer;
    answer.agent = Identity(uid);
    answer.load.state = InstanceState::kServing;
    answer.flow = flow_.flow();
    answer.outcome = outcome;
    entry_->OnQueryAnswer(answer, EndpointOf(uid), now_, actions_);
  }

  void Place(uint64_t uid) {
    actions_.Clear();
    entry_->OnPlaced({Identity(uid), {}, flow_.flow()}, EndpointOf(uid), now_,
                     actions_);
  }

  void RecordActions(bool widened = false) {
    resets_ += actions_.resets.size();
    for (const EntryActions::ToAgent& action : actions_.to_agents) {
      queried_.push_back(action.agent.address);
      if (action.message.known_only)
        only_known_.push_back(action.agent.address);
    }
    // Each agent is queried once; those of other services after the others.
    for (const EntryActions::QueryToAgent& action : actions_.queries) {
      queried_.push_back(action.agent.address);
      if (widened)
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
  uint64_t agents_ = 4;
  /// Incarnation of agent 1.
  uint64_t incarnation_of_first_ = 1;
  std::unique_ptr<EntryForwarder> entry_;
  EntryActions actions_;
  std::vector<uint64_t> queried_;
  std::vector<uint64_t> only_known_;
  size_t resets_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerServicesTest);

/// The same on a slow link, where entries search by queries.
class FormerServicesOnSlowLinksTest : public FormerServicesTest {
  CPPUNIT_TEST_SUB_SUITE(FormerServicesOnSlowLinksTest, FormerServicesTest);
  CPPUNIT_TEST_SUITE_END();

 protected:
  uint64_t link_rate() const override { return 1'250'000; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerServicesOnSlowLinksTest);

}  // namespace
}  // namespace skylarkshunt
