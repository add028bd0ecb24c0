#ifndef SKYLARKSHUNT_LIB_CTL_SETTLE_H_
#define SKYLARKSHUNT_LIB_CTL_SETTLE_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/platform/platform_client.h"

namespace skylarkshunt {

/// A conditional write whose body carries "apply_id".
struct SettledWrite {
  std::string key;
  std::string body;
  /// Revision to replace; 0 for a new object.
  Revision expected{};
  std::string apply_id;
};

/// Writes once. If the answer is lost, reads the object back for up to `limit`
/// and compares the apply id; the write is never repeated. Returns the revision
/// of the write. Errors: as PlatformClient::Write(); kConflict also when
/// another change is in place after a lost answer, kOutcomeUnknown when `limit`
/// passes without proof.
Result<Revision> WriteSettled(PlatformClient& client,
                              const SettledWrite& write,
                              absl::Duration limit);

/// Removes once and settles a lost answer as above. Errors: as Remove().
Result<void> RemoveSettled(PlatformClient& client,
                           absl::string_view key,
                           Revision expected,
                           absl::Duration limit);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_SETTLE_H_
