#include "store_call_log.h"

#include <algorithm>

#include "skylarkshunt/base/event.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr EventId kStoreLost{5153, "store_lost"};
constexpr EventId kStoreRegained{5154, "store_regained"};
constexpr EventId kStoreHistoryGone{5155, "store_history_gone"};
constexpr EventId kObjectsIgnored{5160, "store_objects_ignored"};
constexpr EventId kCallSlow{5163, "store_call_slow"};
constexpr EventId kStoreRestored{5164, "store_restored"};

/// Least time between two log lines about objects that cannot be read, and
/// between two about slow calls.
constexpr absl::Duration kRepeatedLogInterval = absl::Seconds(10);
/// Time to an answer, beyond the wait of a watch, from which a call counts as
/// slow. A slow store answers within 250 ms.
constexpr absl::Duration kSlowAnswerTime = absl::Milliseconds(500);

}  // namespace

StoreCallLog::StoreCallLog(CounterRegistry& counters)
    : calls_(counters.Find("skylarkshunt_store_calls_total",
                           "Calls to the object store.")),
      failures_(counters.Find("skylarkshunt_store_failures_total",
                              "Calls to the object store without success.")),
      lost_watches_(counters.Find("skylarkshunt_store_watches_lost_total",
                                  "Watches that were not answered.")),
      objects_ignored_(counters.Find(
          "skylarkshunt_store_objects_ignored_total",
          "Objects in answers of the store that could not be read.")),
      epoch_gauge_(counters.Find(
          "skylarkshunt_store_epoch",
          "Number of the copy of the object store that answered last.",
          MetricType::kGauge)),
      answers_without_epoch_(counters.Find(
          "skylarkshunt_store_answers_without_epoch_total",
          "Answers of the object store that do not name their copy, or not "
          "readably.")),
      answer_time_(counters,
                   "skylarkshunt_store_answer",
                   "Time to an answer of the object store, without the wait "
                   "of a watch.",
                   ""),
      last_answer_(MonotonicNow()) {}

void StoreCallLog::RecordSuccess(absl::string_view what,
                                 Revision revision,
                                 absl::Time begun,
                                 absl::Duration wait) {
  calls_.Increment();
  RecordAnswerTime(what, MonotonicNow() - begun - wait);
  if (lost_) {
    LogLine(kStoreRegained)
        .Field("call", what)
        .Field("away_ms",
               absl::ToInt64Milliseconds(MonotonicNow() - lost_since_))
        .Field("unanswered_ms", absl::ToInt64Milliseconds(UnansweredTime()))
        .Field("revision", ToText(revision));
  }
  lost_ = false;
  last_answer_ = MonotonicNow();
}

void StoreCallLog::RecordFailure(absl::string_view what,
                                 Revision revision,
                                 const Error& error) {
  calls_.Increment();
  failures_.Increment();
  if (!lost_) {
    lost_since_ = MonotonicNow();
    LogLine(kStoreLost, Severity::kWarning)
        .Field("call", what)
        .Field("unanswered_ms", absl::ToInt64Milliseconds(UnansweredTime()))
        .Field("revision", ToText(revision))
        .Field("error", error.ToString());
  }
  lost_ = true;
}

void StoreCallLog::RecordHistoryGone(absl::string_view prefix,
                                     Revision position,
                                     const Error& error) {
  calls_.Increment();
  LogLine(kStoreHistoryGone)
      .Field("prefix", prefix)
      .Field("position", ToText(position))
      .Field("error", error.ToString());
}

void StoreCallLog::RecordEpoch(absl::optional<Epoch> epoch,
                               Revision revision,
                               Revision position) {
  if (!epoch.has_value()) {
    answers_without_epoch_.Increment();
    return;
  }
  epoch_gauge_.Set(ToNumber(*epoch));
  if (epoch_.has_value() && epoch_ != epoch) {
    LogLine(kStoreRestored, Severity::kWarning)
        .Field("epoch", ToNumber(*epoch))
        .Field("former_epoch", ToNumber(*epoch_))
        .Field("revision", ToText(revision))
        .Field("held", ToText(position));
  }
  epoch_ = epoch;
}

void StoreCallLog::RecordIgnored(absl::string_view prefix,
                                 const IgnoredObjects& ignored) {
  if (ignored.count == 0)
    return;
  objects_ignored_.Add(ignored.count);
  const absl::Time now = MonotonicNow();
  if (now < next_ignored_log_)
    return;
  next_ignored_log_ = now + kRepeatedLogInterval;
  LogLine(kObjectsIgnored, Severity::kWarning)
      .Field("prefix", prefix)
      .Field("count", ignored.count)
      .Field("first", ignored.first);
}

void StoreCallLog::RecordAnswerTime(absl::string_view what,
                                    absl::Duration time) {
  answer_time_.Record(std::max(time, absl::ZeroDuration()));
  const absl::Time now = MonotonicNow();
  if (time < kSlowAnswerTime || now < next_slow_log_)
    return;
  next_slow_log_ = now + kRepeatedLogInterval;
  LogLine(kCallSlow, Severity::kWarning)
      .Field("call", what)
      .Field("time_ms", absl::ToInt64Milliseconds(time))
      .Field("unanswered_ms", absl::ToInt64Milliseconds(UnansweredTime()));
}

absl::Duration StoreCallLog::UnansweredTime() const {
  return MonotonicNow() - last_answer_;
}

bool IsListNeeded(const Error& error) {
  return error.kind == ErrorKind::kNotFound ||
         error.kind == ErrorKind::kMalformedMessage ||
         error.kind == ErrorKind::kOversizedMessage;
}

}  // namespace skylarkshunt
