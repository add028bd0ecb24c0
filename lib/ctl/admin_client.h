#ifndef SKYLARKSHUNT_LIB_CTL_ADMIN_CLIENT_H_
#define SKYLARKSHUNT_LIB_CTL_ADMIN_CLIENT_H_

#include <string>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Reads `path` of the admin end point `admin` of an instance, within a few
/// seconds. Errors: kUnavailable when it does not answer with 200. Thread-safe.
Result<std::string> GetAdmin(Endpoint admin, absl::string_view path);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_ADMIN_CLIENT_H_
