#ifndef SKYLARKSHUNT_BASE_LOG_WRITER_H_
#define SKYLARKSHUNT_BASE_LOG_WRITER_H_

#include <memory>

#include "absl/time/time.h"

namespace skylarkshunt {

/// While a LogWriter exists, log lines are handed to its thread through a
/// bounded ring, so that a slow reader of the output never delays the thread
/// that logs. Lines that find the ring full are counted by event and reported
/// as SKS1010 as soon as there is room. A line starts with its severity and the
/// time at which it was logged, not at which it was written. At most one exists
/// at a time; lines logged without one are written at once. Destroying it
/// writes what is left.
class LogWriter {
 public:
  /// Precondition: no other LogWriter exists.
  static std::unique_ptr<LogWriter> Start();
  virtual ~LogWriter() = default;

  /// Writes what was logged so far, for `limit` at most: a reader that has
  /// stopped must not keep a process from ending. Returns whether all was
  /// written. Other threads may go on logging; their lines are kept until the
  /// writer is destroyed. Thread-safe; call it once.
  virtual bool Finish(absl::Duration limit) = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_LOG_WRITER_H_
