#ifndef SKYLARKSHUNT_PROCESS_WATCH_SCHEDULE_H_
#define SKYLARKSHUNT_PROCESS_WATCH_SCHEDULE_H_

#include <cstddef>

#include "absl/time/time.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Decides how long each watch of the object store waits. A store that is
/// silent for a moment may lose a waiting call without a trace, so that nothing
/// is learned until the call times out. Pure logic. Not thread-safe.
class WatchSchedule {
 public:
  /// `change_limit` is the time within which a change must be in force once the
  /// store answers again. Limits below kMinChangeLimit count as that. Errors:
  /// kInvalidArgument if `change_limit` is not positive.
  static Result<WatchSchedule> Create(absl::Duration change_limit);

  /// Returns the wait of the next watch of the entry that `rank` responsive
  /// entries precede, in an order that all entries agree on. The first
  /// kIndependentEntries find a lost watch in time by themselves. The later
  /// ones wait longer, up to kMaxWait, and learn of changes from them.
  absl::Duration NextWait(size_t rank) const;
  /// Time after the end of the wait within which the answer must begin.
  /// NextWait(0) and this take three quarters of the limit. The rest is for the
  /// next call.
  absl::Duration answer_timeout() const { return answer_timeout_; }

  /// Whether the next watch only finds out whether the store is available.
  bool is_probing() const { return lost_; }

  /// Records that the last watch was answered.
  void OnAnswered() { lost_ = false; }
  /// Records that the last watch was not answered. The next one waits only for
  /// kProbeWait, because its answer shows that the store is available again.
  void OnLost() { lost_ = true; }

  static constexpr absl::Duration kMinChangeLimit = absl::Seconds(1);
  static constexpr absl::Duration kProbeWait = absl::Milliseconds(100);
  /// Longest wait. In a large fleet it limits the number of calls.
  static constexpr absl::Duration kMaxWait = absl::Seconds(10);
  static constexpr size_t kIndependentEntries = 8;

 private:
  explicit WatchSchedule(absl::Duration change_limit)
      : wait_(change_limit / 2), answer_timeout_(change_limit / 4) {}

  absl::Duration wait_;
  absl::Duration answer_timeout_;
  bool lost_ = false;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PROCESS_WATCH_SCHEDULE_H_
