#include "drain_order.h"

#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {

bool OrdersDrain(const ConfigRecord& record) {
  if (record.revision == Revision{} || record.deleted)
    return false;
  const auto body =
      ParseJsonObject(record.body, "drain order", ErrorKind::kMalformedMessage);
  if (!body)
    return true;
  const auto drain = body.value().find("drain");
  const bool withdrawn =
      drain != body.value().end() && drain->is_boolean() && !drain->get<bool>();
  return !withdrawn;
}

}  // namespace skylarkshunt
