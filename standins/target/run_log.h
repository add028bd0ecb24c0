#ifndef STANDINS_TARGET_RUN_LOG_H_
#define STANDINS_TARGET_RUN_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// Every run of every request id, so that tests find requests that ran twice.
/// Holds kMaxLoggedRequests ids; runs of further ids are counted only. Not
/// thread-safe.
class RunLog {
 public:
  struct Run {
    std::string kind;
    absl::Time first_start;
    /// End of the last run; InfiniteFuture while none has ended.
    absl::Time last_end = absl::InfiniteFuture();
    uint32_t count = 0;
  };
  struct KindCounts {
    uint64_t runs = 0;
    /// Request ids that ran more than once.
    uint64_t doubled = 0;
  };

  void OnStart(const RequestId& id, absl::string_view kind, absl::Time now);
  void OnEnd(const RequestId& id, absl::Time now);

  const absl::flat_hash_map<RequestId, Run>& runs() const { return runs_; }
  const std::map<std::string, KindCounts>& kinds() const { return kinds_; }
  /// Runs that found the log full.
  uint64_t unlogged() const { return unlogged_; }

 private:
  absl::flat_hash_map<RequestId, Run> runs_;
  std::map<std::string, KindCounts> kinds_;
  uint64_t unlogged_ = 0;
};

/// Most request ids in one log.
inline constexpr size_t kMaxLoggedRequests = 1'000'000;

}  // namespace skylarkshunt

#endif  // STANDINS_TARGET_RUN_LOG_H_
