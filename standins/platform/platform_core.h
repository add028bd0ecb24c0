#ifndef SKYLARKSHUNT_STANDINS_PLATFORM_PLATFORM_CORE_H_
#define SKYLARKSHUNT_STANDINS_PLATFORM_PLATFORM_CORE_H_

#include <array>
#include <cstdint>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "standins/platform/call_limiter.h"
#include "standins/platform/fault.h"
#include "standins/platform/object_store.h"

namespace skylarkshunt {

/// Kinds of call that the stand-in counts.
enum class CallKind { kRead, kList, kWrite, kRemove, kWatch };
inline constexpr size_t kCallKinds = 5;

struct CallCounts {
  std::array<uint64_t, kCallKinds> by_kind = {};
  /// Answered 429.
  uint64_t rejected = 0;
  /// Hit by a fault.
  uint64_t faulted = 0;
};

/// An HTTP answer. `cut_off` ends the connection before the body.
struct PlatformAnswer {
  int status = 200;
  std::string body;
  bool cut_off = false;
  /// Number of the copy of the store that answers; nothing for a store that
  /// does not report it.
  absl::optional<uint64_t> epoch;
};

/// Everything the stand-in platform does, apart from HTTP itself. Thread-safe;
/// each call is meant for a thread of its own, since slow calls and watches
/// wait.
class PlatformCore {
 public:
  struct Options {
    uint32_t writes_per_second = 400;
    uint32_t reads_per_second = 2000;
    /// Changes kept for watches.
    size_t max_log = 10'000;
    /// Most objects of one answer to a list.
    size_t page_size = 500;
    /// Whether answers name the epoch, which a store of an earlier release does
    /// not.
    bool reports_epoch = true;
  };

  explicit PlatformCore(const Options& options);

  PlatformAnswer Read(absl::string_view key);
  /// The objects below `prefix` with keys after `after`, one page of them.
  PlatformAnswer List(absl::string_view prefix, absl::string_view after = "");
  PlatformAnswer Write(absl::string_view key,
                       absl::string_view body,
                       uint64_t expected);
  PlatformAnswer Remove(absl::string_view key, uint64_t expected);
  PlatformAnswer Watch(absl::string_view prefix,
                       uint64_t after,
                       absl::Duration wait);

  /// Keeps a copy of the store as it is now, instead of the last one.
  void TakeCopy();
  /// Returns to the last copy in a new epoch: what was written since is lost,
  /// its revisions are given out again, and waiting watches are cut off.
  /// Precondition: TakeCopy() was called.
  void Restore();
  /// As Restore(), once the next call has been answered.
  void RestoreAfterNextCall();

  void SetFault(const Fault& fault);
  CallCounts counts() const;
  /// Ends all waits; calls are answered 503 from now on.
  void Stop();

 private:
  /// Counts a call, applies limits and faults; returns an answer when the call
  /// ends here.
  absl::optional<PlatformAnswer> Admit(CallKind kind)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RestoreLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Returns `answer` with the present epoch.
  PlatformAnswer WithEpoch(PlatformAnswer answer)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  PlatformAnswer ReadLocked(absl::string_view key)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  PlatformAnswer ListLocked(absl::string_view prefix, absl::string_view after)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  PlatformAnswer WriteLocked(absl::string_view key,
                             absl::string_view body,
                             uint64_t expected)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  PlatformAnswer RemoveLocked(absl::string_view key, uint64_t expected)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  PlatformAnswer WatchLocked(absl::string_view prefix,
                             uint64_t after,
                             absl::Duration wait)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Waits until Stop(), so that the call gets no answer.
  PlatformAnswer LoseCall() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// Whether `mode` is set; then one call of its count is used up.
  bool TakeFault(FaultMode mode) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  PlatformAnswer AnswerChange(absl::string_view key, const ChangeResult& result)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  PlatformAnswer AwaitChanges(absl::string_view prefix,
                              uint64_t after,
                              absl::Duration wait)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  ObjectStore store_ ABSL_GUARDED_BY(mutex_);
  absl::optional<ObjectStore> copy_ ABSL_GUARDED_BY(mutex_);
  uint64_t epoch_ ABSL_GUARDED_BY(mutex_) = 1;
  bool restores_after_call_ ABSL_GUARDED_BY(mutex_) = false;
  CallLimiter writes_ ABSL_GUARDED_BY(mutex_);
  CallLimiter reads_ ABSL_GUARDED_BY(mutex_);
  Fault fault_ ABSL_GUARDED_BY(mutex_);
  CallCounts counts_ ABSL_GUARDED_BY(mutex_);
  const size_t page_size_;
  const bool reports_epoch_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PLATFORM_PLATFORM_CORE_H_
