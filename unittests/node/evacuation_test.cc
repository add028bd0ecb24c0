#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "evacuation_follower.h"
#include "platform/adapter.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/forwarding/node_codec.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/node/node_process.h"
#include "standins/platform/platform_server.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(5);
/// From the store's confirmation to the effect while nothing fails.
constexpr absl::Duration kObjective = absl::Seconds(1);
constexpr absl::Duration kLongWait = absl::Seconds(30);
constexpr char kPrefix[] = "evacuations/";
/// Addresses of the entry. Tests in other processes use other ones.
const uint32_t kAddress =
    0x7f000001 | (static_cast<uint32_t>(getpid()) & 0xffffU) << 8;
const Endpoint kPeers{kAddress, 7720};
const Endpoint kData{kAddress, 8172};

uint32_t HashOf(absl::string_view name) {
  return static_cast<uint32_t>(StableHash(name, 0));
}

/// Records the commands that the follower sends to the data thread.
class ReceivedSets {
 public:
  bool Take(const DataCommand& command) {
    absl::MutexLock lock(&mutex_);
    const auto& read = std::get<EvacuationsRead>(command);
    if (read.set != nullptr && std::exchange(refuse_next_, false))
      return false;
    failed_ = failed_ || read.set == nullptr;
    if (read.set != nullptr) {
      known_ = true;
      evacuated_ = read.set->data_centres;
    }
    return true;
  }
  void RefuseNext() {
    absl::MutexLock lock(&mutex_);
    refuse_next_ = true;
  }
  void Reset() {
    absl::MutexLock lock(&mutex_);
    known_ = failed_ = false;
  }
  bool Await(std::vector<uint32_t> expected, absl::Duration limit) {
    std::sort(expected.begin(), expected.end());
    const auto arrived = [&]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
      return known_ && evacuated_ == expected;
    };
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&arrived), limit);
  }
  bool AwaitFailure() {
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&failed_), kLongWait);
  }

 private:
  absl::Mutex mutex_;
  bool known_ = false;
  bool failed_ = false;
  bool refuse_next_ = false;
  std::vector<uint32_t> evacuated_;
};

class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(ChangesAreFollowedWithinTheObjective);
  CPPUNIT_TEST(LostWatchIsFoundWithinTheLimit);
  CPPUNIT_TEST(ChangeBeforeTheHistoryIsGoneIsNotMissed);
  CPPUNIT_TEST(SetThatTheDataThreadRefusedIsSentAgain);
  CPPUNIT_TEST(RefreshReadsAllObjects);
  CPPUNIT_TEST(EvacuationThatARestoredStoreLostCountsForALimitedTime);
  CPPUNIT_TEST(EvacuationsOfARestoredStoreAreFollowed);
  CPPUNIT_TEST(OddObjectsLeaveTheOthersInUse);
  CPPUNIT_TEST(UnavailableStoreIsReportedAndQueriedAgain);
  CPPUNIT_TEST(EntryPlacesNoFlowInTheDataCentre);
  CPPUNIT_TEST(EntryWithoutTheStoreUsesTheSetOfAPeer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    PlatformServer::Options options;
    options.listen = Endpoint::Parse("127.0.0.1:0").value();
    options.core.page_size = 100;
    options.core.writes_per_second = 10'000;
    store_ = std::move(PlatformServer::Start(options).value());
  }

  void tearDown() override {
    // Ends the pending watch; otherwise the destructors wait for it.
    store_->core().Stop();
    follower_.reset();
    node_.reset();
    store_.reset();
  }

  void ChangesAreFollowedWithinTheObjective() {
    Follow();
    CPPUNIT_ASSERT(received_.Await({}, kLongWait));
    const uint64_t revision = Evacuate("zone-a");
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-a")}, kObjective));
    Evacuate("zone-b");
    CPPUNIT_ASSERT(
        received_.Await({HashOf("zone-a"), HashOf("zone-b")}, kObjective));
    store_->core().Remove(absl::StrCat(kPrefix, "zone-a"), revision);
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-b")}, kObjective));
  }

  // Guards against a call that the store lost and that is trusted for longer
  // than the limit. An opening packet that was placed before may be delivered
  // up to 1.4 s later.
  void LostWatchIsFoundWithinTheLimit() {
    Follow();
    CPPUNIT_ASSERT(received_.Await({}, kLongWait));
    AwaitCalls(CallKind::kWatch, 1);
    store_->core().SetFault({FaultMode::kLoseWatches, absl::ZeroDuration(), 1});
    Evacuate("zone-a");
    CPPUNIT_ASSERT(
        received_.Await({HashOf("zone-a")}, kLimit - absl::Milliseconds(1400)));
  }

  // Guards against an evacuation that is skipped, since the store's watches did
  // not report it before the store dropped its history.
  void ChangeBeforeTheHistoryIsGoneIsNotMissed() {
    Follow();
    CPPUNIT_ASSERT(received_.Await({}, kLongWait));
    AwaitCalls(CallKind::kWatch, 1);
    store_->core().SetFault({FaultMode::kDeafenWatches});
    Evacuate("zone-a");
    AwaitCalls(CallKind::kWatch, 2);
    store_->core().SetFault(Fault{});
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-a")}, kLimit));
  }

  void SetThatTheDataThreadRefusedIsSentAgain() {
    Follow();
    CPPUNIT_ASSERT(received_.Await({}, kLongWait));
    received_.RefuseNext();
    Evacuate("zone-a");
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-a")}, kObjective));
  }

  // Guards against an entry that resumes after a suspension and trusts an
  // answer from before it for another whole wait.
  void RefreshReadsAllObjects() {
    Follow();
    CPPUNIT_ASSERT(received_.Await({}, kLongWait));
    AwaitCalls(CallKind::kList, 1);
    follower_->Refresh();
    AwaitCalls(CallKind::kList, 2);
  }

  // Guards against flows to a data centre whose evacuation was confirmed and
  // then lost, and against one that stays evacuated although nobody asks for
  // it.
  void EvacuationThatARestoredStoreLostCountsForALimitedTime() {
    Follow();
    CPPUNIT_ASSERT(received_.Await({}, kLongWait));
    store_->core().TakeCopy();
    Evacuate("zone-a");
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-a")}, kObjective));
    store_->core().Restore();
    const absl::Time restored = absl::Now();
    // The time counts from the first answer after the restore.
    CPPUNIT_ASSERT(!received_.Await({}, 2 * kLimit - absl::Seconds(1)));
    CPPUNIT_ASSERT(received_.Await({}, kLongWait));
    CPPUNIT_ASSERT(absl::Now() - restored >= 2 * kLimit - absl::Seconds(1));
  }

  // Guards against a change that is missed because the restored store gives out
  // the position of the watch again.
  void EvacuationsOfARestoredStoreAreFollowed() {
    const uint64_t ended = Evacuate("zone-b");
    Follow();
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-b")}, kLongWait));
    store_->core().TakeCopy();
    store_->core().Remove(absl::StrCat(kPrefix, "zone-b"), ended);
    Evacuate("zone-a");
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-a")}, kObjective));
    store_->core().Restore();
    Evacuate("zone-a");
    Evacuate("zone-c");
    CPPUNIT_ASSERT(received_.Await(
        {HashOf("zone-a"), HashOf("zone-b"), HashOf("zone-c")}, kLimit));
    store_->core().Remove(absl::StrCat(kPrefix, "zone-b"), ended);
    CPPUNIT_ASSERT(
        received_.Await({HashOf("zone-a"), HashOf("zone-c")}, kObjective));
  }

  // Guards against an evacuation that is missed because of objects of another
  // writer: huge, deep, several pages of them, or with unexpected bodies. Only
  // the names count.
  void OddObjectsLeaveTheOthersInUse() {
    std::vector<uint32_t> expected;
    for (int i = 0; i < 1500; ++i) {
      const std::string name = absl::StrCat("x", i);
      Evacuate(name);
      expected.push_back(HashOf(name));
    }
    Evacuate("huge", absl::StrCat("\"", std::string(1'000'000, 'h'), "\""));
    Evacuate("deep", std::string(3'000, '[') + std::string(3'000, ']'));
    Evacuate("number", "7");
    for (const char* name : {"huge", "deep", "number"})
      expected.push_back(HashOf(name));
    Follow();
    CPPUNIT_ASSERT(received_.Await(expected, kLongWait));
    Evacuate("zone-a");
    Evacuate("odd", std::string(3'000, '[') + std::string(3'000, ']'));
    expected.push_back(HashOf("zone-a"));
    expected.push_back(HashOf("odd"));
    CPPUNIT_ASSERT(received_.Await(expected, kObjective));
  }

  void UnavailableStoreIsReportedAndQueriedAgain() {
    Evacuate("zone-a");
    store_->core().SetFault({FaultMode::kDown});
    Follow();
    CPPUNIT_ASSERT(received_.AwaitFailure());
    store_->core().SetFault(Fault{});
    CPPUNIT_ASSERT(received_.Await({HashOf("zone-a")}, kObjective));
    received_.Reset();
    store_->core().SetFault({FaultMode::kDown});
    CPPUNIT_ASSERT(received_.AwaitFailure());
    store_->core().SetFault(Fault{});
    Evacuate("zone-b");
    CPPUNIT_ASSERT(
        received_.Await({HashOf("zone-a"), HashOf("zone-b")}, 2 * kObjective));
  }

  // The whole path with an entry, the store and two agents, from the object to
  // the agent that gets a client's packet. The entry starts during the
  // evacuation and restarts within it.
  void EntryPlacesNoFlowInTheDataCentre() {
    const uint64_t revision = Evacuate("zone-a");
    for (int start = 0; start < 2; ++start) {
      StartEntry();
      CPPUNIT_ASSERT_EQUAL(std::string("zone-b"), PlaceFlow());
    }
    store_->core().Remove(absl::StrCat(kPrefix, "zone-a"), revision);
    AwaitMetric("skylarkshunt_evacuated_data_centres 0");
    CPPUNIT_ASSERT_EQUAL(std::string("zone-a"), PlaceFlow());
    Evacuate("zone-a");
    Evacuate("zone-b");
    AwaitMetric("skylarkshunt_evacuated_data_centres 2");
    CPPUNIT_ASSERT_EQUAL(std::string(), PlaceFlow());
    AwaitMetric("reason=\"evacuated\"}");
  }

  // Guards against entries that do not exchange their sets: the store rejects
  // the calls of this entry only.
  void EntryWithoutTheStoreUsesTheSetOfAPeer() {
    UdpSocket peer =
        std::move(UdpSocket::Bind({kAddress + 1, kPeers.port}).value());
    StartEntry();
    CPPUNIT_ASSERT_EQUAL(std::string("zone-a"), PlaceFlow());
    store_->core().SetFault({FaultMode::kDown});
    EvacuationReport report;
    report.set = {MakeRevision(Epoch{1}, 1'000'000), {HashOf("zone-a")}};
    std::vector<uint8_t> bytes;
    EncodeNodeMessage(EntryReport(), bytes);
    peer.Send(kPeers, bytes);
    EncodeNodeMessage(report, bytes);
    peer.Send(kPeers, bytes);
    AwaitMetric("skylarkshunt_evacuated_data_centres 1");
    CPPUNIT_ASSERT_EQUAL(std::string("zone-b"), PlaceFlow());
    // The entry reports the set in turn.
    bool is_reported = false;
    while (absl::optional<Datagram> datagram = peer.Receive()) {
      const NodeMessage message = DecodeNodeMessage(datagram->bytes).value();
      const auto* sent = std::get_if<EvacuationReport>(&message);
      is_reported = is_reported || (sent != nullptr &&
                                    sent->set.revision == report.set.revision);
    }
    CPPUNIT_ASSERT(is_reported);
  }

 private:
  struct Agent {
    std::string zone;
    UdpSocket socket;
  };

  uint64_t Evacuate(const std::string& name, const std::string& body = "{}") {
    const PlatformAnswer answer =
        store_->core().Write(absl::StrCat(kPrefix, name), body, 0);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    const size_t at = answer.body.find("\"rev\":") + 6;
    return std::stoull(answer.body.substr(at, 20));
  }

  /// Waits until the store has got `count` calls of `kind`.
  void AwaitCalls(CallKind kind, uint64_t count) {
    const absl::Time limit = absl::Now() + kLongWait;
    const auto calls = [this, kind] {
      return store_->core().counts().by_kind[static_cast<size_t>(kind)];
    };
    while (calls() < count && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(5));
    CPPUNIT_ASSERT(calls() >= count);
  }

  void AwaitMetric(const std::string& text) {
    const absl::Time limit = absl::Now() + kLongWait;
    while (!absl::StrContains(counters_->ToText(), text) &&
           absl::Now() < limit) {
      SendReports();
      absl::SleepFor(absl::Milliseconds(5));
    }
    CPPUNIT_ASSERT_MESSAGE(counters_->ToText(),
                           absl::StrContains(counters_->ToText(), text));
  }

  void Follow() {
    EvacuationFollower::Options options;
    options.node.store = store_->address();
    options.node.evacuation_limit = kLimit;
    options.prefix = kPrefix;
    options.counters = counters_.get();
    options.command = [this](const DataCommand& command) {
      return received_.Take(command);
    };
    follower_ = std::move(EvacuationFollower::Create(options).value());
    follower_->Start();
  }

  /// Starts the entry, or starts it again.
  void StartEntry() {
    node_.reset();
    store_->core().Write(
        "config/main",
        R"({"version":1,"routes":[{"name":"a","host":"198.18.0.1",)"
        R"("path-prefix":"/443/","kind":"idempotent","timeout-ms":2500,)"
        R"("priority":1,"service":"x"}],"services":[{"name":"x",)"
        R"("health-path":"/h","max-conns":9}],"limits":{}})",
        0);
    counters_ = std::make_unique<CounterRegistry>();
    NodeProcess::Options options;
    options.node.role = Role::kEntry;
    options.node.name = "edge-1";
    options.node.data_centre = "zone-a";
    options.node.peers = kPeers;
    options.node.data = kData;
    options.node.store = store_->address();
    options.node.evacuation_limit = kLimit;
    options.adapter = MakePlatformAdapter();
    options.incarnation = Incarnation{++incarnation_};
    options.counters = counters_.get();
    node_ = std::move(NodeProcess::Start(options).value());
    if (agents_.empty()) {
      for (const char* zone : {"zone-a", "zone-b"}) {
        agents_.push_back(
            {zone, std::move(UdpSocket::Bind({0x7f000001, 0}).value())});
      }
    }
  }

  void SendReports() {
    for (Agent& agent : agents_) {
      AgentReport report;
      report.agent = {InstanceUid{HashOf(agent.zone)}, Incarnation{1},
                      MakeServiceUid("x"), HashOf(agent.zone)};
      report.sequence = ++sequence_;
      report.load.slots = 4;
      report.load.state = InstanceState::kServing;
      report.interval_ms = 100;
      std::vector<uint8_t> bytes;
      EncodeNodeMessage(report, bytes);
      agent.socket.Send(kPeers, bytes);
    }
  }

  /// Sends opening packets of a new flow until one reaches an agent, and
  /// returns the zone of that agent; empty if the entry refuses the flow.
  std::string PlaceFlow() {
    std::vector<uint8_t> opening = {
        0x00, 0x00, 0x00, 0x00, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64, 0xbb,
        0x01, 0x01, 0x00, 0x12, 0xc6, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11,
        0x00, 0x00, 0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x10};
    opening[4] = ++port_;
    const UdpSocket client =
        std::move(UdpSocket::Bind({0x7f000001, 0}).value());
    const absl::Time limit = absl::Now() + kLongWait;
    while (absl::Now() < limit) {
      SendReports();
      client.Send(kData, opening);
      WaitReadable({agents_[0].socket.fd(), agents_[1].socket.fd()},
                   absl::Milliseconds(20));
      for (Agent& agent : agents_) {
        while (absl::optional<Datagram> datagram = agent.socket.Receive()) {
          const NodeMessage message =
              DecodeNodeMessage(datagram->bytes).value();
          const auto* forwarded = std::get_if<ForwardedPacket>(&message);
          if (forwarded != nullptr && forwarded->packet[4] == port_)
            return agent.zone;
        }
      }
      if (absl::StrContains(counters_->ToText(), "reason=\"evacuated\""))
        return {};
    }
    return "none";
  }

  std::unique_ptr<CounterRegistry> counters_ =
      std::make_unique<CounterRegistry>();
  ReceivedSets received_;
  std::unique_ptr<PlatformServer> store_;
  std::unique_ptr<EvacuationFollower> follower_;
  std::unique_ptr<NodeProcess> node_;
  std::vector<Agent> agents_;
  uint64_t incarnation_ = 0;
  uint64_t sequence_ = 0;
  uint8_t port_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace
}  // namespace skylarkshunt
