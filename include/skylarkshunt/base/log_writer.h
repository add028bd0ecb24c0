#ifndef SKYLARKSHUNT_BASE_LOG_WRITER_H_
#define SKYLARKSHUNT_BASE_LOG_WRITER_H_

#include <memory>

namespace skylarkshunt {

/// While a LogWriter exists, log lines are handed to its thread through a
/// bounded ring, so that a slow reader of the output never delays the thread
/// that logs. Lines that find the ring full are counted by event and reported
/// as SKS1010 as soon as there is room. At most one exists at a time; lines
/// logged without one are written at once. Destroying it writes what is left.
class LogWriter {
 public:
  /// Precondition: no other LogWriter exists.
  static std::unique_ptr<LogWriter> Start();
  virtual ~LogWriter() = default;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_LOG_WRITER_H_
