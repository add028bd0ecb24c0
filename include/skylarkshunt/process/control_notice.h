#ifndef SKYLARKSHUNT_PROCESS_CONTROL_NOTICE_H_
#define SKYLARKSHUNT_PROCESS_CONTROL_NOTICE_H_

#include "skylarkshunt/control/entry_control.h"

namespace skylarkshunt {

/// Logs a change of membership or configuration. Thread-safe.
void LogControlNotice(const ControlNotice& notice);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PROCESS_CONTROL_NOTICE_H_
