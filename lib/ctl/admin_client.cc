#include "admin_client.h"

#include <httplib.h>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr int kOk = 200;
constexpr time_t kTimeoutSeconds = 2;
constexpr size_t kMaxAnswerBytes = 33'554'432;

}  // namespace

Result<std::string> GetAdmin(Endpoint admin, absl::string_view path) {
  const std::string address = admin.ToString();
  httplib::Client client(address.substr(0, address.find(':')), admin.port);
  client.set_connection_timeout(kTimeoutSeconds);
  client.set_read_timeout(kTimeoutSeconds);
  client.set_write_timeout(kTimeoutSeconds);
  std::string body;
  const httplib::Result result =
      client.Get(std::string(path), [&body](const char* data, size_t size) {
        if (body.size() + size > kMaxAnswerBytes)
          return false;
        body.append(data, size);
        return true;
      });
  if (result && result->status == kOk)
    return body;
  const std::string found = result ? absl::StrCat("answered ", result->status)
                                   : httplib::to_string(result.error());
  return MakeError(ErrorKind::kUnavailable,
                   absl::StrCat("admin end point ", address, path, ": ", found),
                   "check the address, or ask another instance");
}

}  // namespace skylarkshunt
