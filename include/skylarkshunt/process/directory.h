#ifndef SKYLARKSHUNT_PROCESS_DIRECTORY_H_
#define SKYLARKSHUNT_PROCESS_DIRECTORY_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Returns the key of the directory object of `region`. Thread-safe.
std::string DirectoryKey(absl::string_view region);

/// Parses the body of a directory object, {"entries":["ip:port",...]}: control
/// endpoints of entries. Errors: kMalformedMessage. Thread-safe.
Result<std::vector<Endpoint>> ParseDirectory(absl::string_view body);

/// Returns the body of a directory object. Entries beyond kMaxDirectoryEntries
/// are omitted. Thread-safe.
std::string WriteDirectoryBody(absl::Span<const Endpoint> entries);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PROCESS_DIRECTORY_H_
