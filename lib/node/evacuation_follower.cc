#include "evacuation_follower.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/event.h"
#include "skylarkshunt/forwarding/evacuations.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/platform/platform_client.h"
#include "skylarkshunt/process/backoff.h"
#include "skylarkshunt/process/watch_position.h"
#include "skylarkshunt/process/watch_schedule.h"
#include "store_call_log.h"

namespace skylarkshunt {
namespace {

constexpr EventId kEvacuationsRead{5170, "evacuations_read"};
constexpr EventId kObjectsIgnored{5171, "evacuation_objects_ignored"};

/// Timeout of a call. That of a watch follows from WatchSchedule.
constexpr absl::Duration kStoreTimeout = absl::Milliseconds(1500);
/// Timeout of a call before the first answer. It is short because the entry
/// defers all opening packets until then. A slow store answers within 250 ms.
constexpr absl::Duration kInitialTimeout = absl::Milliseconds(400);
/// Least time between two watches, which batches changes in quick succession. A
/// third of the goal of 1 s from an evacuation to its effect.
constexpr absl::Duration kMinWatchInterval = absl::Milliseconds(300);
/// Time after which the revision that an answer to a watch names is trusted. A
/// store may answer watches without the changes of about a second before it
/// drops its history.
constexpr absl::Duration kSettleTime = absl::Seconds(3);
/// Time for which an opening packet that was placed before may still be
/// retransmitted to its agent, or wait there: a client's attempt ends after
/// 1.4 s.
constexpr absl::Duration kPlacedPacketTime = absl::Milliseconds(1500);
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(1);
/// Longest time between two attempts before the first answer.
constexpr absl::Duration kMaxFirstRetryDelay = absl::Milliseconds(150);
/// Time until a set that the data thread could not take is sent again.
constexpr absl::Duration kQueueRetryDelay = absl::Milliseconds(50);
/// Least time between two log lines about objects that are ignored.
constexpr absl::Duration kRepeatedLogInterval = absl::Seconds(10);
/// Maximum number of names in a log line, and of bytes of each.
constexpr size_t kMaxLoggedNames = 8;
constexpr size_t kMaxLoggedNameBytes = 64;

/// Longest time until a lost watch must be replaced.
absl::Duration FollowLimit(absl::Duration evacuation_limit) {
  return std::max(evacuation_limit / 2, evacuation_limit - kPlacedPacketTime);
}

/// Returns the names in `records`, with '+' or '-' for objects that exist or
/// were removed, for the log.
std::string NamesOf(absl::Span<const ConfigRecord> records,
                    absl::string_view prefix) {
  std::string names;
  for (const ConfigRecord& record : records.subspan(0, kMaxLoggedNames)) {
    absl::StrAppend(&names, names.empty() ? "" : ",",
                    record.deleted ? "-" : "+",
                    absl::string_view(record.key)
                        .substr(std::min(prefix.size(), record.key.size()),
                                kMaxLoggedNameBytes));
  }
  return names;
}

class StoreEvacuationFollower : public EvacuationFollower {
 public:
  StoreEvacuationFollower(const Options& options,
                          const WatchSchedule& watches,
                          std::unique_ptr<PlatformClient> store,
                          std::unique_ptr<PlatformClient> watch,
                          std::unique_ptr<PlatformClient> first,
                          Wakeup stop)
      : options_(options),
        store_(std::move(store)),
        watch_store_(std::move(watch)),
        initial_store_(std::move(first)),
        revision_gauge_(options.counters->Find(
            "skylarkshunt_evacuations_revision",
            "Revision up to which the evacuations of the store are known.",
            MetricType::kGauge)),
        ignored_(options.counters->Find(
            "skylarkshunt_evacuation_objects_ignored_total",
            "Objects of evacuations with unexpected names or beyond the "
            "limit.")),
        calls_(*options.counters),
        objects_(options.prefix),
        watches_(watches),
        backoff_(kInitialRetryDelay, kMaxRetryDelay, options.random_seed),
        stop_(std::move(stop)) {}

  ~StoreEvacuationFollower() override {
    stopping_.store(true);
    stop_.Notify();
    if (thread_.joinable())
      thread_.join();
  }

  void Start() override {
    thread_ = std::thread([this] { Run(); });
  }

  void Refresh() override { refresh_.store(true); }

 private:
  void Run() {
    bool listed = false;
    absl::Time next_watch = absl::InfinitePast();
    while (!stopping_.load()) {
      if (refresh_.exchange(false))
        listed = false;
      if (!listed && !List()) {
        const absl::Duration wait = backoff_.OnFailure();
        Sleep(is_known_ ? wait : backoff_.Jitter(kMaxFirstRetryDelay));
        continue;
      }
      listed = true;
      if (!SendSet()) {
        Sleep(kQueueRetryDelay);
        continue;
      }
      Sleep(next_watch - MonotonicNow());
      if (stopping_.load() || refresh_.load())
        continue;
      next_watch = MonotonicNow() + kMinWatchInterval;
      listed = Watch();
    }
  }

  /// Reads all objects. Returns false if the call failed.
  bool List() {
    PlatformClient& store = is_known_ ? *store_ : *initial_store_;
    const absl::Time begun = MonotonicNow();
    const Result<ObjectList> list = store.List(options_.prefix);
    if (!calls_.Record(list, "list_evacuations", position_.revision(), begun)) {
      SendFailure();
      return false;
    }
    backoff_.OnSuccess();
    calls_.RecordEpoch(list.value().epoch, list.value().revision,
                       position_.revision());
    calls_.RecordIgnored(options_.prefix, list.value().ignored);
    const Revision revision = list.value().revision;
    if (is_known_ && EpochOf(revision) != EpochOf(position_.revision())) {
      RecordIgnored(objects_.ReplaceRestored(list.value().objects));
      drop_lost_ = MonotonicNow() + 2 * options_.node.evacuation_limit;
    } else {
      RecordIgnored(objects_.Replace(list.value().objects));
    }
    position_.Reset(revision);
    RecordRead("list", list.value().objects, begun);
    return true;
  }

  /// Waits for a change. Returns false if a list is needed.
  bool Watch() {
    const absl::Duration wait = watches_.NextWait(0);
    PlatformClient& store = watches_.is_probing() ? *store_ : *watch_store_;
    const absl::Time begun = MonotonicNow();
    const Result<WatchBatch> batch =
        store.Watch(options_.prefix, position_.revision(), wait);
    if (!batch.has_value() && IsListNeeded(batch.error())) {
      calls_.RecordHistoryGone(options_.prefix, position_.revision(),
                               batch.error());
      return false;
    }
    if (!calls_.Record(batch, "watch_evacuations", position_.revision(), begun,
                       wait)) {
      calls_.RecordLostWatch();
      watches_.OnLost();
      SendFailure();
      // A lost call has taken its time; a rejected one must not be repeated at
      // once.
      if (MonotonicNow() - begun < wait)
        Sleep(backoff_.OnFailure());
      return true;
    }
    watches_.OnAnswered();
    backoff_.OnSuccess();
    calls_.RecordEpoch(batch.value().epoch, batch.value().revision,
                       position_.revision());
    calls_.RecordIgnored(options_.prefix, batch.value().ignored);
    RecordIgnored(objects_.Apply(batch.value().changes));
    position_.OnAnswered(batch.value().revision,
                         NewestRevision(batch.value().changes), MonotonicNow());
    RecordRead("watch", batch.value().changes, begun);
    return !objects_.needs_list();
  }

  /// Prepares the set for the data thread, and logs it if it changed.
  void RecordRead(absl::string_view call,
                  absl::Span<const ConfigRecord> records,
                  absl::Time begun) {
    if (MonotonicNow() >= drop_lost_)
      objects_.DropLost();
    auto set = std::make_shared<EvacuationSet>();
    set->revision = position_.revision();
    set->data_centres = objects_.DataCentres();
    revision_gauge_.Set(CountOf(set->revision));
    const bool changed =
        last_ == nullptr || last_->data_centres != set->data_centres;
    last_ = std::move(set);
    last_begun_ = begun;
    is_known_ = true;
    is_sent_ = false;
    if (!changed)
      return;
    LogLine(kEvacuationsRead)
        .Field("revision", ToText(last_->revision))
        .Field("objects", last_->data_centres.size())
        .Field("changes", NamesOf(records, options_.prefix))
        .Field("lost", objects_.lost())
        .Field("call", call)
        .Field("took_ms", absl::ToInt64Milliseconds(MonotonicNow() - begun));
  }

  void RecordIgnored(const EvacuationObjects::Ignored& ignored) {
    if (ignored.count == 0)
      return;
    ignored_.Add(ignored.count);
    const absl::Time now = MonotonicNow();
    if (now < next_ignored_log_)
      return;
    next_ignored_log_ = now + kRepeatedLogInterval;
    LogLine(kObjectsIgnored, Severity::kWarning)
        .Field("count", ignored.count)
        .Field("first", ignored.first)
        .Field("reason", ignored.reason);
  }

  /// Sends the last set to the data thread unless it has it. Returns false if
  /// the data thread cannot take it now.
  bool SendSet() {
    is_sent_ =
        is_sent_ || options_.command(EvacuationsRead{last_, last_begun_});
    return is_sent_;
  }

  /// If the queue of the data thread is full, the next failure repeats this.
  void SendFailure() {
    options_.command(EvacuationsRead{nullptr, MonotonicNow()});
  }

  /// Waits for `time` or until the end.
  void Sleep(absl::Duration time) {
    if (time > absl::ZeroDuration())
      WaitReadable({stop_.fd()}, time);
  }

  const Options options_;
  const std::unique_ptr<PlatformClient> store_;
  /// Client whose calls are given up as WatchSchedule asks.
  const std::unique_ptr<PlatformClient> watch_store_;
  /// Client with kInitialTimeout, used before the first answer.
  const std::unique_ptr<PlatformClient> initial_store_;
  Counter& revision_gauge_;
  Counter& ignored_;
  // The next eleven are used by thread_ only.
  StoreCallLog calls_;
  EvacuationObjects objects_;
  WatchSchedule watches_;
  WatchPosition position_{kSettleTime};
  Backoff backoff_;
  std::shared_ptr<const EvacuationSet> last_;
  absl::Time last_begun_;
  /// When the objects that a restored store lacks no longer count: the limit
  /// for the operator to write them again, and once more for the change.
  absl::Time drop_lost_ = absl::InfiniteFuture();
  bool is_known_ = false;
  bool is_sent_ = false;
  absl::Time next_ignored_log_ = absl::InfinitePast();
  /// Ends the waits of the thread; never drained.
  const Wakeup stop_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> refresh_{false};
  std::thread thread_;
};

}  // namespace

Result<std::unique_ptr<EvacuationFollower>> EvacuationFollower::Create(
    const Options& options) {
  BOOST_OUTCOME_TRY(watches, WatchSchedule::Create(
                                 FollowLimit(options.node.evacuation_limit)));
  PlatformClient::Options client;
  client.platform = options.node.store;
  client.timeout = kStoreTimeout;
  client.progress_timeout = kStoreTimeout;
  BOOST_OUTCOME_TRY(store, PlatformClient::Create(client));
  client.timeout = watches.answer_timeout();
  BOOST_OUTCOME_TRY(watch, PlatformClient::Create(client));
  client.timeout = kInitialTimeout;
  BOOST_OUTCOME_TRY(first, PlatformClient::Create(client));
  BOOST_OUTCOME_TRY(stop, Wakeup::Create());
  return std::unique_ptr<EvacuationFollower>(
      std::make_unique<StoreEvacuationFollower>(
          options, watches, std::move(store), std::move(watch),
          std::move(first), std::move(stop)));
}

}  // namespace skylarkshunt
