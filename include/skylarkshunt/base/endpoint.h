#ifndef SKYLARKSHUNT_BASE_ENDPOINT_H_
#define SKYLARKSHUNT_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// An IPv4 address and a port, both in host byte order.
struct Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;

  /// Reads "a.b.c.d:port". Errors: kInvalidArgument for host names, IPv6 and
  /// anything else. Thread-safe.
  static Result<Endpoint> Parse(absl::string_view text);

  /// Returns "a.b.c.d:port". Thread-safe on a const object.
  std::string ToString() const;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.address == b.address && a.port == b.port;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  template <typename H>
  friend H AbslHashValue(H h, const Endpoint& e) {
    return H::combine(std::move(h), e.address, e.port);
  }
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_ENDPOINT_H_
