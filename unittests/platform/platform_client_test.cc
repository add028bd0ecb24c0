#include "skylarkshunt/platform/platform_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "standins/platform/platform_server.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kLongWait = absl::Seconds(30);
constexpr char kKey[] = "services/dispatch";

std::unique_ptr<PlatformServer> StartServer(
    const PlatformCore::Options& core = PlatformCore::Options()) {
  PlatformServer::Options options;
  options.listen = Endpoint::Parse("127.0.0.1:0").value();
  options.core = core;
  return std::move(PlatformServer::Start(options).value());
}

std::unique_ptr<PlatformClient> Connect(
    const PlatformServer& server,
    absl::Duration timeout = absl::Seconds(20)) {
  return std::move(PlatformClient::Create({server.address(), timeout}).value());
}

class PlatformClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformClientTest);
  CPPUNIT_TEST(ConditionalChangesAreChecked);
  CPPUNIT_TEST(LostAnswerIsOutcomeUnknownAndNotRepeated);
  CPPUNIT_TEST(WriteOnSlowPlatformIsOutcomeUnknown);
  CPPUNIT_TEST(DownAndRefusedAreUnavailable);
  CPPUNIT_TEST(WatchWakesOnChange);
  CPPUNIT_TEST(ExpiredWatchIsNotFound);
  CPPUNIT_TEST(ListIsReadToItsLastPage);
  CPPUNIT_TEST(LimitedCallsAreRejected);
  CPPUNIT_TEST(BadKeysAndBodiesAreRejected);
  CPPUNIT_TEST(RevisionsAfterARestoreFollowAllOfBefore);
  CPPUNIT_TEST(WatchFromBeforeARestoreNeedsAList);
  CPPUNIT_TEST(ConditionOfBeforeARestoreProvesNothing);
  CPPUNIT_TEST(ListAcrossARestoreFails);
  CPPUNIT_TEST(StoreWithoutEpochsIsFollowedAsBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against overwriting another operator's change.
  void ConditionalChangesAreChecked() {
    auto server = StartServer();
    auto client = Connect(*server);
    const std::string body = "{\"a\": \"\\u00e9 \\\"x\\\"\"}";
    const Revision first = client->Write(kKey, body, Revision{}).value();
    CPPUNIT_ASSERT(nlohmann::json::parse(body) ==
                   nlohmann::json::parse(client->Read(kKey).value().body));
    CPPUNIT_ASSERT(client->Write(kKey, "{}", Revision{}).error().kind ==
                   ErrorKind::kConflict);
    const Revision second = client->Write(kKey, "{}", first).value();
    CPPUNIT_ASSERT(ToNumber(second) > ToNumber(first));
    CPPUNIT_ASSERT(client->Write(kKey, "{}", first).error().kind ==
                   ErrorKind::kConflict);
    CPPUNIT_ASSERT(client->Remove(kKey, first).error().kind ==
                   ErrorKind::kConflict);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         client->List("services/").value().objects.size());
    CPPUNIT_ASSERT(client->Remove(kKey, second).has_value());
    CPPUNIT_ASSERT(client->Remove(kKey, second).error().kind ==
                   ErrorKind::kNotFound);
    CPPUNIT_ASSERT(client->Read(kKey).error().kind == ErrorKind::kNotFound);
  }

  // Guards against repeating a write that took effect.
  void LostAnswerIsOutcomeUnknownAndNotRepeated() {
    auto server = StartServer();
    auto client = Connect(*server);
    server->core().SetFault({FaultMode::kLoseAnswers});
    CPPUNIT_ASSERT(client->Write(kKey, "{}", Revision{}).error().kind ==
                   ErrorKind::kOutcomeUnknown);
    const size_t writes = static_cast<size_t>(CallKind::kWrite);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server->core().counts().by_kind[writes]);
    const ConfigRecord record = client->Read(kKey).value();
    CPPUNIT_ASSERT(client->Remove(kKey, record.revision).error().kind ==
                   ErrorKind::kOutcomeUnknown);
    CPPUNIT_ASSERT(client->Read(kKey).error().kind == ErrorKind::kNotFound);
  }

  void WriteOnSlowPlatformIsOutcomeUnknown() {
    auto server = StartServer();
    auto client = Connect(*server, absl::Milliseconds(200));
    server->core().SetFault({FaultMode::kSlow, kLongWait});
    CPPUNIT_ASSERT(client->Write(kKey, "{}", Revision{}).error().kind ==
                   ErrorKind::kOutcomeUnknown);
    CPPUNIT_ASSERT(client->Read(kKey).error().kind == ErrorKind::kUnavailable);
  }

  void DownAndRefusedAreUnavailable() {
    auto server = StartServer();
    auto client = Connect(*server);
    server->core().SetFault({FaultMode::kDown});
    CPPUNIT_ASSERT(client->Write(kKey, "{}", Revision{}).error().kind ==
                   ErrorKind::kUnavailable);
    CPPUNIT_ASSERT(client->Read(kKey).error().kind == ErrorKind::kUnavailable);
    server.reset();
    // Nothing was sent, so the outcome is known.
    CPPUNIT_ASSERT(client->Write(kKey, "{}", Revision{}).error().kind ==
                   ErrorKind::kUnavailable);
  }

  void WatchWakesOnChange() {
    auto server = StartServer();
    auto client = Connect(*server);
    const Revision first = client->Write(kKey, "{}", Revision{}).value();
    std::thread writer([&server] {
      Connect(*server)->Write("other/x", "{}", Revision{}).value();
      Connect(*server)->Write("services/registre", "{}", Revision{}).value();
    });
    Result<WatchBatch> batch = client->Watch("services/", first, kLongWait);
    writer.join();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, batch.value().changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("services/registre"),
                         batch.value().changes[0].key);
    // A watch that times out without a change is not an error.
    batch = client->Watch("services/", batch.value().revision,
                          absl::Milliseconds(1));
    CPPUNIT_ASSERT(batch.value().changes.empty());
  }

  // Guards against missing changes after a long gap.
  void ExpiredWatchIsNotFound() {
    PlatformCore::Options core;
    core.max_log = 2;
    auto server = StartServer(core);
    auto client = Connect(*server);
    const Revision first = client->Write(kKey, "{}", Revision{}).value();
    for (const char* key : {"services/a", "services/b", "services/c"})
      client->Write(key, "{}", Revision{}).value();
    CPPUNIT_ASSERT(client->Watch("services/", first, kLongWait).error().kind ==
                   ErrorKind::kNotFound);
    const Revision now = client->List("services/").value().revision;
    server->core().SetFault(
        {FaultMode::kExpireWatches, absl::ZeroDuration(), 1});
    CPPUNIT_ASSERT(client->Watch("services/", now, kLongWait).error().kind ==
                   ErrorKind::kNotFound);
    CPPUNIT_ASSERT(
        client->Watch("services/", now, absl::ZeroDuration()).has_value());
  }

  // Guards against a list that contains only the first page of the store.
  void ListIsReadToItsLastPage() {
    PlatformCore::Options core;
    core.page_size = 2;
    auto server = StartServer(core);
    auto client = Connect(*server);
    for (const char* key : {"nodes/a", "nodes/b", "nodes/c", "nodes/d", "x/y"})
      client->Write(key, "{}", Revision{}).value();
    const ObjectList list =
        client->List("nodes/", ReadFreshness::kMayBeStale).value();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, list.objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("nodes/d"), list.objects.back().key);
  }

  void LimitedCallsAreRejected() {
    PlatformCore::Options core;
    core.writes_per_second = 0;
    auto server = StartServer(core);
    CPPUNIT_ASSERT(
        Connect(*server)->Write(kKey, "{}", Revision{}).error().kind ==
        ErrorKind::kRateLimited);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server->core().counts().rejected);
  }

  void BadKeysAndBodiesAreRejected() {
    auto server = StartServer();
    auto client = Connect(*server);
    for (const char* key :
         {"", "services/a b", "a?b", "a\r\nX: y", "services", "a/b/c"}) {
      CPPUNIT_ASSERT(client->Read(key).error().kind ==
                     ErrorKind::kInvalidArgument);
    }
    CPPUNIT_ASSERT(client->Write(kKey, std::string(1'100'000, ' '), Revision{})
                       .error()
                       .kind == ErrorKind::kInvalidArgument);
  }

  // Guards against taking a reissued revision for the change that had it
  // before.
  void RevisionsAfterARestoreFollowAllOfBefore() {
    auto server = StartServer();
    auto client = Connect(*server);
    client->Write(kKey, "1", Revision{}).value();
    server->core().TakeCopy();
    const Revision first = client->Read(kKey).value().revision;
    const Revision lost = client->Write(kKey, "2", first).value();
    server->core().Restore();
    const ConfigRecord restored = client->Read(kKey).value();
    const ObjectList list = client->List("services/").value();
    CPPUNIT_ASSERT(list.epoch == Epoch{2});
    CPPUNIT_ASSERT(list.objects[0].revision == restored.revision);
    CPPUNIT_ASSERT(ToNumber(restored.revision) > ToNumber(lost));
    const Revision written =
        client->Write(kKey, "3", restored.revision).value();
    CPPUNIT_ASSERT(CountOf(written) == CountOf(lost));
    CPPUNIT_ASSERT(ToNumber(written) > ToNumber(restored.revision));
  }

  // Guards against a change that is skipped because the restored store has
  // passed the position of the watch, and against a position that stays beyond
  // the restored store.
  void WatchFromBeforeARestoreNeedsAList() {
    auto server = StartServer();
    auto client = Connect(*server);
    server->core().TakeCopy();
    const Revision position = client->Write(kKey, "1", Revision{}).value();
    server->core().Restore();
    CPPUNIT_ASSERT(Watch(*client, position).error().kind ==
                   ErrorKind::kNotFound);
    for (const char* key : {"services/a", "services/b"})
      client->Write(key, "{}", Revision{}).value();
    CPPUNIT_ASSERT(Watch(*client, position).error().kind ==
                   ErrorKind::kNotFound);
    const Revision listed = client->List("services/").value().revision;
    CPPUNIT_ASSERT(Watch(*client, listed).value().epoch == Epoch{2});
    // A watch that waits during a restore.
    std::thread restore([&server] { server->core().Restore(); });
    CPPUNIT_ASSERT(!client->Watch("services/", listed, kLongWait).has_value());
    restore.join();
    CPPUNIT_ASSERT(Watch(*client, listed).error().kind == ErrorKind::kNotFound);
  }

  // Guards against a conditional change that counts as done, although its
  // revision was given out again to another change.
  void ConditionOfBeforeARestoreProvesNothing() {
    auto server = StartServer();
    auto client = Connect(*server);
    server->core().TakeCopy();
    const Revision mine = client->Write(kKey, "1", Revision{}).value();
    server->core().Restore();
    const Revision other = client->Write(kKey, "2", Revision{}).value();
    CPPUNIT_ASSERT_EQUAL(CountOf(mine), CountOf(other));
    CPPUNIT_ASSERT(client->Write(kKey, "3", mine).error().kind ==
                   ErrorKind::kOutcomeUnknown);
    const Revision found = client->Read(kKey).value().revision;
    CPPUNIT_ASSERT(client->Remove(kKey, MakeRevision(Epoch{1}, CountOf(found)))
                       .error()
                       .kind == ErrorKind::kOutcomeUnknown);
  }

  // Guards against a list that joins objects of two copies of the store.
  void ListAcrossARestoreFails() {
    PlatformCore::Options core;
    core.page_size = 1;
    auto server = StartServer(core);
    auto client = Connect(*server);
    for (const char* key : {"nodes/a", "nodes/b"})
      client->Write(key, "{}", Revision{}).value();
    server->core().TakeCopy();
    server->core().RestoreAfterNextCall();
    CPPUNIT_ASSERT(client->List("nodes/").error().kind ==
                   ErrorKind::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         client->List("nodes/").value().objects.size());
  }

  void StoreWithoutEpochsIsFollowedAsBefore() {
    PlatformCore::Options core;
    core.reports_epoch = false;
    auto server = StartServer(core);
    auto client = Connect(*server);
    const Revision first = client->Write(kKey, "1", Revision{}).value();
    CPPUNIT_ASSERT(first == Revision{1});
    client->Write(kKey, "2", first).value();
    const ObjectList list = client->List("services/").value();
    CPPUNIT_ASSERT(list.revision == Revision{2});
    CPPUNIT_ASSERT(!list.epoch.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         Watch(*client, first).value().changes.size());
    // The header is missing in a single answer.
    const Revision named = MakeRevision(Epoch{3}, 1);
    CPPUNIT_ASSERT(Watch(*client, named).value().revision ==
                   MakeRevision(Epoch{3}, 2));
  }

 private:
  static Result<WatchBatch> Watch(PlatformClient& client, Revision after) {
    return client.Watch("services/", after, absl::Milliseconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

}  // namespace
}  // namespace skylarkshunt
