#include "skylarkshunt/configuration/generate.h"

namespace skylarkshunt {

ServiceConfig GenerateServiceConfig(
    const Questionnaire& questionnaire,
    const absl::optional<ServiceConfig>& current,
    const ApplyIds& ids) {
  ServiceConfig config = questionnaire.service;
  config.uid = current.has_value() ? current->uid : ids.new_service;
  config.apply_id = ToHex(ids.apply);
  return config;
}

}  // namespace skylarkshunt
