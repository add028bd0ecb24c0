#include "skylarkshunt/base/log_writer.h"

#include <glog/logging.h>

#include <atomic>
#include <cassert>
#include <cstdio>
#include <map>
#include <thread>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "log_queue.h"
#include "skylarkshunt/base/bounded_ring.h"

namespace skylarkshunt {
namespace {

constexpr EventId kLinesLeftOut{1010, "log_lines_left_out"};

/// Lines that wait for the reader of the output. At 200 bytes a line this is
/// about 400 KB, well below the smallest memory limit of a node.
constexpr size_t kMaxQueuedLines = 2'048;
/// Lines are collected for this long and then written together, since each
/// wake-up of the writer costs processor time.
constexpr absl::Duration kCollectTime = absl::Milliseconds(100);

/// Time between two looks whether the writer is to end while nothing is logged.
constexpr absl::Duration kStopCheckInterval = absl::Seconds(1);

struct QueuedLine {
  Severity severity = Severity::kInfo;
  absl::Time time;
  std::string text;
};

absl::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "unknown";
}

void WriteTimed(Severity severity, absl::Time time, absl::string_view text) {
  WriteLogLine(severity,
               absl::StrCat(absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", time,
                                             absl::UTCTimeZone()),
                            " ", SeverityName(severity), " ", text));
}

class RingLogWriter : public LogWriter {
 public:
  RingLogWriter();
  ~RingLogWriter() override;

  bool Finish(absl::Duration limit) override {
    stop_.store(true);
    lines_.PushReplacingOldest({});
    return finished_.WaitForNotificationWithTimeout(limit);
  }

  void Queue(EventId id, Severity severity, std::string& text) {
    if (lines_.TryPush({severity, absl::Now(), std::move(text)}))
      return;
    absl::MutexLock lock(&mutex_);
    ++left_out_[id.number];
  }

 private:
  void Run() {
    while (!stop_.load()) {
      absl::optional<QueuedLine> first = lines_.Pop(kStopCheckInterval);
      if (!first.has_value())
        continue;
      if (!stop_.load())
        absl::SleepFor(kCollectTime);
      Write(*first);
      WriteAll();
    }
    WriteAll();
    finished_.Notify();
  }

  /// An empty line only wakes the thread.
  static void Write(const QueuedLine& line) {
    if (!line.text.empty())
      WriteTimed(line.severity, line.time, line.text);
  }

  void WriteAll() {
    while (absl::optional<QueuedLine> line = lines_.TryPop())
      Write(*line);
    std::map<int, uint64_t> left_out;
    {
      absl::MutexLock lock(&mutex_);
      left_out.swap(left_out_);
    }
    for (const auto& [event, count] : left_out) {
      WriteTimed(Severity::kWarning, absl::Now(),
                 absl::StrCat("SKS", kLinesLeftOut.number, " ",
                              kLinesLeftOut.name, " event=SKS", event,
                              " count=", count, " reason=slow_reader"));
    }
    // Standard output is buffered in blocks unless it is a terminal. A process
    // that is killed loses what is in the buffer.
    std::fflush(stdout);
  }

  BoundedRing<QueuedLine> lines_{kMaxQueuedLines};
  absl::Mutex mutex_;
  std::map<int, uint64_t> left_out_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> stop_{false};
  absl::Notification finished_;
  /// Lines carry their own time, and the place in the code is that of the
  /// event's number.
  const bool prefix_before_ = std::exchange(FLAGS_log_prefix, false);
  std::thread thread_;
};

std::atomic<RingLogWriter*> g_writer{nullptr};

RingLogWriter::RingLogWriter() : thread_([this] { Run(); }) {
  [[maybe_unused]] RingLogWriter* const other = g_writer.exchange(this);
  assert(other == nullptr && "only one log writer at a time");
}

RingLogWriter::~RingLogWriter() {
  g_writer.store(nullptr);
  stop_.store(true);
  lines_.PushReplacingOldest({});
  thread_.join();
  WriteAll();
  FLAGS_log_prefix = prefix_before_;
}

}  // namespace

bool QueueLogLine(EventId id, Severity severity, std::string& text) {
  RingLogWriter* writer = g_writer.load();
  if (writer == nullptr)
    return false;
  writer->Queue(id, severity, text);
  return true;
}

std::unique_ptr<LogWriter> LogWriter::Start() {
  return std::make_unique<RingLogWriter>();
}

}  // namespace skylarkshunt
