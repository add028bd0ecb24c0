#ifndef SKYLARKSHUNT_CONFIGURATION_CONFIG_RECORD_H_
#define SKYLARKSHUNT_CONFIGURATION_CONFIG_RECORD_H_

#include <string>

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

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_CONFIG_RECORD_H_
