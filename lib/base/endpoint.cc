#include "skylarkshunt/base/endpoint.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr int kMaxPort = 65535;

Error InvalidEndpoint(absl::string_view text) {
  return MakeError(ErrorKind::kInvalidArgument,
                   absl::StrCat("'", text, "' is not an IPv4 address and port"),
                   "write it as 127.0.0.1:7000, without a host name");
}

}  // namespace

Result<Endpoint> Endpoint::Parse(absl::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos)
    return InvalidEndpoint(text);
  in_addr address = {};
  const std::string host(text.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &address) != 1)
    return InvalidEndpoint(text);
  int port = 0;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > kMaxPort) {
    return InvalidEndpoint(text);
  }
  return Endpoint{ntohl(address.s_addr), static_cast<uint16_t>(port)};
}

std::string Endpoint::ToString() const {
  return absl::StrCat(address >> 24, ".", (address >> 16) & 0xff, ".",
                      (address >> 8) & 0xff, ".", address & 0xff, ":", port);
}

}  // namespace skylarkshunt
