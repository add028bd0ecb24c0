#include "skylarkshunt/base/event.h"

#include <glog/logging.h>

#include "absl/strings/escaping.h"

namespace skylarkshunt {

LogLine::LogLine(EventId id, Severity severity)
    : severity_(severity),
      text_(absl::StrCat("SKS", id.number, " ", id.name)) {}

LogLine::~LogLine() {
  switch (severity_) {
    case Severity::kInfo:
      LOG(INFO) << text_;
      return;
    case Severity::kWarning:
      LOG(WARNING) << text_;
      return;
    case Severity::kError:
      LOG(ERROR) << text_;
      return;
  }
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
