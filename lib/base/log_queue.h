#ifndef SKYLARKSHUNT_LIB_BASE_LOG_QUEUE_H_
#define SKYLARKSHUNT_LIB_BASE_LOG_QUEUE_H_

#include <string>

#include "skylarkshunt/base/event.h"

namespace skylarkshunt {

/// Hands a line to the LogWriter, or counts it where the ring is full. Returns
/// false when there is no LogWriter. Thread-safe.
bool QueueLogLine(EventId id, Severity severity, std::string& text);

/// Writes a line through glog. Thread-safe.
void WriteLogLine(Severity severity, const std::string& text);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_BASE_LOG_QUEUE_H_
