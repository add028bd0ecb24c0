#include <cppunit/extensions/HelperMacros.h>

#include "fleet.h"
#include "skylarkshunt/control/codec.h"

namespace skylarkshunt {
namespace {

constexpr size_t kEntries = 20;
constexpr size_t kAgents = 60;
constexpr absl::Duration kPropagationLimit = absl::Seconds(5);
constexpr auto kServing = InstanceState::kServing;
constexpr auto kDown = InstanceState::kDown;

class ControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlTest);
  CPPUNIT_TEST(ArrivalDrainAndDeathReachAllEntries);
  CPPUNIT_TEST(WithdrawnDrainEnds);
  CPPUNIT_TEST(DeathOfAnEntryReachesAllEntries);
  CPPUNIT_TEST(DeathOfAgentAndItsRelaysIsDetected);
  CPPUNIT_TEST(OneWayCutDoesNotTakeAgentDown);
  CPPUNIT_TEST(SuspendedAgentReturnsUnderHigherIncarnation);
  CPPUNIT_TEST(SuspendedEntryReportsNoOtherDown);
  CPPUNIT_TEST(RestartWithClockSetBackTakesHigherIncarnation);
  CPPUNIT_TEST(PartitionedRegionsMonitorLocallyAndMerge);
  CPPUNIT_TEST(RegionHalvesMergeAfterPartition);
  CPPUNIT_TEST(HeartbeatAndAckStaySmall);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against slow or lost propagation, also while the platform is down.
  void ArrivalDrainAndDeathReachAllEntries() {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      Fleet fleet({kEntries, kAgents, 2, 1, seed});
      Settle(fleet);
      const bool platform_up = seed % 2 == 1;
      fleet.SetPlatformUp(platform_up);
      const size_t agent = fleet.AgentAt(seed);
      fleet.Kill(agent);
      fleet.RunFor(absl::Seconds(8));
      fleet.Start(agent);
      const absl::Duration arrival = fleet.RunUntil(
          [&] { return fleet.AllSee(fleet.UidOf(agent), kServing); },
          absl::Seconds(20));
      CPPUNIT_ASSERT_MESSAGE(absl::FormatDuration(arrival),
                             arrival <= kPropagationLimit);
      const InstanceUid uid = fleet.UidOf(agent);
      if (platform_up) {
        fleet.Put("drains/" + ToHex(ToNumber(uid)), "{}");
      } else {
        // Without the platform the agent drains by itself.
        fleet.Drain(agent);
      }
      ExpectSeen(fleet, uid, InstanceState::kDraining);
      fleet.Kill(agent);
      ExpectSeen(fleet, uid, kDown);
    }
  }

  // Guards against an agent that treats the record of a withdrawn drain order
  // as an order and drains forever.
  void WithdrawnDrainEnds() {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      Fleet fleet({kEntries, kAgents, 2, 1, seed});
      Settle(fleet);
      const InstanceUid uid = fleet.UidOf(fleet.AgentAt(seed));
      const std::string key = "drains/" + ToHex(ToNumber(uid));
      for (int round = 0; round < 2; ++round) {
        fleet.Put(key, R"({"drain":true,"apply_id":"1"})");
        ExpectSeen(fleet, uid, InstanceState::kDraining);
        fleet.Put(key, R"({"drain":false,"apply_id":"2"})");
        ExpectSeen(fleet, uid, kServing);
      }
    }
  }

  // Guards against entries that no other entry monitors.
  void DeathOfAnEntryReachesAllEntries() {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      Fleet fleet({kEntries, kAgents, 1, 1, seed});
      Settle(fleet);
      const InstanceUid uid = fleet.UidOf(seed);
      fleet.Kill(seed);
      ExpectSeen(fleet, uid, kDown);
      CPPUNIT_ASSERT(fleet.HoldsFor([&] { return NoAgentDown(fleet); },
                                    absl::Seconds(20)));
    }
  }

  // Guards against an agent that stays "serving" forever because its relays
  // died together with it.
  void DeathOfAgentAndItsRelaysIsDetected() {
    Fleet fleet({kEntries, kAgents, 1, 1, 5});
    std::set<size_t> relays;
    const size_t agent = fleet.AgentAt(0);
    Settle(fleet);
    fleet.observer = [&](size_t from, size_t to, const ControlMessage&) {
      if (from == agent)
        relays.insert(to);
    };
    fleet.RunFor(absl::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, relays.size());
    const InstanceUid uid = fleet.UidOf(agent);
    fleet.Kill(agent);
    for (size_t relay : relays)
      fleet.Kill(relay);
    CPPUNIT_ASSERT(fleet.RunUntil([&] { return fleet.AllSee(uid, kDown); },
                                  absl::Seconds(30)) < absl::Seconds(15));
  }

  // Guards against one relay's broken link taking a live target out of service.
  void OneWayCutDoesNotTakeAgentDown() {
    for (const bool to_relay : {true, false}) {
      Fleet fleet({kEntries, kAgents, 1, 1, 7});
      Settle(fleet);
      const size_t agent = fleet.AgentAt(3);
      absl::optional<size_t> relay;
      fleet.observer = [&](size_t from, size_t to, const ControlMessage&) {
        if (from == agent && !relay)
          relay = to;
      };
      fleet.RunFor(absl::Seconds(1));
      if (to_relay)
        fleet.Cut(agent, *relay);
      else
        fleet.Cut(*relay, agent);
      CPPUNIT_ASSERT(fleet.HoldsFor([&] { return NoAgentDown(fleet); },
                                    absl::Seconds(40)));
    }
  }

  // Guards against an agent whose lease ended while it was suspended and that
  // continues under its old incarnation.
  void SuspendedAgentReturnsUnderHigherIncarnation() {
    Fleet fleet({kEntries, kAgents, 1, 1, 8});
    Settle(fleet);
    const size_t agent = fleet.AgentAt(9);
    const InstanceUid uid = fleet.UidOf(agent);
    const Incarnation before = fleet.nodes()[agent].agent->self().incarnation;
    fleet.Pause(agent);
    ExpectSeen(fleet, uid, kDown);
    fleet.Resume(agent);
    const auto never_back_under_old_incarnation = [&] {
      return fleet.AllEntries([&](const EntryControl& entry) {
        const InstanceRecord record = Find(entry, uid);
        return record.state == kDown || record.incarnation > before;
      });
    };
    CPPUNIT_ASSERT(
        fleet.HoldsFor(never_back_under_old_incarnation, absl::Seconds(10)));
    CPPUNIT_ASSERT(fleet.AllSee(uid, kServing));
  }

  // Guards against a suspended entry reporting other instances down because it
  // received no messages while suspended.
  void SuspendedEntryReportsNoOtherDown() {
    Fleet fleet({kEntries, kAgents, 1, 1, 9});
    Settle(fleet);
    const InstanceUid uid = fleet.UidOf(4);
    fleet.Pause(4);
    ExpectSeen(fleet, uid, kDown);
    fleet.RunFor(absl::Seconds(10));
    fleet.Resume(4);
    const auto only_paused_down = [&] {
      return fleet.AllEntries([&](const EntryControl& entry) {
        for (const InstanceRecord& record : entry.Instances()) {
          if (record.uid != uid && record.state == kDown)
            return false;
        }
        return true;
      });
    };
    CPPUNIT_ASSERT(fleet.HoldsFor(only_paused_down, absl::Seconds(20)));
    CPPUNIT_ASSERT(fleet.AllSee(uid, kServing));
  }

  // Guards against a restarted process whose records are superseded by those of
  // its earlier run, because its clock was set back.
  void RestartWithClockSetBackTakesHigherIncarnation() {
    Fleet fleet({kEntries, kAgents, 1, 1, 10});
    Settle(fleet);
    const size_t agent = fleet.AgentAt(2);
    const Incarnation before = fleet.nodes()[agent].agent->self().incarnation;
    for (const uint64_t back : {uint64_t{0}, uint64_t{1000}}) {
      fleet.Kill(agent);
      fleet.RunFor(absl::Seconds(1));
      const size_t taken = fleet.nodes()[agent].new_incarnations;
      const Incarnation held = Find(*fleet.nodes()[0].entry, uid_).incarnation;
      fleet.Start(agent, Incarnation{ToNumber(before) - back});
      fleet.RunFor(absl::Seconds(8));
      uid_ = fleet.UidOf(agent);
      CPPUNIT_ASSERT_EQUAL(taken + 1, fleet.nodes()[agent].new_incarnations);
      CPPUNIT_ASSERT(fleet.nodes()[agent].agent->self().incarnation > held);
      CPPUNIT_ASSERT(fleet.AllSee(uid_, kServing));
    }
    // An entry raises its incarnation in the same way.
    fleet.Kill(6);
    fleet.RunFor(absl::Seconds(6));
    fleet.Start(6, Incarnation{5});
    fleet.RunFor(absl::Seconds(6));
    CPPUNIT_ASSERT(fleet.AllSee(fleet.UidOf(6), kServing));
  }

  // Guards against one region reporting instances of an unreachable region
  // down, and against views that still differ after the connection is restored.
  void PartitionedRegionsMonitorLocallyAndMerge() {
    Fleet fleet({kEntries, kAgents, 1, 2, 11});
    Settle(fleet);
    const size_t own = fleet.AgentAt(0);
    const size_t other = fleet.AgentAt(1);
    const InstanceUid own_uid = fleet.UidOf(own);
    fleet.CutRegions(true);
    CPPUNIT_ASSERT(
        fleet.HoldsFor([&] { return NoAgentDown(fleet); }, absl::Seconds(30)));
    fleet.Kill(own);
    const auto sees = [&](const EntryControl& entry) {
      return Find(entry, own_uid).state == kDown;
    };
    fleet.RunFor(absl::Seconds(10));
    CPPUNIT_ASSERT(fleet.AllEntries(sees, "region0"));
    CPPUNIT_ASSERT(!fleet.AllEntries(sees, "region1"));
    const Revision revision =
        fleet.Put(ServiceKey(0), ServiceBody(0, 77, "apart"));
    fleet.CutRegions(false);
    const auto merged = [&] {
      return fleet.AllSee(own_uid, kDown) &&
             fleet.AllHold(ServiceKey(0), revision);
    };
    CPPUNIT_ASSERT(fleet.RunUntil(merged, absl::Seconds(60)) <
                   absl::Seconds(30));
    CPPUNIT_ASSERT(fleet.AllSee(fleet.UidOf(other), kServing));
  }

  // Guards against two halves of a region that reported each other down and
  // never reconnect.
  void RegionHalvesMergeAfterPartition() {
    Fleet fleet({kEntries, kAgents, 1, 1, 12});
    Settle(fleet);
    const auto side = [](size_t node) { return node % 2; };
    for (size_t a = 0; a < fleet.nodes().size(); ++a) {
      for (size_t b = 0; b < fleet.nodes().size(); ++b) {
        if (side(a) != side(b))
          fleet.Cut(a, b);
      }
    }
    fleet.RunFor(absl::Seconds(20));
    CPPUNIT_ASSERT(!fleet.AllSee(fleet.UidOf(0), kServing));
    fleet.RemoveCuts();
    const auto all_serve = [&] {
      return fleet.AllEntries([&](const EntryControl& entry) {
        for (const InstanceRecord& record : entry.Instances()) {
          if (record.state != kServing)
            return false;
        }
        return true;
      });
    };
    CPPUNIT_ASSERT(fleet.RunUntil(all_serve, absl::Seconds(120)) <
                   absl::Seconds(60));
  }

  // Guards against control traffic that exceeds a node's budget.
  void HeartbeatAndAckStaySmall() {
    Fleet fleet({kEntries, kAgents, 1, 1, 13});
    Settle(fleet);
    size_t heartbeat = 0;
    size_t answer = 0;
    size_t lists = 0;
    size_t answers = 0;
    fleet.observer = [&](size_t, size_t, const ControlMessage& message) {
      const size_t bytes = EncodeControlMessage(message).value().size();
      if (std::holds_alternative<Heartbeat>(message))
        heartbeat = std::max(heartbeat, bytes);
      const auto* ack = std::get_if<HeartbeatAck>(&message);
      if (ack == nullptr)
        return;
      ++answers;
      if (ack->entries.empty())
        answer = std::max(answer, bytes);
      else
        ++lists;
    };
    fleet.RunFor(absl::Seconds(20));
    CPPUNIT_ASSERT(heartbeat > 0 && answer > 0);
    CPPUNIT_ASSERT(heartbeat + answer < 400);
    CPPUNIT_ASSERT(lists * 9 <= answers);
  }

 private:
  static void Settle(Fleet& fleet) {
    fleet.Put(ServiceKey(1), ServiceBody(1, 78, "first"));
    const Revision revision =
        fleet.Put(ServiceKey(0), ServiceBody(0, 77, "first"));
    fleet.StartAllAndSettle(ServiceKey(0), revision);
    CPPUNIT_ASSERT(NoAgentDown(fleet));
    for (size_t node = 0; node < fleet.nodes().size(); ++node)
      CPPUNIT_ASSERT(fleet.AllSee(fleet.UidOf(node), kServing));
  }

  static void ExpectSeen(Fleet& fleet, InstanceUid uid, InstanceState state) {
    const absl::Duration took = fleet.RunUntil(
        [&] { return fleet.AllSee(uid, state); }, absl::Seconds(20));
    CPPUNIT_ASSERT_MESSAGE(absl::FormatDuration(took),
                           took <= kPropagationLimit);
  }

  static InstanceRecord Find(const EntryControl& entry, InstanceUid uid) {
    for (const InstanceRecord& record : entry.Instances()) {
      if (record.uid == uid)
        return record;
    }
    return {};
  }

  static bool NoAgentDown(const Fleet& fleet) {
    return fleet.AllEntries([](const EntryControl& entry) {
      for (const InstanceRecord& record : entry.Instances()) {
        if (record.role == Role::kAgent && record.state == kDown)
          return false;
      }
      return true;
    });
  }

  InstanceUid uid_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

}  // namespace
}  // namespace skylarkshunt
