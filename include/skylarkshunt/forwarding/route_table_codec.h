#ifndef SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_CODEC_H_
#define SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_CODEC_H_

#include <string>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/forwarding/route_table.h"

namespace skylarkshunt {

/// Returns `table` in the encoding that nodes send to each other. The
/// deployment's own format is parsed only where a node reads it from the store,
/// since parsing it on a small share of a core takes twenty times as long. The
/// same table gives the same bytes on every node. Thread-safe.
std::string EncodeRouteTable(const RouteTable& table);

/// Decodes the result of EncodeRouteTable(). Errors: kMalformedMessage for
/// truncated or surplus bytes, and for bytes of another release. Thread-safe.
Result<RouteTable> DecodeRouteTable(absl::string_view bytes);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_CODEC_H_
