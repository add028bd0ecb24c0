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
#include "skylarkshunt/base/hash.h"
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
constexpr EventId kOffered{5162, "configuration_offered"};
constexpr EventId kOutdated{5165, "configuration_outdated"};
constexpr EventId kValuesIgnored{5169, "configuration_values_ignored"};

/// Source of a configuration, in the log.
constexpr absl::string_view kStoreSource = "store";

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
constexpr size_t kMaxOffers = 64;

struct Offer {
  uint32_t address = 0;
  ConfigurationId id;
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
        node_key_(absl::StrCat(kNodesPrefix, options.node.name)),
        store_(std::move(store)),
        watch_store_(std::move(watch)),
        initial_store_(std::move(first)),
        version_gauge_(
            options.counters->Find("skylarkshunt_configuration_version",
                                   "Version of the configuration in force.",
                                   MetricType::kGauge)),
        revision_gauge_(options.counters->Find(
            "skylarkshunt_configuration_revision",
            "Revision of the configuration in force, within its epoch.",
            MetricType::kGauge)),
        epoch_gauge_(options.counters->Find(
            "skylarkshunt_configuration_epoch",
            "Epoch of the revision of the configuration in force.",
            MetricType::kGauge)),
        outdated_gauge_(options.counters->Find(
            "skylarkshunt_store_configuration_outdated",
            "1 while the store has a lower version of the configuration than "
            "the one in force.",
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
        offers_(kMaxOffers),
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

  void OnOffer(uint32_t address, const ConfigurationId& offered) override {
    offers_.PushReplacingOldest({address, offered});
  }

  HttpResponse AnswerPart(absl::string_view part) override {
    HttpResponse response;
    const std::vector<absl::string_view> fields = absl::StrSplit(part, '/');
    ConfigurationId wanted;
    uint64_t revision = 0;
    uint64_t offset = 0;
    if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &wanted.version) ||
        !absl::SimpleAtoi(fields[1], &revision) ||
        !absl::SimpleAtoi(fields[2], &offset)) {
      response.status = kBadRequest;
      return response;
    }
    wanted.revision = Revision{revision};
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
    const bool is_previous = previous_.id == wanted;
    const bool is_current = packed_.id == wanted;
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

  ConfigurationId held() const {
    absl::MutexLock lock(&mutex_);
    return held_;
  }

  /// Compresses the current configuration if that has not been done yet.
  /// Returns false if there is no configuration or if it cannot be compressed.
  bool PackLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (routes_ == nullptr)
      return false;
    if (packed_.id == held_)
      return true;
    Result<PackedDocument> packed =
        PackDocument(held_, EncodeRouteTable(*routes_));
    if (!packed.has_value()) {
      LogLine(kPackingFailed, Severity::kError)
          .Field("revision", ToText(held_.revision))
          .Field("error", packed.error().ToString());
      return false;
    }
    previous_ = std::exchange(packed_, std::move(packed).value());
    return true;
  }

  /// Puts a configuration into force if it is newer than the current one.
  /// `packed` is its compressed form if a peer sent it. Returns false if the
  /// data thread cannot take it now, so that it must be read again.
  /// `learned` is when the call that brought it began, or when a peer first
  /// offered it.
  bool Adopt(Revision revision,
             RouteTable table,
             absl::string_view source,
             absl::Time learned,
             absl::optional<PackedDocument> packed) {
    const ConfigurationId id{table.version, revision};
    absl::MutexLock lock(&mutex_);
    if (!(id > held_))
      return true;
    auto routes = std::make_shared<const RouteTable>(std::move(table));
    if (!options_.command(ConfigurationInForce{id, routes, MonotonicNow()}))
      return false;
    held_ = id;
    routes_ = routes;
    if (packed.has_value())
      previous_ = std::exchange(packed_, *std::move(packed));
    version_gauge_.Set(id.version);
    revision_gauge_.Set(CountOf(revision));
    epoch_gauge_.Set(ToNumber(EpochOf(revision)));
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

  void LogRejected(Revision revision,
                   absl::string_view source,
                   const Error& error) {
    LogLine(kConfigurationRejected, Severity::kError)
        .Field("revision", ToText(revision))
        .Field("source", source)
        .Field("error", error.ToString());
  }

  /// Puts the configuration among `records`, the answer to a call that began at
  /// `begun`, into force. Returns false if it must be read again.
  bool AdoptRecords(absl::Span<const ConfigRecord> records, absl::Time begun) {
    bool adopted = true;
    for (const ConfigRecord& record : records) {
      if (record.key != options_.key || record.deleted)
        continue;
      // A store that does not report epochs may give out a revision again.
      const uint64_t digest =
          StableHash(record.body, ToNumber(record.revision));
      if (digest == read_digest_)
        continue;
      Result<RouteTable> table = options_.read(record.body);
      if (!table.has_value()) {
        LogRejected(record.revision, kStoreSource, table.error());
      } else {
        CompareWithStore({table.value().version, record.revision});
        adopted = Adopt(record.revision, std::move(table).value(), kStoreSource,
                        begun, absl::nullopt);
      }
      read_digest_ = adopted ? digest : 0;
    }
    return adopted;
  }

  /// Reports whether the store went back to a lower version than the one in
  /// force. A change that a peer has already passed on is no such case.
  void CompareWithStore(const ConfigurationId& stored) {
    const ConfigurationId in_force = held();
    const bool is_outdated =
        stored.version < in_force.version &&
        ToNumber(stored.revision) > ToNumber(in_force.revision);
    outdated_gauge_.Set(is_outdated ? 1 : 0);
    if (!is_outdated)
      return;
    LogLine(kOutdated, Severity::kWarning)
        .Field("revision", ToText(stored.revision))
        .Field("version", stored.version)
        .Field("held", ToText(in_force.revision))
        .Field("held_version", in_force.version);
  }

  /// Records a call as StoreCallLog::Record() does. Returns whether it
  /// succeeded.
  template <typename T>
  bool RecordCall(const Result<T>& result,
                  absl::string_view what,
                  absl::Time begun,
                  absl::Duration wait = absl::ZeroDuration()) {
    const bool succeeded =
        calls_.Record(result, what, held().revision, begun, wait);
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
    position_.Reset(held().revision);
    // After a configuration of a peer, watch for changes without a list. A list
    // would transfer the same configuration again.
    bool listed = position_.revision() != Revision{};
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
        nodes_read = ReadNodes();
        needs_nodes = !nodes_read || !options_.is_connected();
        now = MonotonicNow();
        next_nodes =
            now + (nodes_read ? kIsolatedListInterval : backoff_.OnFailure());
      }
      if (nodes_read && CheckRegistrationWhenDue(now))
        now = MonotonicNow();
      if (!is_entry()) {
        Sleep(std::min(needs_nodes ? next_nodes - now : kAgentCheckInterval,
                       next_registration_ - now));
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
    calls_.RecordEpoch(list.value().epoch, list.value().revision,
                       held().revision);
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
    calls_.RecordEpoch(batch.value().epoch, batch.value().revision,
                       held().revision);
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
        .Field("held", ToText(held().revision))
        .Field("took_ms", absl::ToInt64Milliseconds(MonotonicNow() - begun));
  }

  /// Reads the addresses of all nodes, and registers the local one if it is
  /// missing or differs. Returns false if a call failed.
  bool ReadNodes() {
    const absl::Time begun = MonotonicNow();
    const Result<ObjectList> list = store_->List(kNodesPrefix);
    if (!RecordCall(list, "list_nodes", begun))
      return false;
    calls_.RecordIgnored(kNodesPrefix, list.value().ignored);
    listed_nodes_ = list.value().objects.size();
    const ConfigRecord* own = nullptr;
    size_t ignored = 0;
    std::string first_ignored;
    for (const ConfigRecord& record : list.value().objects) {
      if (record.key == node_key_) {
        own = &record;
        continue;
      }
      if (!LearnNode(nlohmann::json::parse(record.body, nullptr, false)) &&
          ++ignored == 1) {
        first_ignored = record.key;
      }
    }
    if (ignored != ignored_objects_ && ignored > 0) {
      LogLine(kNodeObjectsIgnored, Severity::kWarning)
          .Field("count", ignored)
          .Field("first", first_ignored)
          .Field("reason", "no address and role that a node writes");
    }
    ignored_objects_ = ignored;
    checked_epoch_ = EpochOf(list.value().revision);
    return Register(own);
  }

  /// Checks the local node's registration once the store has been restored,
  /// since the store may have lost it. The checks of all nodes are spread over
  /// the time in which the store can take the registrations of all of them.
  /// Returns whether it made a call.
  bool CheckRegistrationWhenDue(absl::Time now) {
    const Epoch epoch =
        std::max(EpochOf(held().revision), EpochOf(position_.revision()));
    if (ToNumber(epoch) <= ToNumber(checked_epoch_)) {
      // A list of nodes may have come before the check.
      next_registration_ = absl::InfiniteFuture();
      return false;
    }
    if (next_registration_ == absl::InfiniteFuture()) {
      const absl::Duration spread = kRegistrationSpread *
                                    absl::Seconds(listed_nodes_) /
                                    options_.node.store_writes_per_second;
      next_registration_ = now + backoff_.Jitter(std::max(spread, kMinSpread));
    }
    if (now < next_registration_)
      return false;
    if (CheckRegistration()) {
      checked_epoch_ = epoch;
      next_registration_ = absl::InfiniteFuture();
    } else {
      next_registration_ = MonotonicNow() + backoff_.OnFailure();
    }
    return true;
  }

  /// Reads the local node's registration, and writes it if it is missing or
  /// differs. Returns false if a call failed.
  bool CheckRegistration() {
    const absl::Time begun = MonotonicNow();
    const Result<ConfigRecord> own = store_->Read(node_key_);
    if (!own.has_value() && own.error().kind == ErrorKind::kNotFound)
      return Register(nullptr);
    // A list has the revision of an object that cannot be read.
    if (!own.has_value() && own.error().kind == ErrorKind::kMalformedMessage)
      return ReadNodes();
    return RecordCall(own, "read_registration", begun) &&
           Register(&own.value());
  }

  /// Writes the registration of the local node unless it is `own`, which is
  /// null if the store has none. Returns false if a call failed.
  bool Register(const ConfigRecord* own) {
    const nlohmann::json self = {{"address", options_.node.peers.ToString()},
                                 {"role", is_entry() ? "entry" : "agent"}};
    if (own != nullptr &&
        nlohmann::json::parse(own->body, nullptr, false) == self) {
      return true;
    }
    const absl::Time begun = MonotonicNow();
    const Result<Revision> written = store_->Write(
        node_key_, self.dump(), own == nullptr ? Revision{} : own->revision);
    if (!RecordCall(written, "register_node", begun))
      return false;
    LogLine(kRegistered).Field("key", node_key_).Field("value", self.dump());
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
          std::max(next_document, download_.NextRequestTime(held()));
      const absl::Duration wait = std::max(
          absl::ZeroDuration(), std::min(kStopCheckInterval, next - now));
      absl::optional<Offer> offer =
          wait > absl::ZeroDuration() ? offers_.Pop(wait) : offers_.TryPop();
      while (offer.has_value()) {
        RecordOffer(*offer);
        download_.OnOffer(offer->address, offer->id);
        offer = offers_.TryPop();
      }
      if (MonotonicNow() < next_document)
        continue;
      const absl::optional<DocumentDownload::Request> request =
          download_.Next(held(), MonotonicNow());
      if (request.has_value() && Fetch(*request)) {
        next_document = MonotonicNow() + (is_entry() ? kEntryFetchInterval
                                                     : kAgentFetchInterval);
      }
    }
  }

  /// Logs the first offer of a configuration.
  void RecordOffer(const Offer& offer) {
    if (!(offer.id > offered_))
      return;
    offered_ = offer.id;
    offered_at_ = MonotonicNow();
    LogLine(kOffered)
        .Field("revision", ToText(offer.id.revision))
        .Field("version", offer.id.version)
        .Field("node",
               Endpoint{offer.address, options_.node.peers.port}.ToString())
        .Field("held", ToText(held().revision));
  }

  /// Fetches a part of the configuration of a peer. Returns whether it
  /// completes a document.
  bool Fetch(const DocumentDownload::Request& request) {
    HttpCall call;
    call.server = {request.node, options_.node.peers.port};
    call.target =
        absl::StrCat(kConfigurationPath, request.id.version, "/",
                     ToNumber(request.id.revision), "/", request.offset);
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
    Result<RouteTable> table = DecodeRouteTable(body.value());
    const ConfigurationId id = document->id;
    if (table.has_value() && table.value().version != id.version) {
      table = MakeError(ErrorKind::kMalformedMessage,
                        absl::StrCat("version ", table.value().version,
                                     " instead of ", id.version),
                        "check that all nodes run compatible releases");
    }
    if (!table.has_value()) {
      LogRejected(id.revision, call.server.ToString(), table.error());
      download_.OnFailure(request.node, MonotonicNow());
      return true;
    }
    // If the data thread cannot take it now, the next offer repeats it.
    Adopt(id.revision, std::move(table).value(), call.server.ToString(),
          offered_at_, std::move(document));
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
  /// Least time over which the checks of registrations are spread.
  static constexpr absl::Duration kMinSpread = absl::Seconds(1);
  /// Time over which the checks are spread, as a multiple of the one in which
  /// the store accepts that many writing calls. Jitter uses the second half.
  static constexpr int kRegistrationSpread = 4;
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
  /// Key of the local node's registration.
  const std::string node_key_;
  const std::unique_ptr<PlatformClient> store_;
  /// Client whose calls are given up as WatchSchedule asks.
  const std::unique_ptr<PlatformClient> watch_store_;
  /// Client with kInitialTimeout, used until there is a configuration.
  const std::unique_ptr<PlatformClient> initial_store_;
  Counter& version_gauge_;
  Counter& revision_gauge_;
  Counter& epoch_gauge_;
  Counter& outdated_gauge_;
  Counter& parts_sent_;
  Counter& parts_refused_;
  Counter& parts_received_;
  Counter& values_ignored_;
  BoundedRing<Offer> offers_;
  // The next three are used by peer_thread_ only.
  DocumentDownload download_;
  /// The newest configuration that a peer has offered, and when it was first
  /// offered.
  ConfigurationId offered_;
  absl::Time offered_at_ = MonotonicNow();
  // The next ten are used by store_thread_ only.
  StoreCallLog calls_;
  WatchSchedule watches_;
  WatchPosition position_{kSettleTime};
  /// Revision that the last answer to a watch named.
  Revision named_{};
  /// Digest of the last configuration that was read from the store.
  uint64_t read_digest_ = 0;
  size_t ignored_objects_ = 0;
  /// Number of registered nodes in the last list.
  size_t listed_nodes_ = 0;
  /// Epoch in which the registration was last found or written, and when it is
  /// checked next; the infinite future unless the store was restored since.
  Epoch checked_epoch_{};
  absl::Time next_registration_ = absl::InfiniteFuture();
  Backoff backoff_;
  mutable absl::Mutex mutex_;
  ConfigurationId held_ ABSL_GUARDED_BY(mutex_);
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
