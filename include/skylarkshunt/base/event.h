#ifndef SKYLARKSHUNT_BASE_EVENT_H_
#define SKYLARKSHUNT_BASE_EVENT_H_

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace skylarkshunt {

/// A numbered kind of log line. Each stands in docs/events.md; a test holds the
/// catalogue and the code together.
struct EventId {
  int number;
  const char* name;
};

/// How grave a log line is.
enum class Severity { kInfo, kWarning, kError };

/// Builds one log line "SKS1234 name key=value ..." and writes it through glog
/// when it goes out of scope, by way of the LogWriter where there is one. Not
/// thread-safe; make one per line.
class LogLine {
 public:
  explicit LogLine(EventId id, Severity severity = Severity::kInfo);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /// Adds ` key=value`. Text with blanks, quotes or '=' is quoted.
  LogLine& Field(absl::string_view key, absl::string_view value);
  LogLine& Field(absl::string_view key, const absl::AlphaNum& value) {
    return Field(key, value.Piece());
  }
  // Text converts to both types above alike.
  LogLine& Field(absl::string_view key, const std::string& value) {
    return Field(key, absl::string_view(value));
  }
  LogLine& Field(absl::string_view key, const char* value) {
    return Field(key, absl::string_view(value));
  }

 private:
  EventId id_;
  Severity severity_;
  std::string text_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_EVENT_H_
