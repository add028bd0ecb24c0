#include "configuration_follower.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/documents/document_download.h"
#include "skylarkshunt/documents/packed_document.h"
#include "skylarkshunt/forwarding/route_table_codec.h"
#include "skylarkshunt/http/http_client.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/platform/platform_client.h"
#include "skylarkshunt/process/backoff.h"
#include "skylarkshunt/process/watch_position.h"
#include "skylarkshunt/process/watch_schedule.h"
#include "store_call_log.h"

namespace skylarkshunt {
namespace {

constexpr EventId kConfigurationInForce{5151, "configuration_in_force"};
constexpr EventId kConfigurationRejected{5152, "configuration_rejected"};
constexpr EventId kRegistered{5156, "node_registered"};
constexpr EventId kPeerFetchFailed{5157, "configuration_fetch_failed"};
constexpr EventId kNodeObjectsIgnored{5158, "node_objects_ignored"};
constexpr EventId kPackingFailed{5159, "configuration_packing_failed"};
constexpr EventId kWatchAnswered{5161, "store_watch_answered"};
constexpr EventId kRevisionOffered{5162, "configuration_offered"};
constexpr EventId kValuesIgnored{5169, "configuration_values_ignored"};

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Kind of the objects that hold the nodes' addresses.
constexpr absl::string_view kNodesPrefix = "nodes/";
/// Timeout of a call. That of a watch follows from WatchSchedule.
constexpr absl::Duration kStoreTimeout = absl::Milliseconds(1500);
/// Timeout of a call while there is no configuration. It is short because an
/// unresponsive store must be queried again soon after it recovers. A slow
/// store answers within 250 ms.
constexpr absl::Duration kInitialTimeout = absl::Milliseconds(400);
/// Least time between two watches, which batches changes in quick succession. A
/// tenth of the tightest bound on a change.
constexpr absl::Duration kMinWatchInterval = absl::Milliseconds(300);
/// Time after which the revision that an answer to a watch names is trusted. A
/// store may answer watches without the changes of about a second before it
/// drops its history.
constexpr absl::Duration kSettleTime = absl::Seconds(3);
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(1);
/// Longest time between two attempts of an entry that has no configuration.
constexpr absl::Duration kMaxUnconfiguredRetryDelay = absl::Milliseconds(150);
/// Timeout for fetching a part of a configuration from a peer. The part takes
/// 32 ms on a link of 2 Mbit/s, and an instance with a small share of a core
/// may be stalled for about 100 ms.
constexpr absl::Duration kPeerFetchTimeout = absl::Milliseconds(800);
/// Longest time without progress within an answer of the store.
constexpr absl::Duration kStoreProgressTimeout = absl::Milliseconds(1000);
/// Bytes in that time which count as progress: a small part of the slowest
/// link. A connection that trickles must not hold back a change.
constexpr size_t kStoreProgressBytes = 16'384;
/// Least time between two documents that an agent fetches. An agent does not
/// route. It keeps the configuration only for entries that start while the
/// store is unavailable.
constexpr absl::Duration kAgentFetchInterval = absl::Seconds(1);
constexpr absl::Duration kEntryFetchInterval = absl::Milliseconds(100);
/// Largest number of queued announcements of newer configurations. Further ones
/// replace the oldest, and nodes repeat their announcements.
constexpr size_t kMaxRevisionNotices = 64;

struct RevisionNotice {
  uint32_t address = 0;
  Revision revision{};
};

class StoreFollower : public ConfigurationFollower {
 public:
  StoreFollower(const Options& options,
                const WatchSchedule& watches,
                std::unique_ptr<PlatformClient> store,
                std::unique_ptr<PlatformClient> watch,
                std::unique_ptr<PlatformClient> first,
                Wakeup stop)
      : options_(options),
        prefix_(options.key.substr(0, options.key.find('/') + 1)),
        store_(std::move(store)),
        watch_store_(std::move(watch)),
        initial_store_(std::move(first)),
        revision_gauge_(
            options.counters->Find("skylarkshunt_configuration_revision",
                                   "Revision of the configuration in force.",
                                   MetricType::kGauge)),
        parts_sent_(options.counters->Find(
            "skylarkshunt_configuration_parts_sent_total",
            "Parts of the configuration handed to other nodes.")),
        parts_refused_(options.counters->Find(
            "skylarkshunt_configuration_parts_refused_total",
            "Parts not handed on, since the link is for callers first.")),
        parts_received_(options.counters->Find(
            "skylarkshunt_configuration_parts_received_total",
            "Parts of the configuration that other nodes sent.")),
        values_ignored_(options.counters->Find(
            "skylarkshunt_configuration_values_ignored_total",
            "Routes, services and values of configurations of the store that "
            "could not be read.")),
        notices_(kMaxRevisionNotices),
        download_(options.random_seed),
        calls_(*options.counters),
        watches_(watches),
        backoff_(kInitialRetryDelay, kMaxRetryDelay, options.random_seed),
        budget_(options.node.link_bytes_per_second),
        stop_(std::move(stop)) {}

  ~StoreFollower() override {
    stopping_.store(true);
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

  HttpResponse AnswerPart(absl::string_view part) override {
    HttpResponse response;
    const std::vector<absl::string_view> fields = absl::StrSplit(part, '/');
    uint64_t wanted = 0;
    uint64_t offset = 0;
    if (fields.size() != 2 || !absl::SimpleAtoi(fields[0], &wanted) ||
        !absl::SimpleAtoi(fields[1], &offset)) {
      response.status = kBadRequest;
      return response;
    }
    absl::MutexLock lock(&mutex_);
    if (!PackLocked()) {
      response.status = kUnavailable;
      return response;
    }
    if (!budget_.Take(kChunkBytes, offset, MonotonicNow())) {
      parts_refused_.Increment();
      response.status = kTooManyRequests;
      return response;
    }
    // The previous document is served until the next change, so that a peer
    // that has begun to fetch it can finish.
    const bool is_previous = previous_.revision == Revision{wanted};
    const bool is_current = packed_.revision == Revision{wanted};
    response.content_type = "application/octet-stream";
    response.body = EncodeChunk(is_previous ? previous_ : packed_,
                                is_previous || is_current ? offset : 0);
    parts_sent_.Increment();
    return response;
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

  /// Compresses the current configuration if that has not been done yet.
  /// Returns false if there is no configuration or if it cannot be compressed.
  bool PackLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (routes_ == nullptr)
      return false;
    if (packed_.revision == revision_)
      return true;
    Result<PackedDocument> packed =
        PackDocument(revision_, EncodeRouteTable(*routes_));
    if (!packed.has_value()) {
      LogLine(kPackingFailed, Severity::kError)
          .Field("revision", ToText(revision_))
          .Field("error", packed.error().ToString());
      return false;
    }
    previous_ = std::exchange(packed_, std::move(packed).value());
    return true;
  }

  bool IsNewer(Revision revision) const {
    return ToNumber(revision) > ToNumber(this->revision());
  }

  /// Puts a configuration into force if it is newer than the current one.
  /// `packed` is its compressed form if a peer sent it. Returns false if the
  /// data thread cannot take it now, so that it must be read again.
  /// `learned` is when the call that brought it began, or when a peer first
  /// offered it.
  bool Adopt(Revision revision,
             Result<RouteTable> table,
             absl::string_view source,
             absl::Time learned,
             absl::optional<PackedDocument> packed) {
    if (!table.has_value()) {
      LogLine(kConfigurationRejected, Severity::kError)
          .Field("revision", ToText(revision))
          .Field("source", source)
          .Field("error", table.error().ToString());
      return true;
    }
    absl::MutexLock lock(&mutex_);
    if (ToNumber(revision) <= ToNumber(revision_))
      return true;
    auto routes = std::make_shared<const RouteTable>(std::move(table).value());
    if (!options_.command(
            ConfigurationInForce{revision, routes, MonotonicNow()}))
      return false;
    revision_ = revision;
    routes_ = routes;
    if (packed.has_value())
      previous_ = std::exchange(packed_, *std::move(packed));
    revision_gauge_.Set(CountOf(revision));
    LogLine(kConfigurationInForce)
        .Field("revision", ToText(revision))
        .Field("version", routes->version)
        .Field("routes", routes->routes.size())
        .Field("source", source)
        .Field("took_ms", absl::ToInt64Milliseconds(MonotonicNow() - learned));
    if (routes->ignored.count > 0) {
      values_ignored_.Add(routes->ignored.count);
      LogLine(kValuesIgnored, Severity::kWarning)
          .Field("revision", ToText(revision))
          .Field("count", routes->ignored.count)
          .Field("first", routes->ignored.first);
    }
    return true;
  }

  /// Puts the configuration among `records`, the answer to a call that began at
  /// `begun`, into force. Returns false if it must be read again.
  bool AdoptRecords(absl::Span<const ConfigRecord> records, absl::Time begun) {
    bool adopted = true;
    for (const ConfigRecord& record : records) {
      if (record.key == options_.key && !record.deleted &&
          IsNewer(record.revision)) {
        adopted = Adopt(record.revision, options_.read(record.body), "store",
                        begun, absl::nullopt);
      }
    }
    return adopted;
  }

  /// Records a call as StoreCallLog::Record() does. Returns whether it
  /// succeeded.
  template <typename T>
  bool RecordCall(const Result<T>& result,
                  absl::string_view what,
                  absl::Time begun,
                  absl::Duration wait = absl::ZeroDuration()) {
    const bool succeeded = calls_.Record(result, what, revision(), begun, wait);
    if (succeeded)
      backoff_.OnSuccess();
    return succeeded;
  }

  /// Waits for `time` or until the end. The clock of the wait does not step, so
  /// that a step of the wall clock does not delay a change.
  void Sleep(absl::Duration time) { WaitReadable({stop_.fd()}, time); }

  void RunStore() {
    if (has_slow_link())
      AwaitPeers();
    position_.Reset(revision());
    // After a configuration of a peer, watch for changes without a list. A list
    // would transfer the same configuration again.
    bool listed = position_.revision() != Revision{};
    bool registered = false;
    bool nodes_read = false;
    absl::Time next_nodes = absl::InfinitePast();
    absl::Time next_watch = absl::InfinitePast();
    while (!stopping_.load()) {
      // An agent reads the configuration once, for the health check of its
      // target.
      if (!listed) {
        listed = ListConfiguration();
        if (!listed && is_entry()) {
          // An entry without a configuration serves nothing, so it must detect
          // quickly that the store is available again.
          const absl::Duration wait = backoff_.OnFailure();
          Sleep(routes() == nullptr
                    ? backoff_.Jitter(kMaxUnconfiguredRetryDelay)
                    : wait);
          continue;
        }
      }
      absl::Time now = MonotonicNow();
      bool needs_nodes = !nodes_read || !options_.is_connected();
      if (needs_nodes && now >= next_nodes) {
        nodes_read = ReadNodes(registered);
        needs_nodes = !nodes_read || !options_.is_connected();
        now = MonotonicNow();
        next_nodes =
            now + (nodes_read ? kIsolatedListInterval : backoff_.OnFailure());
      }
      if (!is_entry()) {
        Sleep(needs_nodes ? next_nodes - now : kAgentCheckInterval);
        continue;
      }
      // The configuration is followed while the list of nodes fails too.
      if (next_watch > now)
        Sleep(next_watch - now);
      if (stopping_.load())
        return;
      next_watch = MonotonicNow() + kMinWatchInterval;
      listed = WatchConfiguration(needs_nodes ? kIsolatedListInterval
                                              : absl::InfiniteDuration());
    }
  }

  bool has_slow_link() const {
    return is_entry() && options_.node.link_bytes_per_second > 0 &&
           options_.node.link_bytes_per_second <= kSlowLinkBytesPerSecond;
  }

  /// Waits up to kPeerFetchWait for a configuration from a peer, which takes a
  /// fraction of the bytes that the store would send.
  void AwaitPeers() {
    const absl::Time limit = MonotonicNow() + kPeerFetchWait;
    while (routes() == nullptr && MonotonicNow() < limit && !stopping_.load())
      Sleep(kPeerFetchCheckInterval);
  }

  bool ListConfiguration() {
    PlatformClient& store = routes() == nullptr ? *initial_store_ : *store_;
    const absl::Time begun = MonotonicNow();
    const Result<ObjectList> list = store.List(prefix_);
    if (!RecordCall(list, "list_configuration", begun))
      return false;
    calls_.RecordEpoch(list.value().epoch, list.value().revision, revision());
    calls_.RecordIgnored(prefix_, list.value().ignored);
    if (!AdoptRecords(list.value().objects, begun))
      return false;
    position_.Reset(list.value().revision);
    return true;
  }

  /// Waits for a change for `longest` at most. Returns false when the
  /// configuration must be listed again.
  bool WatchConfiguration(absl::Duration longest) {
    const absl::Duration wait =
        std::min(longest, watches_.NextWait(options_.entry_rank()));
    const absl::Time begun = MonotonicNow();
    PlatformClient& store = watches_.is_probing() ? *store_ : *watch_store_;
    const Result<WatchBatch> batch =
        store.Watch(prefix_, position_.revision(), wait);
    if (!batch.has_value() && IsListNeeded(batch.error())) {
      calls_.RecordHistoryGone(prefix_, position_.revision(), batch.error());
      return false;
    }
    if (!RecordCall(batch, "watch_configuration", begun, wait)) {
      calls_.RecordLostWatch();
      watches_.OnLost();
      // A lost call has taken its time; a rejected one must not be repeated at
      // once.
      if (MonotonicNow() - begun < wait)
        Sleep(backoff_.OnFailure());
      return true;
    }
    watches_.OnAnswered();
    LogAnswer(batch.value(), begun);
    calls_.RecordEpoch(batch.value().epoch, batch.value().revision, revision());
    calls_.RecordIgnored(prefix_, batch.value().ignored);
    if (AdoptRecords(batch.value().changes, begun)) {
      position_.OnAnswered(batch.value().revision,
                           NewestRevision(batch.value().changes),
                           MonotonicNow());
    }
    return true;
  }

  /// Logs an answer that names a new revision. At most one watch begins in
  /// kMinWatchInterval, which bounds the number of lines.
  void LogAnswer(const WatchBatch& batch, absl::Time begun) {
    const Revision named = std::exchange(named_, batch.revision);
    if (batch.revision == named && batch.changes.empty())
      return;
    LogLine(kWatchAnswered)
        .Field("position", ToText(position_.revision()))
        .Field("revision", ToText(batch.revision))
        .Field("changes", batch.changes.size())
        .Field("held", ToText(revision()))
        .Field("took_ms", absl::ToInt64Milliseconds(MonotonicNow() - begun));
  }

  /// Reads the addresses of all nodes, and registers the local one if it is
  /// missing or differs. Returns false if a call failed.
  bool ReadNodes(bool& registered) {
    const absl::Time begun = MonotonicNow();
    const Result<ObjectList> list = store_->List(kNodesPrefix);
    if (!RecordCall(list, "list_nodes", begun))
      return false;
    calls_.RecordIgnored(kNodesPrefix, list.value().ignored);
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
    const absl::Time write_begun = MonotonicNow();
    const Result<Revision> written = store_->Write(key, self.dump(), held);
    if (!RecordCall(written, "register_node", write_begun))
      return false;
    registered = true;
    LogLine(kRegistered).Field("key", key).Field("value", self.dump());
    return true;
  }

  /// Returns false if the object is not the registration of a node.
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
    // If the queue is full, the next list repeats the address.
    options_.command(NodeAddress{endpoint.value().address, parsed});
    return true;
  }

  void RunPeers() {
    absl::Time next_document = absl::InfinitePast();
    while (!stopping_.load()) {
      const absl::Time now = MonotonicNow();
      const absl::Time next =
          std::max(next_document, download_.NextRequestTime(revision()));
      const absl::Duration wait = std::max(
          absl::ZeroDuration(), std::min(kStopCheckInterval, next - now));
      absl::optional<RevisionNotice> notice =
          wait > absl::ZeroDuration() ? notices_.Pop(wait) : notices_.TryPop();
      while (notice.has_value()) {
        RecordOffer(*notice);
        download_.OnOffer(notice->address, notice->revision);
        notice = notices_.TryPop();
      }
      if (MonotonicNow() < next_document)
        continue;
      const absl::optional<DocumentDownload::Request> request =
          download_.Next(revision(), MonotonicNow());
      if (request.has_value() && Fetch(*request)) {
        next_document = MonotonicNow() + (is_entry() ? kEntryFetchInterval
                                                     : kAgentFetchInterval);
      }
    }
  }

  /// Logs the first offer of a revision.
  void RecordOffer(const RevisionNotice& notice) {
    if (ToNumber(notice.revision) <= ToNumber(offered_))
      return;
    offered_ = notice.revision;
    offered_at_ = MonotonicNow();
    LogLine(kRevisionOffered)
        .Field("revision", ToText(notice.revision))
        .Field("node",
               Endpoint{notice.address, options_.node.peers.port}.ToString())
        .Field("held", ToText(revision()));
  }

  /// Fetches a part of the configuration of a peer. Returns whether it
  /// completes a document.
  bool Fetch(const DocumentDownload::Request& request) {
    HttpCall call;
    call.server = {request.node, options_.node.peers.port};
    call.target = absl::StrCat(kConfigurationPath, ToNumber(request.revision),
                               "/", request.offset);
    call.timeout = kPeerFetchTimeout;
    call.max_answer_bytes = 2 * kChunkBytes;
    const Result<HttpAnswer> answer = Call(call);
    if (answer.has_value() && answer.value().status == kTooManyRequests) {
      download_.OnBusy(request.node, MonotonicNow());
      return false;
    }
    if (!answer.has_value() || answer.value().status != kOk) {
      RecordFetchFailure(request.node,
                         answer.has_value()
                             ? absl::StrCat("status ", answer.value().status)
                             : answer.error().ToString());
      return false;
    }
    const Result<DocumentChunk> chunk = DecodeChunk(answer.value().body);
    if (!chunk.has_value()) {
      RecordFetchFailure(request.node, chunk.error().ToString());
      return false;
    }
    parts_received_.Increment();
    absl::optional<PackedDocument> document =
        download_.OnChunk(request.node, chunk.value());
    if (!document.has_value())
      return false;
    const Result<std::string> body = UnpackDocument(*document);
    if (!body.has_value()) {
      RecordFetchFailure(request.node, body.error().ToString());
      return false;
    }
    const Revision revision = document->revision;
    if (IsNewer(revision)) {
      Adopt(revision, DecodeRouteTable(body.value()), call.server.ToString(),
            offered_at_, std::move(document));
    }
    return true;
  }

  void RecordFetchFailure(uint32_t node, const std::string& error) {
    download_.OnFailure(node, MonotonicNow());
    LogLine(kPeerFetchFailed, Severity::kWarning)
        .Field("node", Endpoint{node, options_.node.peers.port}.ToString())
        .Field("received_bytes", download_.received_bytes())
        .Field("error", error);
  }

  /// Time between two lists of nodes while no other node is responsive.
  static constexpr absl::Duration kIsolatedListInterval = absl::Seconds(1);
  /// Interval at which an agent checks whether other nodes are responsive.
  static constexpr absl::Duration kAgentCheckInterval = absl::Seconds(2);
  /// Links up to 20 Mbit/s count as slow. The largest configuration of the
  /// store takes 0.4 s on such a link, or about 0.05 s when compressed.
  static constexpr uint64_t kSlowLinkBytesPerSecond = 2'500'000;
  /// Time for agents, whose links are fast, to read the configuration from the
  /// store at startup and to propagate it.
  static constexpr absl::Duration kPeerFetchWait = absl::Milliseconds(600);
  static constexpr absl::Duration kPeerFetchCheckInterval =
      absl::Milliseconds(25);
  /// Interval at which the thread checks whether it must end.
  static constexpr absl::Duration kStopCheckInterval = absl::Seconds(1);

  const Options options_;
  /// Kind of the configuration object, with a trailing slash.
  const std::string prefix_;
  const std::unique_ptr<PlatformClient> store_;
  /// Client whose calls are given up as WatchSchedule asks.
  const std::unique_ptr<PlatformClient> watch_store_;
  /// Client with kInitialTimeout, used until there is a configuration.
  const std::unique_ptr<PlatformClient> initial_store_;
  Counter& revision_gauge_;
  Counter& parts_sent_;
  Counter& parts_refused_;
  Counter& parts_received_;
  Counter& values_ignored_;
  BoundedRing<RevisionNotice> notices_;
  // The next three are used by peer_thread_ only.
  DocumentDownload download_;
  /// Highest revision that a peer has offered, and when it was first offered.
  Revision offered_{};
  absl::Time offered_at_ = MonotonicNow();
  // The next six are used by store_thread_ only.
  StoreCallLog calls_;
  WatchSchedule watches_;
  WatchPosition position_{kSettleTime};
  /// Revision that the last answer to a watch named.
  Revision named_{};
  size_t ignored_objects_ = 0;
  Backoff backoff_;
  mutable absl::Mutex mutex_;
  Revision revision_ ABSL_GUARDED_BY(mutex_){};
  /// The current configuration and the previous one, for peers.
  PackedDocument packed_ ABSL_GUARDED_BY(mutex_);
  PackedDocument previous_ ABSL_GUARDED_BY(mutex_);
  TransferBudget budget_ ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<const RouteTable> routes_ ABSL_GUARDED_BY(mutex_);
  /// Ends the waits of both threads; never drained.
  const Wakeup stop_;
  std::atomic<bool> stopping_{false};
  std::thread store_thread_;
  std::thread peer_thread_;
};

}  // namespace

Result<std::unique_ptr<ConfigurationFollower>> ConfigurationFollower::Create(
    const Options& options) {
  BOOST_OUTCOME_TRY(watches, WatchSchedule::Create(options.node.change_limit));
  PlatformClient::Options client;
  client.platform = options.node.store;
  client.timeout = kStoreTimeout;
  client.progress_timeout = kStoreProgressTimeout;
  client.progress_bytes = kStoreProgressBytes;
  BOOST_OUTCOME_TRY(store, PlatformClient::Create(client));
  client.timeout = watches.answer_timeout();
  BOOST_OUTCOME_TRY(watch, PlatformClient::Create(client));
  // The first configuration may come slowly. Its call has too short a timeout
  // for a part of it on a busy link.
  client.timeout = kInitialTimeout;
  client.progress_bytes = 1;
  BOOST_OUTCOME_TRY(first, PlatformClient::Create(client));
  BOOST_OUTCOME_TRY(stop, Wakeup::Create());
  return std::unique_ptr<ConfigurationFollower>(std::make_unique<StoreFollower>(
      options, watches, std::move(store), std::move(watch), std::move(first),
      std::move(stop)));
}

}  // namespace skylarkshunt
