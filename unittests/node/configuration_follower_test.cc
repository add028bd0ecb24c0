#include "configuration_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "platform/configuration_document.h"
#include "received_configurations.h"
#include "skylarkshunt/documents/packed_document.h"
#include "skylarkshunt/forwarding/route_table_codec.h"
#include "skylarkshunt/http/http_client.h"
#include "skylarkshunt/http/http_server.h"
#include "standins/platform/platform_server.h"

namespace skylarkshunt {
namespace {

constexpr char kKey[] = "config/main";

class ConfigurationFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationFollowerTest);
  CPPUNIT_TEST(ChangesAreFollowedInOrder);
  CPPUNIT_TEST(UnresponsiveStoreIsQueriedAgainWithinItsTimeout);
  CPPUNIT_TEST(LostWatchIsFoundWithinTheChangeLimit);
  CPPUNIT_TEST(WatchLostDuringAnOutageIsFoundWithinTheChangeLimit);
  CPPUNIT_TEST(ChangeThatAWatchDidNotSeeIsNotSkipped);
  CPPUNIT_TEST(ConfigurationIsFollowedWhileNodesCannotBeListed);
  CPPUNIT_TEST(ConfigurationThatTheDataThreadRefusedIsReadAgain);
  CPPUNIT_TEST(ChangesThatExceedAnAnswerAreListed);
  CPPUNIT_TEST(NodeRejectedByStoreFetchesFromPeer);
  CPPUNIT_TEST(ExpiredHistoryCausesNewList);
  CPPUNIT_TEST(MalformedConfigurationLeavesPreviousOneInForce);
  CPPUNIT_TEST(UnreadableRoutesAreCountedOncePerRevision);
  CPPUNIT_TEST(InvalidNodeObjectsAreIgnored);
  CPPUNIT_TEST(OddObjectsOfAnotherWriterLeaveTheOthersInUse);
  CPPUNIT_TEST(OddConfigurationLeavesTheLastOneInForce);
  CPPUNIT_TEST(OddObjectUnderTheOwnNameIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    PlatformServer::Options options;
    options.listen = Endpoint::Parse("127.0.0.1:0").value();
    store_ = std::move(PlatformServer::Start(options).value());
    Write(1);
  }

  void tearDown() override {
    // Ends the pending watch; otherwise the follower's destructor waits for it.
    store_->core().Stop();
    follower_.reset();
    store_.reset();
  }

  void ChangesAreFollowedInOrder() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    Write(4);
    CPPUNIT_ASSERT(received_.Await(4));
    Write(9);
    CPPUNIT_ASSERT(received_.Await(9));
    CPPUNIT_ASSERT(follower_->routes()->version == 9);
    const std::vector<uint64_t> versions = received_.versions();
    CPPUNIT_ASSERT(std::is_sorted(versions.begin(), versions.end()));
  }

  // Guards against a configuration with an unreadable route that is rejected as
  // a whole, and against a route that is left out without a report.
  void UnreadableRoutesAreCountedOncePerRevision() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    // The data thread refuses it once, so that it is read twice.
    received_.RefuseNext();
    Write(R"({"version":2,"routes":[{},7,{"host":"198.18.0.1",)"
          R"("path-prefix":"/80/","kind":"upload","service":"x"}]})");
    CPPUNIT_ASSERT(received_.Await(2));
    Write(3);
    CPPUNIT_ASSERT(received_.Await(3));
    CPPUNIT_ASSERT(absl::StrContains(counters_.ToText(),
                                     "configuration_values_ignored_total 2\n"));
  }

  // Guards against an entry that waits for the answer of an unresponsive store
  // long after the store has recovered. The usual timeout of a call is 1.5 s.
  void UnresponsiveStoreIsQueriedAgainWithinItsTimeout() {
    store_->core().SetFault({FaultMode::kSlow, kLongWait, 1});
    const absl::Time start = absl::Now();
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    CPPUNIT_ASSERT(absl::Now() - start < absl::Milliseconds(1500));
  }

  // Guards against changes that come late because a call that the store lost
  // is trusted for longer than the time limit of a change (review case 1).
  void LostWatchIsFoundWithinTheChangeLimit() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    AwaitWatches(1);
    store_->core().SetFault({FaultMode::kLoseWatches, absl::ZeroDuration(), 1});
    Write(2);
    CPPUNIT_ASSERT(received_.Await(2, NodeOptions().change_limit));
  }

  // Guards against the same delay after an outage in which the retried calls
  // are lost, too.
  void WatchLostDuringAnOutageIsFoundWithinTheChangeLimit() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    AwaitWatches(1);
    store_->core().SetFault({FaultMode::kLoseWatches});
    AwaitWatches(3);
    store_->core().SetFault(Fault{});
    Write(2);
    CPPUNIT_ASSERT(received_.Await(2, NodeOptions().change_limit));
  }

  // Guards against a confirmed change that is skipped until the next one, since
  // a watch that ended without it named a revision beyond it (issue 35).
  void ChangeThatAWatchDidNotSeeIsNotSkipped() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    AwaitWatches(1);
    store_->core().SetFault({FaultMode::kDeafenWatches});
    Write(2);
    const uint64_t begun = AwaitWatches(2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, received_.versions().size());
    store_->core().SetFault(Fault{});
    CPPUNIT_ASSERT(received_.Await(2, NodeOptions().change_limit));
    // The store has dropped its history, and the position has caught up.
    AwaitWatches(begun + 4);
    Write(3);
    CPPUNIT_ASSERT(received_.Await(3, NodeOptions().change_limit));
  }

  // Guards against an entry that stops following the configuration because the
  // list of nodes fails or no other node is responsive.
  void ConfigurationIsFollowedWhileNodesCannotBeListed() {
    const auto proxy = StartProxy([this](const HttpRequest& request) {
      HttpResponse response;
      const bool nodes = absl::StrContains(request.target, "/objects/nodes");
      response.status = nodes ? 503 : 200;
      if (!nodes)
        response.body = Forward(request);
      return response;
    });
    Follow(proxy->local().front());
    CPPUNIT_ASSERT(received_.Await(1));
    Write(2);
    CPPUNIT_ASSERT(received_.Await(2, NodeOptions().change_limit));
  }

  // Guards against a watch that fails again and again at the same position,
  // because large configurations in quick succession exceed an answer.
  void ChangesThatExceedAnAnswerAreListed() {
    constexpr size_t kTooLarge = 5'000'000;
    const auto proxy = StartProxy([this](const HttpRequest& request) {
      HttpResponse response;
      response.body = absl::StrContains(request.target, "watch=")
                          ? std::string(kTooLarge, ' ')
                          : Forward(request);
      return response;
    });
    Follow(proxy->local().front());
    CPPUNIT_ASSERT(received_.Await(1));
    Write(2);
    CPPUNIT_ASSERT(received_.Await(2, NodeOptions().change_limit));
  }

  // Guards against a confirmed configuration that is skipped because the queue
  // of the data thread was full when it arrived.
  void ConfigurationThatTheDataThreadRefusedIsReadAgain() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    received_.RefuseNext();
    Write(2);
    CPPUNIT_ASSERT(received_.Await(2, NodeOptions().change_limit));
  }

  void NodeRejectedByStoreFetchesFromPeer() {
    static constexpr ConfigurationId kOffered{6, Revision{77}};
    store_->core().SetFault({FaultMode::kDown});
    RouteTable table;
    table.version = kOffered.version;
    HttpServer::Options http;
    http.listeners.push_back(
        {Endpoint::Parse("127.0.0.2:0").value(), [&table](const HttpRequest&) {
           HttpResponse response;
           response.body = EncodeChunk(
               PackDocument(kOffered, EncodeRouteTable(table)).value(), 0);
           return response;
         }});
    const auto other = std::move(HttpServer::Start(std::move(http)).value());
    const Endpoint address = other->local().front();
    peer_port_ = address.port;
    Follow();
    follower_->OnOffer(address.address, kOffered);
    CPPUNIT_ASSERT(received_.Await(6));
    // The follower serves the fetched configuration to peers in turn.
    const HttpResponse served_part = follower_->AnswerPart("6/77/0");
    CPPUNIT_ASSERT(DecodeChunk(served_part.body).value().id == kOffered);
    for (const char* part : {"77", "77/0", "x/77/0", "6/x/0", "6/77/x"})
      CPPUNIT_ASSERT_EQUAL(400, follower_->AnswerPart(part).status);
    // When the store is back, its older configuration is not applied.
    store_->core().SetFault(Fault{});
    for (int i = 0; i < 100; ++i)
      store_->core().Write("other/x" + std::to_string(i), "{}", 0);
    Write(8);
    CPPUNIT_ASSERT(received_.Await(8));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, received_.versions().size());
  }

  void ExpiredHistoryCausesNewList() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    store_->core().SetFault(
        {FaultMode::kExpireWatches, absl::ZeroDuration(), 1});
    Write(2);
    CPPUNIT_ASSERT(received_.Await(2));
  }

  void MalformedConfigurationLeavesPreviousOneInForce() {
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    Write("{\"version\":\"x\"}");
    Write(3);
    CPPUNIT_ASSERT(received_.Await(3));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, received_.versions().size());
  }

  // Guards against nodes that end, or that no longer follow the store, because
  // another writer left an object that cannot be read in the lists of nodes and
  // of the configuration.
  void OddObjectsOfAnotherWriterLeaveTheOthersInUse() {
    for (const std::string& spec :
         {std::string(250'000, '[') + std::string(250'000, ']'),
          std::string(R"({"weight":1e999})"),
          std::string(R"({"address":"10.1.0.9:70000","role":"agent"})")}) {
      const auto proxy = StartProxy([this, &spec](const HttpRequest& request) {
        HttpResponse response;
        response.body = WithObject(Forward(request), "another", spec);
        return response;
      });
      Follow(proxy->local().front());
      CPPUNIT_ASSERT(received_.Await(written_));
      // The object's revision is beyond that of the store. The second change
      // shows that the watch does not go on from there.
      for (int change = 0; change < 2; ++change) {
        Write(written_ + 1);
        CPPUNIT_ASSERT(received_.Await(written_, NodeOptions().change_limit));
      }
      follower_.reset();
    }
    CPPUNIT_ASSERT(received_.nodes().empty());
  }

  // Guards against a node that tries to register without end, because an object
  // that it cannot read has its name.
  void OddObjectUnderTheOwnNameIsReplaced() {
    constexpr char kSpec[] = "odd";
    store_->core().Write("nodes/edge-1", absl::StrCat("\"", kSpec, "\""), 0);
    const auto proxy = StartProxy([this, &kSpec](const HttpRequest& request) {
      HttpResponse response;
      response.body = absl::StrReplaceAll(Forward(request), {{kSpec, "\xff"}});
      return response;
    });
    Follow(proxy->local().front());
    const absl::Time limit = absl::Now() + kLongWait;
    const auto registered = [this] {
      return absl::StrContains(store_->core().Read("nodes/edge-1").body,
                               "127.0.0.1");
    };
    while (!registered() && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(5));
    CPPUNIT_ASSERT(registered());
  }

  void OddConfigurationLeavesTheLastOneInForce() {
    const std::string deep =
        std::string(250'000, '[') + std::string(250'000, ']');
    std::atomic<bool> is_odd{false};
    const auto proxy = StartProxy([&](const HttpRequest& request) {
      HttpResponse response;
      response.body = Forward(request);
      if (is_odd.exchange(false))
        response.body = WithObject(response.body, "main", deep);
      return response;
    });
    Follow(proxy->local().front());
    CPPUNIT_ASSERT(received_.Await(1));
    is_odd = true;
    Write(2);
    CPPUNIT_ASSERT(received_.Await(2, NodeOptions().change_limit));
    CPPUNIT_ASSERT(follower_->routes()->version == 2);
  }

  // Guards against registering nodes that do not exist, and against a reader
  // that fails on objects of other writers.
  void InvalidNodeObjectsAreIgnored() {
    const std::vector<std::string> foreign = {
        "{}",
        "[1]",
        R"({"address":7,"role":"entry"})",
        R"({"address":"10.1.0.9:7720"})",
        R"({"address":"10.1.0.9:7720","role":"king"})",
        R"({"address":"10.1.0.9:7720","role":null})",
        R"({"address":"ten","role":"agent"})",
    };
    for (size_t i = 0; i < foreign.size(); ++i)
      store_->core().Write("nodes/x" + std::to_string(i), foreign[i], 0);
    store_->core().Write("nodes/good",
                         R"({"address":"10.1.0.8:7720","role":"agent"})", 0);
    Follow();
    CPPUNIT_ASSERT(received_.Await(1));
    const absl::Time limit = absl::Now() + kLongWait;
    while (received_.nodes().empty() && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(5));
    CPPUNIT_ASSERT(received_.nodes() == std::vector<uint32_t>{0x0a010008});
  }

 private:
  /// Waits until the store has got `count` watches. Returns their number.
  uint64_t AwaitWatches(uint64_t count) {
    const absl::Time limit = absl::Now() + kLongWait;
    const auto watches = [this] {
      return store_->core()
          .counts()
          .by_kind[static_cast<size_t>(CallKind::kWatch)];
    };
    while (watches() < count && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(5));
    CPPUNIT_ASSERT(watches() >= count);
    return watches();
  }

  /// Starts an HTTP server between the follower and the store.
  static std::unique_ptr<HttpServer> StartProxy(HttpServer::Handler handler) {
    HttpServer::Options http;
    http.listeners.push_back(
        {Endpoint::Parse("127.0.0.1:0").value(), std::move(handler)});
    return std::move(HttpServer::Start(std::move(http)).value());
  }

  /// Returns `answer` with one more object before the others.
  static std::string WithObject(std::string answer,
                                absl::string_view name,
                                absl::string_view spec) {
    const std::string object = absl::StrCat(
        R"({"meta":{"name":")", name, R"(","rev":999999},"spec":)", spec, "}");
    for (const absl::string_view list : {R"("items":[)", R"("events":[)"}) {
      const size_t at = answer.find(std::string(list));
      if (at == std::string::npos)
        continue;
      const size_t begin = at + list.size();
      const absl::string_view comma = answer[begin] == ']' ? "" : ",";
      answer.insert(begin, list == R"("events":[)"
                               ? absl::StrCat(R"({"object":)", object,
                                              R"(,"removed":false})", comma)
                               : absl::StrCat(object, comma));
    }
    return answer;
  }

  /// Returns the store's answer to a request.
  std::string Forward(const HttpRequest& request) const {
    HttpCall call;
    call.server = store_->address();
    call.method = std::string(request.method);
    call.target = std::string(request.target);
    call.body = std::string(request.body);
    call.timeout = kLongWait;
    const Result<HttpAnswer> answer = Call(call);
    return answer.has_value() ? answer.value().body : std::string();
  }

  void Follow() { Follow(store_->address()); }

  void Follow(Endpoint store) {
    ConfigurationFollower::Options options;
    options.node.role = Role::kEntry;
    options.node.name = "edge-1";
    options.node.store = store;
    options.node.peers = {0x7f000001, peer_port_};
    options.key = kKey;
    options.read = ParseConfiguration;
    options.counters = &counters_;
    options.command = [this](const DataCommand& command) {
      return received_.Take(command);
    };
    options.is_connected = [] { return true; };
    options.entry_rank = [] { return size_t{0}; };
    follower_ = std::move(ConfigurationFollower::Create(options).value());
    follower_->Start();
  }

  /// Replaces the configuration in the store by `version`.
  void Write(int version) {
    Write(MakeConfiguration(version));
    written_ = version;
  }

  /// Replaces the configuration in the store by `document`. The new revision is
  /// read from the answer: the follower registers its node in between, which
  /// takes a revision too.
  void Write(const std::string& document) {
    const PlatformAnswer answer =
        store_->core().Write(kKey, document, revision_);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    revision_ = std::stoull(Rev(answer.body));
  }

  static std::string Rev(const std::string& object) {
    const size_t at = object.find("\"rev\":") + 6;
    return object.substr(at, object.find_first_not_of("0123456789", at) - at);
  }

  CounterRegistry counters_;
  ReceivedConfigurations received_;
  uint64_t revision_ = 0;
  int written_ = 0;
  uint16_t peer_port_ = 1;
  std::unique_ptr<PlatformServer> store_;
  std::unique_ptr<ConfigurationFollower> follower_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFollowerTest);

}  // namespace
}  // namespace skylarkshunt
