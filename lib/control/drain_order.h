#ifndef SKYLARKSHUNT_LIB_CONTROL_DRAIN_ORDER_H_
#define SKYLARKSHUNT_LIB_CONTROL_DRAIN_ORDER_H_

#include "skylarkshunt/configuration/config_record.h"

namespace skylarkshunt {

/// Returns whether a "drains/TARGETUID" record orders a drain. It does unless
/// it is a default record, is deleted, or its body contains {"drain": false},
/// as written by `target undrain`. A body that cannot be parsed counts as an
/// order. Thread-safe.
bool OrdersDrain(const ConfigRecord& record);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_DRAIN_ORDER_H_
