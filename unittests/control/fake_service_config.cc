// Stands for lib/configuration/service_config.cc until that is merged.
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

Result<ServiceConfig> ParseServiceConfig(absl::string_view body) {
  uint64_t uid = 0;
  if (!absl::SimpleAtoi(body, &uid))
    return MakeError(ErrorKind::kMalformedMessage, "no number", "write one");
  ServiceConfig config;
  config.uid = ServiceUid{uid};
  return config;
}

std::string WriteServiceConfig(const ServiceConfig& config) {
  return absl::StrCat(ToNumber(config.uid));
}

}  // namespace skylarkshunt
