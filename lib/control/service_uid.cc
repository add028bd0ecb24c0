#include "service_uid.h"

#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

absl::optional<ServiceUid> FindServiceUid(const ConfigRecord& record) {
  if (record.deleted)
    return absl::nullopt;
  const Result<ServiceConfig> config = ParseServiceConfig(record.body);
  if (!config.has_value())
    return absl::nullopt;
  return config.value().uid;
}

}  // namespace skylarkshunt
