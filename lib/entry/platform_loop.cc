#include "platform_loop.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "skylarkshunt/base/event.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/process/directory.h"

namespace skylarkshunt {
namespace {

constexpr EventId kPlatformFailed{6001, "platform_failed"};
constexpr EventId kPlatformReachable{6002, "platform_reachable"};
constexpr EventId kPlatformListed{6003, "platform_listed"};
constexpr EventId kDirectoryWritten{6004, "directory_written"};
constexpr EventId kDirectoryMalformed{6005, "directory_malformed"};

/// First and longest wait after failed calls.
constexpr absl::Duration kFirstRetry = absl::Milliseconds(200);
constexpr absl::Duration kLongestRetry = absl::Seconds(10);
/// Longest sleep without work, so that a change of the watch role is seen even
/// when its wake-up was dropped.
constexpr absl::Duration kIdleWait = absl::Seconds(1);

constexpr std::array<absl::string_view, 2> kPrefixes = {"services/", "drains/"};

std::vector<Endpoint> Sorted(std::vector<Endpoint> entries) {
  std::sort(
      entries.begin(), entries.end(), [](const Endpoint& a, const Endpoint& b) {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
      });
  return entries;
}

}  // namespace

PlatformLoop::PlatformLoop(Options options)
    : options_(std::move(options)),
      calls_(options_.counters->Find("skylarkshunt_platform_calls_total",
                                     "Calls of the platform's object API.")),
      failures_(options_.counters->Find("skylarkshunt_platform_failures_total",
                                        "Failed calls of the platform.")),
      overflow_(options_.counters->Find("skylarkshunt_ring_overflows_total",
                                        "Pushes that found a ring full.",
                                        MetricType::kCounter,
                                        "ring=\"platform_events\"")),
      backoff_(kFirstRetry, kLongestRetry, options_.random_seed),
      events_(kPlatformRingSlots, options_.on_event),
      writes_(1),
      wakes_(1) {}

PlatformLoop::~PlatformLoop() {
  if (!thread_.joinable())
    return;
  stop_.store(true);
  wakes_.PushReplacingOldest(true);
  thread_.join();
}

void PlatformLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void PlatformLoop::SetWatching(bool watching) {
  watching_.store(watching);
  wakes_.PushReplacingOldest(true);
}

void PlatformLoop::WriteDirectory(std::vector<Endpoint> entries) {
  writes_.PushReplacingOldest(std::move(entries));
  wakes_.PushReplacingOldest(true);
}

void PlatformLoop::Run() {
  while (!stop_.load())
    Step();
}

void PlatformLoop::Step() {
  if (absl::optional<std::vector<Endpoint>> entries = writes_.TryPop())
    unwritten_ = Sorted(*std::move(entries));
  absl::Time now = MonotonicNow();
  if (now < not_before_) {
    wakes_.Pop(std::min(not_before_ - now, kIdleWait));
    return;
  }
  absl::Duration wait = std::min(kIdleWait, ReadDirectoryWhenDue(now));
  if (now >= not_before_)
    wait = std::min(wait, WriteDirectoryWhenDue(now));
  if (now < not_before_)
    return;
  if (!watching_.load()) {
    need_list_ = true;
    wakes_.Pop(wait);
    return;
  }
  ListWhenDue(now);
  if (!need_list_ && now >= not_before_)
    WatchOnce();
}

absl::Duration PlatformLoop::ReadDirectoryWhenDue(absl::Time now) {
  if (!isolated_.load())
    return absl::InfiniteDuration();
  if (now < next_read_)
    return next_read_ - now;
  std::vector<Endpoint> entries;
  if (ReadDirectory(entries).has_value())
    next_read_ = now + backoff_.Jitter(kIsolatedReadInterval);
  return absl::ZeroDuration();
}

Result<Revision> PlatformLoop::ReadDirectory(std::vector<Endpoint>& entries) {
  calls_.Increment();
  const Result<ConfigRecord> record =
      options_.client->Read(DirectoryKey(options_.region));
  if (!record.has_value() && record.error().kind == ErrorKind::kNotFound) {
    OnSuccess();
    return Revision{};
  }
  if (!record.has_value()) {
    OnFailure(record.error(), "read");
    return record.error();
  }
  OnSuccess();
  Result<std::vector<Endpoint>> parsed = ParseDirectory(record.value().body);
  if (!parsed.has_value()) {
    LogLine(kDirectoryMalformed, Severity::kWarning)
        .Field("error", parsed.error().ToString());
    return record.value().revision;
  }
  entries = std::move(parsed).value();
  Push(DirectoryRead{entries});
  return record.value().revision;
}

absl::Duration PlatformLoop::WriteDirectoryWhenDue(absl::Time now) {
  if (!unwritten_.has_value())
    return absl::InfiniteDuration();
  if (now < next_write_)
    return next_write_ - now;
  // The entries found are handed to the control thread before they are
  // replaced, so that entries which started at the same time meet.
  std::vector<Endpoint> found;
  const Result<Revision> expected = ReadDirectory(found);
  if (!expected.has_value())
    return absl::ZeroDuration();
  if (Sorted(std::move(found)) == *unwritten_) {
    unwritten_.reset();
    return absl::ZeroDuration();
  }
  calls_.Increment();
  const Result<Revision> written =
      options_.client->Write(DirectoryKey(options_.region),
                             WriteDirectoryBody(*unwritten_), expected.value());
  // After a conflict or a lost answer the next round reads the object again.
  if (!written.has_value() && written.error().kind == ErrorKind::kConflict) {
    next_write_ = now + backoff_.Jitter(kFirstRetry);
    return kFirstRetry;
  }
  if (!written.has_value()) {
    OnFailure(written.error(), "write");
    return absl::ZeroDuration();
  }
  OnSuccess();
  LogLine(kDirectoryWritten)
      .Field("region", options_.region)
      .Field("entries", unwritten_->size())
      .Field("revision", ToText(written.value()));
  unwritten_.reset();
  next_write_ = now + kDirectoryWriteInterval;
  return absl::ZeroDuration();
}

absl::Duration PlatformLoop::ListWhenDue(absl::Time now) {
  if (!need_list_ && now < next_list_)
    return next_list_ - now;
  Result<ObjectList> list = ListAll();
  if (!list.has_value()) {
    OnFailure(list.error(), "list");
    return absl::ZeroDuration();
  }
  OnSuccess();
  const Revision revision = list.value().revision;
  for (WatchPosition& position : watched_)
    position.Reset(revision);
  next_list_ = now + backoff_.Jitter(kRelistInterval);
  LogLine(kPlatformListed)
      .Field("revision", ToText(revision))
      .Field("objects", list.value().objects.size());
  need_list_ = !Push(PlatformListed{revision, std::move(list.value().objects)});
  return absl::ZeroDuration();
}

/// Joins the lists of all prefixes at the lowest of their revisions: what
/// changed after it comes again with the watch.
Result<ObjectList> PlatformLoop::ListAll() {
  ObjectList all;
  all.revision = Revision{std::numeric_limits<uint64_t>::max()};
  for (const absl::string_view prefix : kPrefixes) {
    calls_.Increment();
    BOOST_OUTCOME_TRY(list, options_.client->List(prefix));
    all.revision = std::min(all.revision, list.revision);
    std::move(list.objects.begin(), list.objects.end(),
              std::back_inserter(all.objects));
  }
  return all;
}

void PlatformLoop::WatchOnce() {
  calls_.Increment();
  WatchPosition& position = watched_[next_prefix_];
  const absl::string_view prefix = kPrefixes[next_prefix_];
  next_prefix_ = (next_prefix_ + 1) % kPrefixes.size();
  Result<WatchBatch> batch =
      options_.client->Watch(prefix, position.revision(), kWatchWait);
  if (!batch.has_value()) {
    if (batch.error().kind == ErrorKind::kNotFound)
      need_list_ = true;
    else
      OnFailure(batch.error(), "watch");
    return;
  }
  OnSuccess();
  position.OnAnswered(batch.value().revision,
                      NewestRevision(batch.value().changes), MonotonicNow());
  if (batch.value().changes.empty())
    return;
  if (!Push(PlatformChanges{std::move(batch.value().changes)}))
    need_list_ = true;
}

bool PlatformLoop::Push(PlatformEvent event) {
  if (events_.TryPush(std::move(event)))
    return true;
  overflow_.Increment();
  // The control thread is busy; gives it time before the next list.
  not_before_ = MonotonicNow() + kFirstRetry;
  return false;
}

void PlatformLoop::OnSuccess() {
  backoff_.OnSuccess();
  if (!reachable_)
    LogLine(kPlatformReachable).Field("region", options_.region);
  reachable_ = true;
}

void PlatformLoop::OnFailure(const Error& error, absl::string_view call) {
  failures_.Increment();
  const absl::Duration wait = backoff_.OnFailure();
  not_before_ = MonotonicNow() + wait;
  if (reachable_) {
    LogLine(kPlatformFailed, Severity::kWarning)
        .Field("call", call)
        .Field("error", error.ToString())
        .Field("retry_ms", absl::ToInt64Milliseconds(wait));
  }
  reachable_ = false;
}

}  // namespace skylarkshunt
