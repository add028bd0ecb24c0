#ifndef SKYLARKSHUNT_CONFIGURATION_GENERATE_H_
#define SKYLARKSHUNT_CONFIGURATION_GENERATE_H_

#include <string>

#include "absl/types/optional.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/configuration/questionnaire.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

/// Random values for one apply, drawn by the caller.
struct ApplyIds {
  /// Uid for the service if it is new; not 0.
  ServiceUid new_service{};
  /// Unique id of this apply.
  RequestId apply;
};

/// Builds the configuration that `questionnaire` describes. A service that
/// exists as `current` keeps its uid, and with it its flows and target uids.
/// Thread-safe.
ServiceConfig GenerateServiceConfig(
    const Questionnaire& questionnaire,
    const absl::optional<ServiceConfig>& current,
    const ApplyIds& ids);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_GENERATE_H_
