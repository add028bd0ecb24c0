#ifndef SKYLARKSHUNT_LIB_CONTROL_DRAIN_ORDER_H_
#define SKYLARKSHUNT_LIB_CONTROL_DRAIN_ORDER_H_

#include "skylarkshunt/configuration/config_record.h"

namespace skylarkshunt {

/// Whether a "drains/TARGETUID" record orders a drain: it is held, not deleted
/// and its body does not say {"drain": false}, as written by `target undrain`.
/// A body that cannot be read counts as an order. Thread-safe.
bool OrdersDrain(const ConfigRecord& record);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_DRAIN_ORDER_H_
