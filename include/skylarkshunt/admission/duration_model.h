#ifndef SKYLARKSHUNT_ADMISSION_DURATION_MODEL_H_
#define SKYLARKSHUNT_ADMISSION_DURATION_MODEL_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

/// Learns how long each kind of request runs at the target. Not thread-safe.
class DurationModel {
 public:
  /// Takes the service's kinds. A kind that stays keeps what was learned.
  void Configure(absl::Span<const KindConfig> kinds);

  /// Learns from a run of `kind` that took `run`. Unknown kinds are ignored.
  void Observe(absl::string_view kind, absl::Duration run);

  /// Returns the learned run time of `kind`, at least a millisecond. An unknown
  /// kind has the service's median.
  absl::Duration Expected(absl::string_view kind) const;

  /// Whether `kind` runs over 4 times the median run of the service. The median
  /// weighs each kind by its share of the recent runs.
  bool IsStraggler(absl::string_view kind) const;

 private:
  struct Learned {
    absl::Duration duration;
    /// Recent runs, decaying; 1 before the first run.
    double runs = 1;
  };

  void UpdateMedian();

  absl::flat_hash_map<std::string, Learned> kinds_;
  absl::Duration median_ = absl::Milliseconds(50);
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_ADMISSION_DURATION_MODEL_H_
