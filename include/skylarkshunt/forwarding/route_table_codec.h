#ifndef SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_CODEC_H_
#define SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_CODEC_H_

#include <string>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/forwarding/route_table.h"

namespace skylarkshunt {

/// Returns `table` as nodes hand it to each other. A deployment's own format is
/// read where it comes from the store only: on a small share of a core that
/// takes twenty times as long. The same table gives the same bytes on every
/// node. Thread-safe.
std::string EncodeRouteTable(const RouteTable& table);

/// Errors: kMalformedMessage for bytes that are cut off, surplus or of another
/// release. Thread-safe.
Result<RouteTable> DecodeRouteTable(absl::string_view bytes);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_ROUTE_TABLE_CODEC_H_
