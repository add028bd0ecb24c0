#ifndef SKYLARKSHUNT_LIB_NODE_DECISION_HISTORY_H_
#define SKYLARKSHUNT_LIB_NODE_DECISION_HISTORY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "skylarkshunt/forwarding/decision.h"

namespace skylarkshunt {

/// The latest decisions of a node, whether they were logged or not, so that an
/// operator can ask why a flow went the way it did. Thread-safe.
class DecisionHistory {
 public:
  void Add(absl::Time now, const Decision& decision);

  /// Returns the decisions about the flow "client>service" as JSON, the oldest
  /// first; all of them for an empty `flow`.
  std::string ToJson(absl::string_view flow) const;

  /// Decisions kept: the last ten seconds of an entry on the heaviest days.
  static constexpr size_t kMaxDecisions = 1'024;

 private:
  struct Entry {
    absl::Time time;
    Decision decision;
  };

  mutable absl::Mutex mutex_;
  std::vector<Entry> entries_ ABSL_GUARDED_BY(mutex_);
  size_t next_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_DECISION_HISTORY_H_
