#ifndef STANDINS_TARGET_TARGET_H_
#define STANDINS_TARGET_TARGET_H_

#include <cstdint>
#include <list>
#include <random>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/error.h"
#include "standins/target/run_log.h"
#include "standins/work/work_order.h"

namespace skylarkshunt {

/// Faults of a target.
struct TargetFaults {
  enum class Mode {
    kServe,
    kFail,         ///< Runs, then answers 500.
    kHang,         ///< Starts and does not end until the mode changes.
    kCutAfterRun,  ///< Runs, then closes the connection: the answer is lost.
    kShed,         ///< Refuses with 503 and "X-Not-Run: 1".
  };
  enum class Health {
    kHealthy,   ///< Always 200, whatever the mode.
    kTruthful,  ///< 503 in the modes kFail and kHang.
    kSick,      ///< Always 503.
    kHang,      ///< No answer until changed.
  };
  Mode mode = Mode::kServe;
  /// Share of requests that the mode applies to; the others are served.
  double share = 1;
  Health health = Health::kHealthy;
  /// Age of what GET /health and GET /load show.
  absl::Duration lag;
  /// What GET /load shows as running; absent: the truth.
  absl::optional<uint32_t> claimed_running;
};

/// Reads {"mode":"serve|fail|hang|cut_after_run|shed","share":1,
/// "health":"healthy|truthful|sick|hang","lag_ms":0,"claimed_running":0}; a
/// missing key means no such fault. Errors: kInvalidArgument. Thread-safe.
Result<TargetFaults> ParseTargetFaults(absl::string_view json);

/// Running and queued requests, and the totals since the start.
struct TargetCounts {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t max_running = 0;
  uint64_t shed = 0;
  uint64_t failed = 0;
  uint64_t cut = 0;
};

/// The work of a target, without its HTTP side: at most `slots` runs at once,
/// a bounded queue before them, and faults. All methods are thread-safe; Run()
/// blocks for the time of the run.
class Target {
 public:
  struct Options {
    uint32_t slots = 4;
    /// Requests that may wait for a slot; more are shed.
    uint32_t queue = 16;
    /// For this time after the start runs take `cold_factor` times as long.
    absl::Duration cold_time;
    double cold_factor = 3;
    uint64_t seed = 1;
  };
  enum class Ended { kAnswered, kFailed, kCut, kShed };
  /// What GET /health and GET /load show.
  struct View {
    bool healthy = true;
    uint32_t running = 0;
    uint32_t queued = 0;
  };

  explicit Target(const Options& options);

  /// Runs `order`, or sheds it when the queue is full or `deadline` comes
  /// before a slot.
  Ended Run(const WorkOrder& order,
            absl::string_view kind,
            absl::Time deadline);

  void SetFaults(const TargetFaults& faults);
  /// Waits while the health fault is kHang.
  View Observe();
  TargetCounts Counts() const;
  RunLog Log() const;
  uint32_t slots() const { return options_.slots; }
  /// Ends all waiting at once; Run() sheds from then on.
  void Stop();

 private:
  using Mode = TargetFaults::Mode;

  bool TakeSlot(absl::Time deadline) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Mode DrawMode() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Work(absl::Duration run_time, Mode mode)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  View Truth() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Options options_;
  const absl::Time start_;
  mutable absl::Mutex mutex_;
  TargetFaults faults_ ABSL_GUARDED_BY(mutex_);
  uint64_t fault_changes_ ABSL_GUARDED_BY(mutex_) = 0;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  /// Tickets of waiting requests, in order of arrival.
  std::list<uint64_t> waiting_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_ticket_ ABSL_GUARDED_BY(mutex_) = 0;
  TargetCounts counts_ ABSL_GUARDED_BY(mutex_);
  RunLog log_ ABSL_GUARDED_BY(mutex_);
  View shown_ ABSL_GUARDED_BY(mutex_);
  absl::Time shown_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace skylarkshunt

#endif  // STANDINS_TARGET_TARGET_H_
