#include "configuration_follower.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/http/http_client.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/platform/platform_client.h"
#include "skylarkshunt/process/backoff.h"

namespace skylarkshunt {
namespace {

constexpr EventId kConfigurationInForce{5151, "configuration_in_force"};
constexpr EventId kConfigurationRejected{5152, "configuration_rejected"};
constexpr EventId kStoreLost{5153, "store_lost"};
constexpr EventId kStoreRegained{5154, "store_regained"};
constexpr EventId kHistoryGone{5155, "store_history_gone"};
constexpr EventId kRegistered{5156, "node_registered"};
constexpr EventId kPeerFetchFailed{5157, "configuration_fetch_failed"};
constexpr EventId kNodeObjectsIgnored{5158, "node_objects_ignored"};

/// Kind of the objects that hold the nodes' addresses.
constexpr absl::string_view kNodesPrefix = "nodes/";
/// A watch waits this long. The connection is probed meanwhile, so that a
/// longer wait only delays the detection of a store that stops answering.
constexpr absl::Duration kWatchWait = absl::Seconds(10);
/// Time-out of a call beyond the wait of a watch.
constexpr absl::Duration kStoreTimeout = absl::Milliseconds(1500);
/// Time-out of a call while there is no configuration. A store that is silent
/// must be asked again soon after its return; one that is slow answers within
/// 250 ms.
constexpr absl::Duration kFirstTimeout = absl::Milliseconds(400);
/// Least time between two watches: changes in quick succession are taken
/// together. A tenth of the tightest bound on a change.
constexpr absl::Duration kWatchGap = absl::Milliseconds(300);
constexpr absl::Duration kFirstRetry = absl::Milliseconds(100);
constexpr absl::Duration kLastRetry = absl::Seconds(1);
/// Longest time between two tries of an entry that has no configuration.
constexpr absl::Duration kUnconfiguredRetry = absl::Milliseconds(150);
/// Time-out of fetching a configuration from another node.
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(800);
/// Least time between two fetches of an agent, which does not route and only
/// keeps the configuration for entries that start while the store is away.
constexpr absl::Duration kAgentFetchGap = absl::Seconds(1);
constexpr absl::Duration kEntryFetchGap = absl::Milliseconds(100);
/// Most announcements of a newer configuration that wait; further ones replace
/// the oldest, and nodes repeat them.
constexpr size_t kMaxRevisionNotices = 64;

struct RevisionNotice {
  uint32_t address = 0;
  Revision revision{};
};

class StoreFollower : public ConfigurationFollower {
 public:
  StoreFollower(const Options& options,
                std::unique_ptr<PlatformClient> store,
                std::unique_ptr<PlatformClient> first)
      : options_(options),
        prefix_(options.key.substr(0, options.key.find('/') + 1)),
        store_(std::move(store)),
        first_(std::move(first)),
        calls_(options.counters->Find("skylarkshunt_store_calls_total",
                                      "Calls to the object store.")),
        failures_(options.counters->Find("skylarkshunt_store_failures_total",
                                         "Calls to the object store without "
                                         "success.")),
        revision_gauge_(
            options.counters->Find("skylarkshunt_configuration_revision",
                                   "Revision of the configuration in force.",
                                   MetricType::kGauge)),
        notices_(kMaxRevisionNotices),
        backoff_(kFirstRetry, kLastRetry, options.random_seed) {}

  ~StoreFollower() override {
    stop_.Notify();
    if (store_thread_.joinable())
      store_thread_.join();
    if (peer_thread_.joinable())
      peer_thread_.join();
  }

  void Start() override {
    store_thread_ = std::thread([this] { RunStore(); });
    peer_thread_ = std::thread([this] { RunPeers(); });
  }

  void OnRevision(uint32_t address, Revision revision) override {
    notices_.PushReplacingOldest({address, revision});
  }

  std::string Document() const override {
    absl::MutexLock lock(&mutex_);
    if (routes_ == nullptr)
      return {};
    const nlohmann::json document = {{"revision", ToNumber(revision_)},
                                     {"body", body_}};
    return document.dump();
  }

  std::shared_ptr<const RouteTable> routes() const override {
    absl::MutexLock lock(&mutex_);
    return routes_;
  }

 private:
  bool is_entry() const { return options_.node.role == Role::kEntry; }

  Revision revision() const {
    absl::MutexLock lock(&mutex_);
    return revision_;
  }

  /// Puts a configuration into force unless it is older than the one held.
  void Adopt(Revision revision,
             const std::string& body,
             absl::string_view source) {
    absl::MutexLock lock(&mutex_);
    if (ToNumber(revision) <= ToNumber(revision_))
      return;
    Result<RouteTable> table = options_.read(body);
    if (!table.has_value()) {
      LogLine(kConfigurationRejected, Severity::kError)
          .Field("revision", ToNumber(revision))
          .Field("source", source)
          .Field("error", table.error().ToString());
      return;
    }
    auto routes = std::make_shared<const RouteTable>(std::move(table).value());
    if (!options_.command(ConfigurationInForce{revision, routes}))
      return;  // The data thread is behind; the next watch or notice repeats
               // it.
    revision_ = revision;
    body_ = body;
    routes_ = routes;
    revision_gauge_.Set(ToNumber(revision));
    LogLine(kConfigurationInForce)
        .Field("revision", ToNumber(revision))
        .Field("version", routes->version)
        .Field("routes", routes->routes.size())
        .Field("source", source);
  }

  void AdoptRecord(const ConfigRecord& record) {
    if (record.key == options_.key && !record.deleted)
      Adopt(record.revision, record.body, "store");
  }

  /// Counts a call and logs when the store is lost or regained. Returns whether
  /// the call succeeded.
  template <typename T>
  bool Note(const Result<T>& result, absl::string_view what) {
    calls_.Increment();
    if (result.has_value()) {
      if (store_lost_) {
        LogLine(kStoreRegained)
            .Field("call", what)
            .Field("away_ms",
                   absl::ToInt64Milliseconds(MonotonicNow() - lost_since_));
      }
      store_lost_ = false;
      backoff_.OnSuccess();
      return true;
    }
    failures_.Increment();
    if (!store_lost_) {
      lost_since_ = MonotonicNow();
      LogLine(kStoreLost, Severity::kWarning)
          .Field("call", what)
          .Field("error", result.error().ToString());
    }
    store_lost_ = true;
    return false;
  }

  void Sleep(absl::Duration time) {
    stop_.WaitForNotificationWithTimeout(time);
  }

  void RunStore() {
    bool listed = false;
    bool registered = false;
    bool nodes_read = false;
    Revision position{};
    absl::Time next_watch = absl::InfinitePast();
    while (!stop_.HasBeenNotified()) {
      // An agent reads it once, for the health check of its target.
      if (!listed) {
        listed = ListConfiguration(position);
        if (!listed && is_entry()) {
          // Without a configuration nothing is served, so that the store's
          // return must be noticed soon.
          const absl::Duration wait = backoff_.OnFailure();
          Sleep(routes() == nullptr ? backoff_.Jitter(kUnconfiguredRetry)
                                    : wait);
          continue;
        }
      }
      if (!nodes_read || !options_.is_connected()) {
        nodes_read = ReadNodes(registered);
        if (!nodes_read) {
          Sleep(backoff_.OnFailure());
          continue;
        }
        if (!options_.is_connected())
          Sleep(kLonelyInterval);
        continue;
      }
      if (!is_entry()) {
        Sleep(kAgentCheckInterval);
        continue;
      }
      const absl::Time now = MonotonicNow();
      if (next_watch > now)
        Sleep(next_watch - now);
      if (stop_.HasBeenNotified())
        return;
      next_watch = MonotonicNow() + kWatchGap;
      listed = WatchConfiguration(position);
    }
  }

  bool ListConfiguration(Revision& position) {
    PlatformClient& store = routes() == nullptr ? *first_ : *store_;
    const Result<ObjectList> list = store.List(prefix_);
    if (!Note(list, "list_configuration"))
      return false;
    for (const ConfigRecord& record : list.value().objects)
      AdoptRecord(record);
    position = list.value().revision;
    return true;
  }

  /// Returns false when the configuration must be listed again.
  bool WatchConfiguration(Revision& position) {
    const Result<WatchBatch> batch =
        store_->Watch(prefix_, position, kWatchWait);
    // An event that cannot be read would come again and again from the same
    // position.
    const bool list_again =
        !batch.has_value() &&
        (batch.error().kind == ErrorKind::kNotFound ||
         batch.error().kind == ErrorKind::kMalformedMessage);
    if (list_again) {
      calls_.Increment();
      LogLine(kHistoryGone)
          .Field("position", ToNumber(position))
          .Field("error", batch.error().ToString());
      return false;
    }
    if (!Note(batch, "watch_configuration")) {
      Sleep(backoff_.OnFailure());
      return true;
    }
    for (const ConfigRecord& record : batch.value().changes)
      AdoptRecord(record);
    position = batch.value().revision;
    return true;
  }

  /// Reads the addresses of all nodes and writes the own one where it is
  /// missing or another. Returns false when a call failed.
  bool ReadNodes(bool& registered) {
    const Result<ObjectList> list = store_->List(kNodesPrefix);
    if (!Note(list, "list_nodes"))
      return false;
    const std::string key = absl::StrCat(kNodesPrefix, options_.node.name);
    const nlohmann::json self = {{"address", options_.node.peers.ToString()},
                                 {"role", is_entry() ? "entry" : "agent"}};
    Revision held{};
    size_t ignored = 0;
    std::string first_ignored;
    for (const ConfigRecord& record : list.value().objects) {
      const nlohmann::json value =
          nlohmann::json::parse(record.body, nullptr, false);
      if (record.key == key) {
        held = record.revision;
        registered = registered || value == self;
        continue;
      }
      if (!LearnNode(value) && ++ignored == 1)
        first_ignored = record.key;
    }
    if (ignored != ignored_objects_ && ignored > 0) {
      LogLine(kNodeObjectsIgnored, Severity::kWarning)
          .Field("count", ignored)
          .Field("first", first_ignored)
          .Field("reason", "no address and role that a node writes");
    }
    ignored_objects_ = ignored;
    if (registered)
      return true;
    const Result<Revision> written = store_->Write(key, self.dump(), held);
    if (!Note(written, "register_node"))
      return false;
    registered = true;
    LogLine(kRegistered).Field("key", key).Field("value", self.dump());
    return true;
  }

  /// Returns false when the object is not one that a node writes.
  bool LearnNode(const nlohmann::json& value) {
    if (!value.is_object())
      return false;
    const auto address = value.find("address");
    const auto role = value.find("role");
    if (address == value.end() || !address->is_string() ||
        role == value.end() || (*role != "entry" && *role != "agent")) {
      return false;
    }
    const Result<Endpoint> endpoint =
        Endpoint::Parse(address->get_ref<const std::string&>());
    if (!endpoint.has_value())
      return false;
    const Role parsed = *role == "entry" ? Role::kEntry : Role::kAgent;
    // A full ring only delays the address until the next list.
    options_.command(NodeAddress{endpoint.value().address, parsed});
    return true;
  }

  void RunPeers() {
    while (!stop_.HasBeenNotified()) {
      const absl::optional<RevisionNotice> notice =
          notices_.Pop(kPeerStopCheck);
      if (!notice.has_value() ||
          ToNumber(notice->revision) <= ToNumber(revision())) {
        continue;
      }
      Fetch(*notice);
      Sleep(is_entry() ? kEntryFetchGap : kAgentFetchGap);
    }
  }

  void Fetch(const RevisionNotice& notice) {
    HttpCall call;
    call.server = {notice.address, options_.node.peers.port};
    call.target = "/configuration";
    call.timeout = kPeerTimeout;
    call.max_answer_bytes = kMaxDocumentBytes;
    const Result<HttpAnswer> answer = Call(call);
    constexpr int kOk = 200;
    if (!answer.has_value() || answer.value().status != kOk) {
      LogLine(kPeerFetchFailed, Severity::kWarning)
          .Field("node", call.server.ToString())
          .Field("error", answer.has_value()
                              ? absl::StrCat("status ", answer.value().status)
                              : answer.error().ToString());
      return;
    }
    const nlohmann::json document =
        nlohmann::json::parse(answer.value().body, nullptr, false);
    const bool valid = document.is_object() && document.contains("revision") &&
                       document["revision"].is_number_unsigned() &&
                       document.contains("body") &&
                       document["body"].is_string();
    if (!valid) {
      LogLine(kPeerFetchFailed, Severity::kWarning)
          .Field("node", call.server.ToString())
          .Field("error", "the answer holds no configuration");
      return;
    }
    Adopt(Revision{document["revision"].get<uint64_t>()},
          document["body"].get<std::string>(), call.server.ToString());
  }

  /// Time between two lists while no other node is heard.
  static constexpr absl::Duration kLonelyInterval = absl::Seconds(1);
  /// Time between two looks of an agent whether it hears other nodes.
  static constexpr absl::Duration kAgentCheckInterval = absl::Seconds(2);
  /// Time between two looks whether the thread is to end.
  static constexpr absl::Duration kPeerStopCheck = absl::Seconds(1);
  /// Largest document of another node: an object of the store as a JSON string,
  /// in which each byte may need two.
  static constexpr size_t kMaxDocumentBytes = 2'200'000;

  const Options options_;
  /// Kind of the configuration's object, with its slash.
  const std::string prefix_;
  const std::unique_ptr<PlatformClient> store_;
  /// For the first configuration.
  const std::unique_ptr<PlatformClient> first_;
  Counter& calls_;
  Counter& failures_;
  Counter& revision_gauge_;
  BoundedRing<RevisionNotice> notices_;
  // The next four belong to the store's thread.
  size_t ignored_objects_ = 0;
  Backoff backoff_;
  bool store_lost_ = false;
  absl::Time lost_since_;
  mutable absl::Mutex mutex_;
  Revision revision_ ABSL_GUARDED_BY(mutex_){};
  std::string body_ ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<const RouteTable> routes_ ABSL_GUARDED_BY(mutex_);
  absl::Notification stop_;
  std::thread store_thread_;
  std::thread peer_thread_;
};

}  // namespace

Result<std::unique_ptr<ConfigurationFollower>> ConfigurationFollower::Create(
    const Options& options) {
  PlatformClient::Options client;
  client.platform = options.node.store;
  client.timeout = kStoreTimeout;
  BOOST_OUTCOME_TRY(store, PlatformClient::Create(client));
  client.timeout = kFirstTimeout;
  BOOST_OUTCOME_TRY(first, PlatformClient::Create(client));
  return std::unique_ptr<ConfigurationFollower>(std::make_unique<StoreFollower>(
      options, std::move(store), std::move(first)));
}

}  // namespace skylarkshunt
