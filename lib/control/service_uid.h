#ifndef SKYLARKSHUNT_LIB_CONTROL_SERVICE_UID_H_
#define SKYLARKSHUNT_LIB_CONTROL_SERVICE_UID_H_

#include "absl/types/optional.h"
#include "skylarkshunt/configuration/config_record.h"

namespace skylarkshunt {

/// Returns the uid in the body of a "services/NAME" record, or nothing when the
/// record is deleted or its body does not parse. Thread-safe.
absl::optional<ServiceUid> FindServiceUid(const ConfigRecord& record);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_SERVICE_UID_H_
