#ifndef SKYLARKSHUNT_LIB_CONTROL_SERVICE_IDENTITY_H_
#define SKYLARKSHUNT_LIB_CONTROL_SERVICE_IDENTITY_H_

#include "absl/types/optional.h"
#include "skylarkshunt/configuration/config_record.h"

namespace skylarkshunt {

/// Fields that an agent's own record takes from its service's record.
struct ServiceIdentity {
  ServiceUid uid{};
  uint16_t slots = 0;
};

/// Returns the uid and slots from the body of a "services/NAME" record, or
/// nullopt if the record is deleted or its body cannot be parsed. Thread-safe.
absl::optional<ServiceIdentity> FindServiceIdentity(const ConfigRecord& record);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_SERVICE_IDENTITY_H_
