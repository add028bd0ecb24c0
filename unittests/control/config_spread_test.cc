#include <cppunit/extensions/HelperMacros.h>

#include "fleet.h"
#include "skylarkshunt/control/codec.h"

namespace skylarkshunt {
namespace {

constexpr size_t kEntries = 20;
constexpr size_t kAgents = 60;
constexpr size_t kMaxMessageBytes = 128 * size_t{1024};

class ConfigSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigSpreadTest);
  CPPUNIT_TEST(ChangeReachesEveryNode);
  CPPUNIT_TEST(VersionsNeverGoBack);
  CPPUNIT_TEST(EntriesRecoverFromAgentsWithoutThePlatform);
  CPPUNIT_TEST(RecreatedServiceIsNotTheOldOne);
  CPPUNIT_TEST(WatcherCountDoesNotGrowWithTheFleet);
  CPPUNIT_TEST(DirectoryIsWrittenByOneWatcherOnChange);
  CPPUNIT_TEST(LargeTableIsTransferredInSmallMessages);
  CPPUNIT_TEST(AppliedRevisionRisesAtMostTwiceASecond);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change that some node does not apply, and against an
  // applied revision that entries do not see.
  void ChangeReachesEveryNode() {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      Fleet fleet({kEntries, kAgents, 1, 1, seed});
      Settle(fleet);
      const Revision revision = PutService(fleet, "second");
      const auto applied_everywhere = [&] {
        for (Fleet::Node& node : fleet.nodes()) {
          if (node.applied[ServiceKey(0)] != revision)
            return false;
        }
        return true;
      };
      const absl::Duration took =
          fleet.RunUntil(applied_everywhere, absl::Seconds(20));
      CPPUNIT_ASSERT_MESSAGE(absl::FormatDuration(took),
                             took <= absl::Seconds(5));
      fleet.RunFor(absl::Seconds(10));
      CPPUNIT_ASSERT(fleet.AllEntries([&](const EntryControl& entry) {
        for (const InstanceRecord& record : entry.Instances()) {
          if (record.applied != revision)
            return false;
        }
        return true;
      }));
    }
  }

  // Guards against an older revision coming back into force after lost,
  // duplicated, reordered or stale deliveries, or restarts.
  void VersionsNeverGoBack() {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet::Options options{kEntries, kAgents, 2, 1, seed};
      options.drop = 0.1;
      options.duplicate = 0.1;
      options.max_delay = absl::Milliseconds(300);
      Fleet fleet(options);
      std::vector<ConfigRecord> history;
      for (size_t i = 0; i < kEntries + kAgents; ++i)
        fleet.Start(i);
      std::mt19937_64 random(seed);
      for (int step = 0; step < 30; ++step) {
        const std::string body = ServiceBody(0, 77, "s" + ToHex(random()));
        const bool remove = step % 7 == 6;
        const Revision revision = remove ? fleet.Remove(ServiceKey(0))
                                         : fleet.Put(ServiceKey(0), body);
        history.push_back(
            {ServiceKey(0), revision, remove, remove ? "" : body});
        DeliverStale(fleet, history, random);
        const size_t victim = random() % (kEntries + kAgents);
        fleet.Kill(victim);
        fleet.RunFor(absl::Milliseconds(300 + random() % 1500));
        fleet.Start(victim);
      }
      const Revision last = PutService(fleet, "last");
      fleet.RunFor(absl::Seconds(20));
      CPPUNIT_ASSERT(fleet.AllHold(ServiceKey(0), last));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.reversions());
    }
  }

  // Guards against lost configuration when all entries restart during an outage
  // of the platform, which would stop every service.
  void EntriesRecoverFromAgentsWithoutThePlatform() {
    Fleet fleet({kEntries, kAgents, 1, 1, 3});
    const Revision revision = Settle(fleet);
    fleet.SetPlatformUp(false);
    for (size_t i = 0; i < kEntries; ++i)
      fleet.Kill(i);
    fleet.RunFor(absl::Seconds(1));
    for (size_t i = 0; i < kEntries; ++i)
      fleet.Start(i);
    const auto recovered = [&] {
      return fleet.AllHold(ServiceKey(0), revision) &&
             fleet.AllEntries([](const EntryControl& entry) {
               return entry.Instances().size() == kEntries + kAgents;
             });
    };
    CPPUNIT_ASSERT(fleet.RunUntil(recovered, absl::Seconds(120)) <
                   absl::Seconds(30));
  }

  // Guards against bindings, drain orders and reports of a removed service
  // affecting a new service of the same name.
  void RecreatedServiceIsNotTheOldOne() {
    Fleet fleet({kEntries, kAgents, 1, 1, 4});
    Settle(fleet);
    const size_t agent = fleet.AgentAt(0);
    const InstanceUid old_uid = fleet.UidOf(agent);
    fleet.Put("drains/" + ToHex(ToNumber(old_uid)), "{}");
    fleet.RunFor(absl::Seconds(8));
    CPPUNIT_ASSERT(fleet.nodes()[agent].drained.value_or(false));
    const ConfigRecord stale{ServiceKey(0), Revision{1}, false,
                             ServiceBody(0, 77, "first")};
    fleet.Remove(ServiceKey(0));
    fleet.RunFor(absl::Seconds(8));
    const Revision revision =
        fleet.Put(ServiceKey(0), ServiceBody(0, 99, "new"));
    fleet.RunFor(absl::Seconds(10));
    Fleet::Node& node = fleet.nodes()[agent];
    CPPUNIT_ASSERT(node.agent->self().service == ServiceUid{99});
    // The agent process must also learn that the new target has no drain order.
    CPPUNIT_ASSERT(!node.drained.value_or(true));
    CPPUNIT_ASSERT(fleet.AllSee(old_uid, InstanceState::kDown));
    CPPUNIT_ASSERT(fleet.AllSee(fleet.UidOf(agent), InstanceState::kServing));
    fleet.Perform(0, fleet.nodes()[0].entry->OnPlatformChanges(
                         fleet.now(), absl::MakeConstSpan(&stale, 1)));
    fleet.RunFor(absl::Seconds(5));
    CPPUNIT_ASSERT(fleet.AllHold(ServiceKey(0), revision));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, node.new_incarnations);
  }

  // Guards against store calls that grow with the number of entries.
  void WatcherCountDoesNotGrowWithTheFleet() {
    for (const size_t entries : {size_t{3}, size_t{10}, size_t{40}}) {
      Fleet fleet({entries, 0, 1, 1, entries});
      Settle(fleet);
      CPPUNIT_ASSERT_EQUAL(size_t{3}, fleet.Watching());
      size_t watcher = 0;
      while (!fleet.nodes()[watcher].watching)
        ++watcher;
      fleet.Kill(watcher);
      fleet.RunFor(absl::Seconds(8));
      CPPUNIT_ASSERT_EQUAL(std::min(entries - 1, size_t{3}), fleet.Watching());
    }
    Fleet regions({20, 0, 1, 2, 1});
    Settle(regions);
    CPPUNIT_ASSERT_EQUAL(size_t{6}, regions.Watching());
  }

  // Guards against the directory being written by every watcher or at every
  // tick, and against it not being updated after a change.
  void DirectoryIsWrittenByOneWatcherOnChange() {
    Fleet fleet({kEntries, 0, 1, 1, 6});
    Settle(fleet);
    fleet.RunFor(absl::Seconds(15));
    const size_t settled = Writes(fleet);
    fleet.RunFor(absl::Seconds(60));
    CPPUNIT_ASSERT_EQUAL(settled, Writes(fleet));
    size_t other = 0;
    while (fleet.nodes()[other].watching)
      ++other;
    fleet.Kill(other);
    fleet.RunFor(absl::Seconds(20));
    CPPUNIT_ASSERT_EQUAL(settled + 1, Writes(fleet));
  }

  // Guards against a message over the size limit, which is never delivered,
  // when a new entry joins a large fleet.
  void LargeTableIsTransferredInSmallMessages() {
    constexpr size_t kRecords = 5000;
    constexpr size_t kObjects = 300;
    Fleet fleet({2, 0, 1, 1, 7});
    size_t largest = 0;
    fleet.observer = [&](size_t, size_t, const ControlMessage& message) {
      largest = std::max(largest, EncodeControlMessage(message).value().size());
    };
    fleet.Start(0);
    for (size_t i = 0; i < kObjects; ++i)
      fleet.Put(ServiceKey(i), std::string(4000, 'x'));
    fleet.RunFor(absl::Seconds(3));
    GossipPush push;
    for (size_t i = 0; i < kRecords; ++i) {
      InstanceRecord record = fleet.nodes()[0].self;
      record.uid = MakeTargetUid(ServiceUid{1}, ToHex(i));
      record.role = Role::kAgent;
      record.region = "elsewhere";
      push.instances.push_back(record);
    }
    fleet.Perform(0, fleet.nodes()[0].entry->OnMessage(fleet.now(),
                                                       ConnectionId{}, push));
    fleet.Start(1);
    const auto complete = [&] {
      const EntryControl& entry = *fleet.nodes()[1].entry;
      return entry.Instances().size() == kRecords + 2 &&
             entry.Config().size() == kObjects;
    };
    CPPUNIT_ASSERT(fleet.RunUntil(complete, absl::Seconds(300)) <
                   absl::Seconds(60));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(largest), largest < kMaxMessageBytes);
  }

  // Guards against a burst of configuration changes causing as many updates of
  // instance records.
  void AppliedRevisionRisesAtMostTwiceASecond() {
    Fleet fleet({3, 0, 1, 1, 8});
    Settle(fleet);
    const uint64_t before = fleet.nodes()[0].entry->self().sequence;
    for (int i = 0; i < 40; ++i) {
      PutService(fleet, "burst" + std::to_string(i));
      fleet.RunFor(absl::Milliseconds(100));
    }
    fleet.RunFor(absl::Seconds(2));
    const InstanceRecord& self = fleet.nodes()[0].entry->self();
    CPPUNIT_ASSERT(self.sequence - before <= 9 + 1);
    CPPUNIT_ASSERT(self.applied > Revision{40});
  }

 private:
  static Revision PutService(Fleet& fleet, const std::string& apply) {
    return fleet.Put(ServiceKey(0), ServiceBody(0, 77, apply));
  }

  static Revision Settle(Fleet& fleet) {
    const Revision revision = PutService(fleet, "first");
    fleet.StartAllAndSettle(ServiceKey(0), revision);
    CPPUNIT_ASSERT(fleet.AllHold(ServiceKey(0), revision));
    return revision;
  }

  static void DeliverStale(Fleet& fleet,
                           const std::vector<ConfigRecord>& history,
                           std::mt19937_64& random) {
    const ConfigRecord& old = history[random() % history.size()];
    const size_t entry = random() % kEntries;
    if (!fleet.nodes()[entry].entry)
      return;
    fleet.Perform(entry, fleet.nodes()[entry].entry->OnPlatformChanges(
                             fleet.now(), absl::MakeConstSpan(&old, 1)));
  }

  static size_t Writes(Fleet& fleet) {
    size_t writes = 0;
    for (const Fleet::Node& node : fleet.nodes())
      writes += node.directory_writes;
    return writes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigSpreadTest);

}  // namespace
}  // namespace skylarkshunt
