#include "directory_reader.h"

#include <utility>

#include "skylarkshunt/base/event.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/process/backoff.h"
#include "skylarkshunt/process/directory.h"

namespace skylarkshunt {
namespace {

constexpr EventId kDirectoryUnavailable{6101, "directory_unavailable"};
constexpr EventId kDirectoryRead{6102, "directory_read"};

/// First and longest wait after a failed read.
constexpr absl::Duration kFirstRetry = absl::Milliseconds(250);
constexpr absl::Duration kLongestRetry = absl::Seconds(10);
/// Longest wait for a request before the thread checks whether to end.
constexpr absl::Duration kRequestWait = absl::Seconds(1);

}  // namespace

DirectoryReader::DirectoryReader(Options options)
    : options_(std::move(options)),
      calls_(options_.counters->Find("skylarkshunt_platform_calls_total",
                                     "Calls of the platform's object API.")),
      requests_(1),
      entries_(1, options_.on_read) {}

DirectoryReader::~DirectoryReader() {
  if (!thread_.joinable())
    return;
  stop_.store(true);
  requests_.PushReplacingOldest(Command::kStop);
  thread_.join();
}

void DirectoryReader::Start() {
  thread_ = std::thread([this] { Run(); });
}

void DirectoryReader::Run() {
  Backoff backoff(kFirstRetry, kLongestRetry, options_.random_seed);
  while (!stop_.load()) {
    const absl::optional<Command> command = requests_.Pop(kRequestWait);
    if (command != Command::kRead)
      continue;
    if (Read()) {
      backoff.OnSuccess();
      continue;
    }
    AwaitRetry(backoff.OnFailure());
  }
}

void DirectoryReader::AwaitRetry(absl::Duration wait) {
  const absl::Time end = MonotonicNow() + wait;
  bool requested = false;
  while (!stop_.load() && MonotonicNow() < end)
    requested |= requests_.Pop(end - MonotonicNow()) == Command::kRead;
  if (requested)
    requests_.TryPush(Command::kRead);
}

bool DirectoryReader::Read() {
  calls_.Increment();
  const Result<ConfigRecord> record =
      options_.client->Read(DirectoryKey(options_.region));
  Result<std::vector<Endpoint>> entries =
      record.has_value() ? ParseDirectory(record.value().body)
                         : Result<std::vector<Endpoint>>(record.error());
  if (!entries.has_value()) {
    if (std::exchange(reachable_, false)) {
      LogLine(kDirectoryUnavailable, Severity::kWarning)
          .Field("error", entries.error().ToString());
    }
    return false;
  }
  reachable_ = true;
  LogLine(kDirectoryRead).Field("entries", entries.value().size());
  entries_.PushReplacingOldest(std::move(entries).value());
  return true;
}

}  // namespace skylarkshunt
