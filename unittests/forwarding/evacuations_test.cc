#include "skylarkshunt/forwarding/evacuations.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "packets.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/forwarding/entry_forwarder.h"
#include "skylarkshunt/forwarding/node_codec.h"

namespace skylarkshunt {
namespace {

const ServiceUid kService = MakeServiceUid("dispatch");
constexpr uint32_t kNorth = 11;
constexpr uint32_t kSouth = 22;
constexpr uint32_t kWest = 33;

uint32_t HashOf(absl::string_view name) {
  return static_cast<uint32_t>(StableHash(name, 0));
}

ConfigRecord Object(absl::string_view name, bool deleted = false) {
  ConfigRecord record;
  record.key = absl::StrCat("evacuations/", name);
  record.revision = Revision{7};
  record.deleted = deleted;
  return record;
}

EvacuationSet Set(uint64_t revision, std::vector<uint32_t> data_centres) {
  return {Revision{revision}, std::move(data_centres)};
}

class EvacuationObjectsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationObjectsTest);
  CPPUNIT_TEST(ObjectsWithUnexpectedNamesLeaveTheOthersInUse);
  CPPUNIT_TEST(ObjectsBeyondTheLimitAreListedOnceThereIsRoom);
  CPPUNIT_TEST(ObjectsThatARestoredStoreLacksCountUntilTheyAreDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an evacuation that is missed because another writer left
  // objects that name no data centre.
  void ObjectsWithUnexpectedNamesLeaveTheOthersInUse() {
    const EvacuationObjects::Ignored ignored = objects_.Replace(
        {Object(""), Object("a/b"), Object("z\xff"),
         Object(std::string(1'000'000, 'x')), Object("zone-a")});
    CPPUNIT_ASSERT_EQUAL(size_t{4}, ignored.count);
    CPPUNIT_ASSERT(objects_.DataCentres() ==
                   std::vector<uint32_t>{HashOf("zone-a")});
    // One batch may create and remove an object.
    objects_.Apply({Object("zone-b"), Object("zone-a", true),
                    Object("zone-b", true), Object("zone-c")});
    CPPUNIT_ASSERT(objects_.DataCentres() ==
                   std::vector<uint32_t>{HashOf("zone-c")});
  }

  // Guards against memory that grows with the objects of another writer, and
  // against objects that stay without effect after the others are gone.
  void ObjectsBeyondTheLimitAreListedOnceThereIsRoom() {
    std::vector<ConfigRecord> many;
    for (size_t i = 0; i < 2 * EvacuationObjects::kMaxObjects; ++i)
      many.push_back(Object(absl::StrCat("x", i)));
    CPPUNIT_ASSERT_EQUAL(EvacuationObjects::kMaxObjects,
                         objects_.Replace(many).count);
    CPPUNIT_ASSERT(!objects_.needs_list());
    objects_.Apply({Object("x0", true)});
    CPPUNIT_ASSERT(objects_.needs_list());
  }

  // Guards against flows to a data centre whose evacuation was confirmed, until
  // the operator has written it again, and against an evacuation without end.
  void ObjectsThatARestoredStoreLacksCountUntilTheyAreDropped() {
    objects_.Replace({Object("zone-a"), Object("zone-b"), Object("zone-c")});
    // An evacuation that had ended is there again.
    objects_.ReplaceRestored({Object("zone-a"), Object("zone-d")});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, objects_.lost());
    CPPUNIT_ASSERT_EQUAL(size_t{4}, objects_.DataCentres().size());
    // Written again, and taken back again.
    objects_.Apply({Object("zone-b"), Object("zone-d", true)});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, objects_.lost());
    // A second restore, and another list, during that time.
    objects_.ReplaceRestored({Object("zone-a")});
    objects_.Replace({Object("zone-a")});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, objects_.lost());
    objects_.Apply({Object("zone-b", true)});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, objects_.DataCentres().size());
    objects_.DropLost();
    CPPUNIT_ASSERT(objects_.DataCentres() ==
                   std::vector<uint32_t>{HashOf("zone-a")});
  }

 private:
  EvacuationObjects objects_{"evacuations/"};
};

class EvacuationStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationStateTest);
  CPPUNIT_TEST(SetOfAPeerIsUsedWhileTheStoreFailsIfItIsNewer);
  CPPUNIT_TEST(SetOfAPeerIsNotUsedWhileTheStoreAnswers);
  CPPUNIT_TEST(EntryThatStartsUsesTheSetOfAPeer);
  CPPUNIT_TEST(SetOfAPeerAfterARestoreDoesNotEndAnEvacuation);
  CPPUNIT_TEST(ReportsAreBounded);
  CPPUNIT_TEST(MessageIsBoundedAndSurvivesARoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SetOfAPeerIsUsedWhileTheStoreFailsIfItIsNewer() {
    state_.OnStoreAnswered(Set(10, {kNorth}));
    CPPUNIT_ASSERT(!state_.OnStoreFailed());
    CPPUNIT_ASSERT(!state_.OnPeerSet(Set(9, {})));
    CPPUNIT_ASSERT(!state_.OnPeerSet(Set(10, {})));
    CPPUNIT_ASSERT(Evacuated() == std::vector<uint32_t>{kNorth});
    CPPUNIT_ASSERT(state_.OnPeerSet(Set(11, {kSouth, kNorth})));
    CPPUNIT_ASSERT((Evacuated() == std::vector<uint32_t>{kNorth, kSouth}));
    // The store counts again once it answers, even with an older revision.
    CPPUNIT_ASSERT(state_.OnStoreAnswered(Set(8, {})));
    CPPUNIT_ASSERT(Evacuated().empty());
  }

  // Guards against a peer that overrides what the entry reads itself, and
  // against a report that is lost because the entry learns only later that its
  // watch got no answer.
  void SetOfAPeerIsNotUsedWhileTheStoreAnswers() {
    state_.OnStoreAnswered(Set(10, {}));
    CPPUNIT_ASSERT(!state_.OnPeerSet(Set(12, {kNorth})));
    CPPUNIT_ASSERT(!state_.OnPeerSet(Set(11, {kSouth})));
    CPPUNIT_ASSERT(Evacuated().empty());
    CPPUNIT_ASSERT(state_.OnStoreFailed());
    CPPUNIT_ASSERT(Evacuated() == std::vector<uint32_t>{kNorth});
    // A set from before a successful read is not used after it.
    state_.OnStoreAnswered(Set(13, {}));
    state_.OnPeerSet(Set(14, {kNorth}));
    state_.OnStoreAnswered(Set(13, {}));
    CPPUNIT_ASSERT(!state_.OnStoreFailed());
  }

  void EntryThatStartsUsesTheSetOfAPeer() {
    CPPUNIT_ASSERT(!state_.OnPeerSet(Set(0, {})));
    CPPUNIT_ASSERT(!state_.is_known());
    CPPUNIT_ASSERT(state_.OnPeerSet(Set(3, {})));
    CPPUNIT_ASSERT(state_.is_known());
  }

  // Guards against flows to an evacuated data centre because a peer started
  // after the restore and read a store that lacks the evacuation.
  void SetOfAPeerAfterARestoreDoesNotEndAnEvacuation() {
    const auto in_epoch = [](uint16_t epoch, uint64_t count,
                             std::vector<uint32_t> data_centres) {
      return EvacuationSet{MakeRevision(Epoch{epoch}, count),
                           std::move(data_centres)};
    };
    state_.OnStoreAnswered(in_epoch(1, 20, {kNorth}));
    state_.OnStoreFailed();
    // The count is lower than the one of before.
    CPPUNIT_ASSERT(state_.OnPeerSet(in_epoch(2, 18, {kSouth})));
    CPPUNIT_ASSERT((Evacuated() == std::vector<uint32_t>{kNorth, kSouth}));
    CPPUNIT_ASSERT(!state_.OnPeerSet(in_epoch(1, 21, {})));
    CPPUNIT_ASSERT(state_.OnPeerSet(in_epoch(2, 19, {kSouth})));
    CPPUNIT_ASSERT(Evacuated() == std::vector<uint32_t>{kSouth});
  }

  // Guards against reports that leave out the data centres that matter, and
  // against an entry that never gets one in a large fleet.
  void ReportsAreBounded() {
    std::vector<uint32_t> many;
    for (uint32_t i = 0; i < 2 * kMaxReportedEvacuations; ++i)
      many.push_back(i);
    state_.OnStoreAnswered(Set(10, many));
    const std::vector<uint32_t> reported =
        state_.MakeReport({many.back()}).set.data_centres;
    CPPUNIT_ASSERT_EQUAL(kMaxReportedEvacuations, reported.size());
    CPPUNIT_ASSERT(std::count(reported.begin(), reported.end(), many.back()));
    std::vector<uint32_t> receivers;
    for (int round = 0; round < 3; ++round) {
      const std::vector<uint32_t> some =
          state_.NextReceivers({many.begin(), many.begin() + 60});
      CPPUNIT_ASSERT(some.size() <= EvacuationState::kMaxReceivers);
      receivers.insert(receivers.end(), some.begin(), some.end());
    }
    for (uint32_t address = 0; address < 60; ++address) {
      CPPUNIT_ASSERT(std::count(receivers.begin(), receivers.end(), address) >=
                     1);
    }
  }

  void MessageIsBoundedAndSurvivesARoundTrip() {
    EvacuationReport report;
    report.set = Set(9, std::vector<uint32_t>(2 * kMaxReportedEvacuations, 5));
    report.wants_reply = true;
    std::vector<uint8_t> bytes;
    EncodeNodeMessage(report, bytes);
    CPPUNIT_ASSERT(bytes.size() <= 1200);
    const NodeMessage message = DecodeNodeMessage(bytes).value();
    const auto& read = std::get<EvacuationReport>(message);
    CPPUNIT_ASSERT(read.wants_reply && read.set.revision == Revision{9});
    CPPUNIT_ASSERT(read.set.data_centres ==
                   std::vector<uint32_t>(kMaxReportedEvacuations, 5));
    bytes.pop_back();
    CPPUNIT_ASSERT(!DecodeNodeMessage(bytes).has_value());
  }

 private:
  const std::vector<uint32_t>& Evacuated() const {
    return state_.in_force().data_centres;
  }

  EvacuationState state_;
};

class EvacuatedPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuatedPlacementTest);
  CPPUNIT_TEST(NewFlowsAvoidTheDataCentreUntilItIsTakenBack);
  CPPUNIT_TEST(AgentsBeyondTheCandidatesAreUsed);
  CPPUNIT_TEST(FlowIsRefusedAtOnceWhenAllAreEvacuated);
  CPPUNIT_TEST(RefusalWaitsWhileAnotherEntryMayHaveOpenedTheFlow);
  CPPUNIT_TEST(FlowsOfTheDataCentreStay);
  CPPUNIT_TEST(NewFlowOfTheSamePortsMoves);
  CPPUNIT_TEST(ReturnedAndUnansweredOpeningsAvoidTheDataCentre);
  CPPUNIT_TEST(OpeningsWaitUntilTheSetIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    auto table = std::make_shared<RouteTable>();
    table->version = 1;
    Route route;
    route.shares = {{kService, 1}};
    table->routes[FlowPackets().flow().service] = route;
    entry_.SetRoutes(table, kStart);
    // Placement prefers the local data centre, kNorth.
    Report(1, kNorth);
    Report(2, kNorth);
    Report(3, kSouth);
    Report(4, kWest);
  }

  // Also guards against a name without agents that has an effect.
  void NewFlowsAvoidTheDataCentreUntilItIsTakenBack() {
    entry_.SetEvacuated({5, kNorth, 77});
    for (uint16_t port = 1; port <= 50; ++port)
      CPPUNIT_ASSERT(PlacedIn(FlowPackets(port).Opening()) != kNorth);
    entry_.SetEvacuated({});
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(FlowPackets(99).Opening()));
  }

  // Guards against refusals because all candidates of a flow are in the
  // evacuated data centre.
  void AgentsBeyondTheCandidatesAreUsed() {
    for (uint64_t uid = 10; uid < 60; ++uid)
      Report(uid, kWest);
    entry_.SetEvacuated({kNorth, kWest});
    for (uint16_t port = 1; port <= 50; ++port)
      CPPUNIT_ASSERT_EQUAL(kSouth, PlacedIn(FlowPackets(port).Opening()));
  }

  void FlowIsRefusedAtOnceWhenAllAreEvacuated() {
    entry_.SetEvacuated({kNorth, kSouth, kWest});
    Client(FlowPackets().Opening());
    CPPUNIT_ASSERT(actions_.to_agents.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.resets.size());
    CPPUNIT_ASSERT(actions_.decisions.at(0).reason == "evacuated");
  }

  // Guards against a refusal that is not true: the first copy went through
  // another entry, perhaps before the evacuation.
  void RefusalWaitsWhileAnotherEntryMayHaveOpenedTheFlow() {
    entry_.SetEvacuated({kNorth, kSouth, kWest});
    Client(FlowPackets().Opening(1));
    CPPUNIT_ASSERT(actions_.resets.empty());
    CPPUNIT_ASSERT(actions_.to_agents.empty());
  }

  // A retransmission may be a copy of a packet that the agent has accepted.
  void FlowsOfTheDataCentreStay() {
    const FlowPackets flow;
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(flow.Opening()));
    entry_.SetEvacuated({kNorth});
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(flow.Opening(1)));
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(flow.Request()));
    // Also a flow that another entry placed and a search found.
    const FlowPackets other(2);
    entry_.OnPlaced({Identity(1, kNorth), Load(), other.flow()}, EndpointOf(1),
                    now_, actions_);
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(other.Request()));
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(other.Opening(1)));
  }

  // Guards against a new flow at an evacuated target because the client uses
  // the port of an earlier flow again.
  void NewFlowOfTheSamePortsMoves() {
    const FlowPackets flow;
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(flow.Opening()));
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(flow.Request()));
    entry_.SetEvacuated({kNorth});
    PacketHeader opening = flow.Opening();
    opening.sequence = 4711;
    CPPUNIT_ASSERT(PlacedIn(opening) != kNorth);
    const FlowPackets found(2);
    entry_.OnPlaced({Identity(1, kNorth), Load(), found.flow()}, EndpointOf(1),
                    now_, actions_);
    CPPUNIT_ASSERT(PlacedIn(found.Opening()) != kNorth);
  }

  // Guards against the other ways of an opening packet to an agent: after a
  // return, after three returns, and after a timeout.
  void ReturnedAndUnansweredOpeningsAvoidTheDataCentre() {
    const FlowPackets flow;
    PlacedIn(flow.Opening());
    entry_.SetEvacuated({kNorth, kWest});
    ReturnedPacket returned;
    returned.agent = Identity(UidOf(actions_.to_agents.at(0)), kNorth);
    returned.load = Load();
    returned.reason = ReturnReason::kBusy;
    returned.packet = kPacketBytes;
    Return(returned, flow);
    CPPUNIT_ASSERT_EQUAL(kSouth, DataCentreOf(actions_.to_agents.at(0)));
    returned.declined.push_back(returned.agent.uid);
    returned.agent = Identity(3, kSouth);
    Return(returned, flow);
    CPPUNIT_ASSERT_EQUAL(kSouth, DataCentreOf(actions_.to_agents.at(0)));

    entry_.SetEvacuated({});
    CPPUNIT_ASSERT_EQUAL(kNorth, PlacedIn(FlowPackets(2).Opening()));
    entry_.SetEvacuated({kNorth, kWest});
    now_ += absl::Milliseconds(100);
    actions_.Clear();
    entry_.Tick(now_, actions_);
    CPPUNIT_ASSERT(!actions_.to_agents.empty());
    for (const EntryActions::ToAgent& action : actions_.to_agents)
      CPPUNIT_ASSERT_EQUAL(kSouth, DataCentreOf(action));
  }

  // An entry restarts during an evacuation, and its configuration arrives
  // first. Guards against flows that it places before it knows the set.
  void OpeningsWaitUntilTheSetIsKnown() {
    entry_.AwaitEvacuated(kStart + absl::Seconds(2));
    Client(FlowPackets().Opening());
    CPPUNIT_ASSERT(actions_.to_agents.empty() && actions_.resets.empty());
    entry_.SetEvacuated({kNorth});
    entry_.AwaitEvacuated(absl::InfinitePast());
    CPPUNIT_ASSERT(PlacedIn(FlowPackets().Opening(1)) != kNorth);
    // The wait is limited, since the store may be unavailable.
    entry_.AwaitEvacuated(kStart);
    CPPUNIT_ASSERT(PlacedIn(FlowPackets(2).Opening()) != kNorth);
  }

 private:
  static Endpoint EndpointOf(uint64_t uid) {
    return {0x0a020000 + static_cast<uint32_t>(uid), 7720};
  }
  static uint64_t UidOf(const EntryActions::ToAgent& action) {
    return action.agent.address - 0x0a020000;
  }

  static AgentIdentity Identity(uint64_t uid, uint32_t data_centre) {
    return {InstanceUid{uid}, Incarnation{1}, kService, data_centre};
  }

  static AgentLoad Load() {
    AgentLoad load;
    load.slots = 2;
    load.service_time_us = 20'000;
    load.state = InstanceState::kServing;
    return load;
  }

  void Report(uint64_t uid, uint32_t data_centre) {
    entry_.agents().Update(Identity(uid, data_centre), Load(), EndpointOf(uid),
                           now_);
  }

  uint32_t DataCentreOf(const EntryActions::ToAgent& action) {
    return entry_.agents()
        .Find(InstanceUid{UidOf(action)})
        ->identity.data_centre;
  }

  void Client(const PacketHeader& header) {
    actions_.Clear();
    entry_.OnClientPacket(header, kPacketBytes, now_, actions_);
  }

  /// Returns the data centre of the agent that gets the packet.
  uint32_t PlacedIn(const PacketHeader& header) {
    Client(header);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, actions_.to_agents.size());
    return DataCentreOf(actions_.to_agents.at(0));
  }

  void Return(const ReturnedPacket& returned, const FlowPackets& flow) {
    actions_.Clear();
    entry_.OnReturned(returned, flow.Opening(),
                      EndpointOf(ToNumber(returned.agent.uid)), now_, actions_);
  }

  absl::Time now_ = kStart;
  EntryForwarder entry_{kNorth, kStart};
  EntryActions actions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationObjectsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationStateTest);
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedPlacementTest);

}  // namespace
}  // namespace skylarkshunt
