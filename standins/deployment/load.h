#ifndef STANDINS_DEPLOYMENT_LOAD_H_
#define STANDINS_DEPLOYMENT_LOAD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "standins/deployment/deployment.h"

namespace skylarkshunt {

/// What the callers of one service said at the end.
struct LoadSummary {
  uint64_t requests = 0;
  uint64_t ok = 0;
  uint64_t wrong = 0;
  uint64_t missing = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  /// Idempotent requests without a final word at their deadline.
  uint64_t timed_out = 0;
  uint64_t broken_flows = 0;
  /// Of the kind with the shortest usual duration.
  double short_p99_ms = 0;
  /// Distinct targets that answered.
  size_t targets = 0;
};

/// One run of the load tool against one service.
class LoadRun {
 public:
  struct Options {
    /// Share of the targets' slots that the load keeps busy.
    double utilisation = 0.5;
    uint32_t flows = 200;
    /// Requests after which a caller closes its flow and opens another; 0: the
    /// flows stay open.
    uint32_t requests_per_flow = 0;
    absl::Duration duration = absl::Seconds(12);
    uint64_t seed = 1;
  };

  /// Starts standin_caller. `name` is that of its log and records. Errors: as
  /// ChildProcess::Start().
  static Result<LoadRun> Start(const Folders& folders,
                               const std::string& name,
                               Endpoint fabric,
                               const ServicePlan& service,
                               const Options& options);

  /// Waits for the end and reads the summary. Errors: kUnavailable.
  Result<LoadSummary> Finish();

  /// File with one line per request id.
  const std::string& records() const { return records_; }

 private:
  LoadRun(std::unique_ptr<ChildProcess> child,
          std::string records,
          std::string short_kind,
          absl::Duration limit)
      : child_(std::move(child)),
        records_(std::move(records)),
        short_kind_(std::move(short_kind)),
        limit_(limit) {}

  std::unique_ptr<ChildProcess> child_;
  std::string records_;
  std::string short_kind_;
  absl::Duration limit_;
};

}  // namespace skylarkshunt

#endif  // STANDINS_DEPLOYMENT_LOAD_H_
