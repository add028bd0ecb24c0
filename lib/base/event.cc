#include "skylarkshunt/base/event.h"

#include <glog/logging.h>

#include "absl/strings/escaping.h"
#include "log_queue.h"

namespace skylarkshunt {

void WriteLogLine(Severity severity, const std::string& text) {
  switch (severity) {
    case Severity::kInfo:
      LOG(INFO) << text;
      return;
    case Severity::kWarning:
      LOG(WARNING) << text;
      return;
    case Severity::kError:
      LOG(ERROR) << text;
      return;
  }
}

LogLine::LogLine(EventId id, Severity severity)
    : id_(id),
      severity_(severity),
      text_(absl::StrCat("SKS", id.number, " ", id.name)) {}

LogLine::~LogLine() {
  if (!QueueLogLine(id_, severity_, text_))
    WriteLogLine(severity_, text_);
}

LogLine& LogLine::Field(absl::string_view key, absl::string_view value) {
  const bool plain = !value.empty() &&
                     value.find_first_of(" \"=\n\t") == absl::string_view::npos;
  if (plain)
    absl::StrAppend(&text_, " ", key, "=", value);
  else
    absl::StrAppend(&text_, " ", key, "=\"", absl::CEscape(value), "\"");
  return *this;
}

}  // namespace skylarkshunt
