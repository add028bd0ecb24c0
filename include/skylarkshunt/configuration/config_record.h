#ifndef SKYLARKSHUNT_CONFIGURATION_CONFIG_RECORD_H_
#define SKYLARKSHUNT_CONFIGURATION_CONFIG_RECORD_H_

#include <string>

#include "absl/types/span.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// One configuration object as nodes propagate it: "services/NAME" or
/// "drains/TARGETUID" (16 hexadecimal digits). The highest revision of a key
/// wins, regardless of its source.
struct ConfigRecord {
  std::string key;
  Revision revision{};
  bool deleted = false;
  /// JSON text of the object; empty when deleted.
  std::string body;
};

/// Returns the highest revision of `records`, or 0 if there are none.
/// Thread-safe.
inline Revision NewestRevision(absl::Span<const ConfigRecord> records) {
  Revision newest{};
  for (const ConfigRecord& record : records) {
    if (ToNumber(record.revision) > ToNumber(newest))
      newest = record.revision;
  }
  return newest;
}

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_CONFIG_RECORD_H_
