#include "skylarkshunt/packets/packet.h"

#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {

std::string FlowId::ToString() const {
  return absl::StrCat(client.ToString(), ">", service.ToString());
}

uint64_t StableFlowHash(const FlowId& flow) {
  const uint64_t addresses =
      (uint64_t{flow.client.address} << 32) | flow.service.address;
  const uint64_t ports = (uint64_t{flow.client.port} << 16) | flow.service.port;
  return StableHash(addresses, ports);
}

}  // namespace skylarkshunt
