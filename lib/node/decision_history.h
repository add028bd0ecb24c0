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

/// The latest decisions of a node, including those that the log omits.
/// Operators query it to find out why a flow was routed as it was. Thread-safe.
class DecisionHistory {
 public:
  void Add(absl::Time now, const Decision& decision);

  /// Returns the decisions about the flow "client>service" as JSON, oldest
  /// first; all decisions if `flow` is empty.
  std::string ToJson(absl::string_view flow) const;

  /// Number of decisions kept: ten seconds of an entry under the heaviest load.
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
