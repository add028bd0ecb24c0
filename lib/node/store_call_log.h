#ifndef SKYLARKSHUNT_LIB_NODE_STORE_CALL_LOG_H_
#define SKYLARKSHUNT_LIB_NODE_STORE_CALL_LOG_H_

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "latency_metric.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/platform/platform_client.h"

namespace skylarkshunt {

/// Counts the calls of one thread to the object store. Logs when the store
/// becomes unavailable or available again for this thread. Not thread-safe.
class StoreCallLog {
 public:
  /// `counters` must outlive the log.
  explicit StoreCallLog(CounterRegistry& counters);

  /// Records the call `what`, which began at `begun` and may have waited for
  /// `wait`. `revision` is that of the state in force. Returns whether the call
  /// succeeded.
  template <typename T>
  bool Record(const Result<T>& result,
              absl::string_view what,
              Revision revision,
              absl::Time begun,
              absl::Duration wait = absl::ZeroDuration()) {
    if (result.has_value())
      RecordSuccess(what, revision, begun, wait);
    else
      RecordFailure(what, revision, result.error());
    return result.has_value();
  }
  /// Records a watch that was not answered.
  void RecordLostWatch() { lost_watches_.Increment(); }
  /// Records an answer that makes a list of `prefix` necessary, since the
  /// changes after `position` cannot be read.
  void RecordHistoryGone(absl::string_view prefix,
                         Revision position,
                         const Error& error);
  /// Records the epoch that an answer names, and logs a change: the store was
  /// restored from another copy, which gives out revisions anew. `revision` is
  /// the one that the answer names, `position` that of the state in force.
  void RecordEpoch(absl::optional<Epoch> epoch,
                   Revision revision,
                   Revision position);
  /// Counts objects below `prefix` that cannot be read. The others of the
  /// answer are used.
  void RecordIgnored(absl::string_view prefix, const IgnoredObjects& ignored);

 private:
  void RecordSuccess(absl::string_view what,
                     Revision revision,
                     absl::Time begun,
                     absl::Duration wait);
  void RecordFailure(absl::string_view what,
                     Revision revision,
                     const Error& error);
  void RecordAnswerTime(absl::string_view what, absl::Duration time);
  /// Time since the store last answered, or since the start. The state in force
  /// may be older than that of the store by this time.
  absl::Duration UnansweredTime() const;

  Counter& calls_;
  Counter& failures_;
  Counter& lost_watches_;
  Counter& objects_ignored_;
  Counter& epoch_gauge_;
  Counter& answers_without_epoch_;
  LatencyMetric answer_time_;
  absl::optional<Epoch> epoch_;
  bool lost_ = false;
  absl::Time lost_since_;
  absl::Time last_answer_;
  absl::Time next_ignored_log_ = absl::InfinitePast();
  absl::Time next_slow_log_ = absl::InfinitePast();
};

/// Whether the changes after a position cannot be read by a watch, because the
/// store no longer has them, they cannot be parsed or exceed an answer. They
/// would fail at every watch from there, so a list is needed. Thread-safe.
bool IsListNeeded(const Error& error);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_STORE_CALL_LOG_H_
