#ifndef STANDINS_DEPLOYMENT_VERDICT_H_
#define STANDINS_DEPLOYMENT_VERDICT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

/// What the targets' own records say about the requests of a load.
struct Verdict {
  /// Non-idempotent request ids that ran more than once.
  uint64_t doubled = 0;
  /// Idempotent request ids that ran more than once, which is allowed.
  uint64_t rerun = 0;
  /// Request ids refused as not run that ran, or answered without a run.
  uint64_t untrue = 0;
  /// Runs of the busiest target over the mean of all targets.
  double imbalance = 0;
};

/// Compares the callers' records with GET /runs of every target. Errors:
/// kUnavailable for a target that does not answer, kNotFound for missing
/// records.
Result<Verdict> CompareWithRuns(const std::string& records,
                                const ServiceConfig& service,
                                const std::vector<Endpoint>& targets);

}  // namespace skylarkshunt

#endif  // STANDINS_DEPLOYMENT_VERDICT_H_
