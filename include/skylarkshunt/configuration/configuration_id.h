#ifndef SKYLARKSHUNT_CONFIGURATION_CONFIGURATION_ID_H_
#define SKYLARKSHUNT_CONFIGURATION_CONFIGURATION_ID_H_

#include <cstdint>
#include <tuple>

#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// Identifies a configuration of all routes, and orders it among others. The
/// operator's version comes first: a store that was restored from an older copy
/// shows an older version under a later revision until the operator has written
/// again. The revision orders configurations of the same version.
struct ConfigurationId {
  /// 0 if there is no configuration.
  uint64_t version = 0;
  Revision revision{};

  friend bool operator==(const ConfigurationId& a, const ConfigurationId& b) {
    return a.version == b.version && a.revision == b.revision;
  }
  friend bool operator!=(const ConfigurationId& a, const ConfigurationId& b) {
    return !(a == b);
  }
  friend bool operator<(const ConfigurationId& a, const ConfigurationId& b) {
    return std::tie(a.version, a.revision) < std::tie(b.version, b.revision);
  }
  friend bool operator>(const ConfigurationId& a, const ConfigurationId& b) {
    return b < a;
  }
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_CONFIGURATION_ID_H_
