#ifndef SKYLARKSHUNT_LIB_CTL_IN_FORCE_H_
#define SKYLARKSHUNT_LIB_CTL_IN_FORCE_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "context.h"
#include "instance_status.h"
#include "output.h"

namespace skylarkshunt {

/// Where a revision of a service is in force, as one entry sees it: at all
/// entries and at the agents of the service.
struct InForceReport {
  std::string service;
  Revision revision{};
  std::vector<InstanceStatus> instances;
  /// Instances that must apply the revision, and those that do.
  size_t counted = 0;
  size_t applied = 0;

  bool in_force() const { return counted > 0 && applied == counted; }
};

/// Judges `status` for `service` at `revision`. Pure and thread-safe.
InForceReport MakeInForceReport(const EntryStatus& status,
                                absl::string_view service,
                                Revision revision);

/// Reads the entry's status until the revision is in force everywhere or `wait`
/// has passed, and returns the last report. Errors: as ReadEntry(), when the
/// last read failed.
Result<InForceReport> AwaitInForce(const Context& context,
                                   absl::string_view service,
                                   Revision revision,
                                   absl::Duration wait);

void PrintReport(const Context& context, const InForceReport& report);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_IN_FORCE_H_
