#include "standins/target/run_log.h"

namespace skylarkshunt {

void RunLog::OnStart(const RequestId& id,
                     absl::string_view kind,
                     absl::Time now) {
  KindCounts& counts = kinds_[std::string(kind)];
  ++counts.runs;
  const auto found = runs_.find(id);
  if (found != runs_.end()) {
    counts.doubled += ++found->second.count == 2 ? 1 : 0;
    return;
  }
  if (runs_.size() >= kMaxLoggedRequests) {
    ++unlogged_;
    return;
  }
  Run& run = runs_[id];
  run.kind = std::string(kind);
  run.first_start = now;
  run.count = 1;
}

void RunLog::OnEnd(const RequestId& id, absl::Time now) {
  const auto found = runs_.find(id);
  if (found != runs_.end())
    found->second.last_end = now;
}

}  // namespace skylarkshunt
