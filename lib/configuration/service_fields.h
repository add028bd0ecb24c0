#ifndef SKYLARKSHUNT_LIB_CONFIGURATION_SERVICE_FIELDS_H_
#define SKYLARKSHUNT_LIB_CONFIGURATION_SERVICE_FIELDS_H_

#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/serial/json_object.h"

// Include only in .cc files: it brings in nlohmann/json.hpp.

namespace skylarkshunt {

/// Maximum size of the text of a service object or a questionnaire, in bytes.
inline constexpr size_t kMaxServiceBytes = 65'536;

/// Reads the fields that a questionnaire and a stored service have in common:
/// kinds, slots, connections, data_centres, deadline_ms, drain_limit_s and
/// warm_up_step_ms. Errors are kept in `reader`, or returned when they
/// concern one of the kinds. Thread-safe.
Result<void> ReadServiceFields(JsonObjectReader& reader,
                               absl::string_view source,
                               ErrorKind kind,
                               ServiceConfig& config);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONFIGURATION_SERVICE_FIELDS_H_
