#include "skylarkshunt/process/watch_schedule.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {

Result<WatchSchedule> WatchSchedule::Create(absl::Duration change_limit) {
  if (change_limit <= absl::ZeroDuration()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     absl::StrCat("time limit of a configuration change of ",
                                  absl::FormatDuration(change_limit)),
                     "set a time above 0");
  }
  return WatchSchedule(std::max(change_limit, kMinChangeLimit));
}

absl::Duration WatchSchedule::NextWait(size_t rank) const {
  if (lost_)
    return kProbeWait;
  if (rank < kIndependentEntries)
    return wait_;
  const double factor =
      static_cast<double>(rank + 1) / static_cast<double>(kIndependentEntries);
  return std::max(wait_, std::min(wait_ * factor, kMaxWait));
}

}  // namespace skylarkshunt
