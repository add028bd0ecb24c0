#include "service_identity.h"

#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

absl::optional<ServiceIdentity> FindServiceIdentity(
    const ConfigRecord& record) {
  if (record.deleted)
    return absl::nullopt;
  const Result<ServiceConfig> config = ParseServiceConfig(record.body);
  if (!config.has_value())
    return absl::nullopt;
  return ServiceIdentity{config.value().uid, config.value().slots};
}

}  // namespace skylarkshunt
