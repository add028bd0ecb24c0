#include "skylarkshunt/platform/platform_client.h"

#include <httplib.h>

#include <chrono>

#include "absl/strings/str_cat.h"
#include "wire.h"

namespace skylarkshunt {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

constexpr absl::string_view kRetryRemedy =
    "try again later; nothing was changed";

/// Answer of one HTTP exchange, or why there is none.
struct Exchange {
  httplib::Error error = httplib::Error::Success;
  int status = 0;
  std::string body;

  bool answered() const { return error == httplib::Error::Success; }
  /// Whether the platform cannot have seen the request.
  bool not_sent() const {
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout;
  }
};

Error InvalidKey(absl::string_view key) {
  return MakeError(ErrorKind::kInvalidArgument,
                   absl::StrCat("'", key, "' is not an object key"),
                   "use up to 200 letters, digits, '-', '_', '.' and '/'");
}

/// The error of a read that did not end with 200.
Error ReadError(const Exchange& exchange, absl::string_view what) {
  if (!exchange.answered()) {
    return MakeError(ErrorKind::kUnavailable,
                     absl::StrCat(what, ": no answer from the platform (",
                                  httplib::to_string(exchange.error), ")"),
                     "check the address and whether the platform is up");
  }
  const std::string message =
      absl::StrCat(what, ": the platform answered ", exchange.status);
  switch (exchange.status) {
    case kNotFound:
      return MakeError(ErrorKind::kNotFound, absl::StrCat(what, ": no object"),
                       "check the name");
    case kGone:
      return MakeError(ErrorKind::kNotFound,
                       absl::StrCat(what, ": the changes are no longer held"),
                       "list the objects again");
    case kTooManyRequests:
      return MakeError(ErrorKind::kRateLimited, message, kRetryRemedy);
    default:
      return MakeError(ErrorKind::kUnavailable, message,
                       "check whether the platform is up");
  }
}

/// The error of a write or removal that did not end with 200.
Error WriteError(const Exchange& exchange, absl::string_view what) {
  if (exchange.not_sent()) {
    return MakeError(ErrorKind::kUnavailable,
                     absl::StrCat(what, ": no connection to the platform"),
                     kRetryRemedy);
  }
  const std::string message =
      exchange.answered()
          ? absl::StrCat(what, ": the platform answered ", exchange.status)
          : absl::StrCat(what, ": sent, but no answer arrived (",
                         httplib::to_string(exchange.error), ")");
  const bool unknown =
      !exchange.answered() || (exchange.status >= kFirstServerError &&
                               exchange.status != kServiceUnavailable);
  if (unknown) {
    return MakeError(ErrorKind::kOutcomeUnknown, message,
                     "read the object back before any other change");
  }
  switch (exchange.status) {
    case kNotFound:
      return MakeError(ErrorKind::kNotFound, absl::StrCat(what, ": no object"),
                       "check the name");
    case kPreconditionFailed:
      return MakeError(ErrorKind::kConflict,
                       absl::StrCat(what, ": the object was changed meanwhile"),
                       "read it again and compare");
    case kTooManyRequests:
      return MakeError(ErrorKind::kRateLimited, message, kRetryRemedy);
    case kServiceUnavailable:
      return MakeError(ErrorKind::kUnavailable, message, kRetryRemedy);
    default:
      return MakeError(ErrorKind::kInvalidArgument, message,
                       "check key and size of the object");
  }
}

class HttpPlatformClient : public PlatformClient {
 public:
  explicit HttpPlatformClient(const Options& options) : options_(options) {}

  Result<ConfigRecord> Read(absl::string_view key) override;
  Result<ObjectList> List(absl::string_view prefix) override;
  Result<Revision> Write(absl::string_view key,
                         absl::string_view body,
                         Revision expected) override;
  Result<Revision> Remove(absl::string_view key, Revision expected) override;
  Result<WatchBatch> Watch(absl::string_view prefix,
                           Revision after,
                           absl::Duration wait) override;

 private:
  Exchange Call(httplib::Request request, absl::Duration wait);
  Result<Revision> Change(httplib::Request request, absl::string_view what);

  const Options options_;
};

httplib::Request MakeRequest(const char* method, std::string path) {
  httplib::Request request;
  request.method = method;
  request.path = std::move(path);
  return request;
}

/// Each call has a connection of its own: on a kept connection that the
/// platform closes, a write could not be told apart from one that was sent.
Exchange HttpPlatformClient::Call(httplib::Request request,
                                  absl::Duration wait) {
  const std::string address = options_.platform.ToString();
  httplib::Client client(address.substr(0, address.find(':')),
                         options_.platform.port);
  // Connecting, sending and reading share the time of one call.
  const auto part = absl::ToChronoMicroseconds(options_.timeout / 4);
  client.set_connection_timeout(part);
  client.set_write_timeout(part);
  client.set_read_timeout(
      absl::ToChronoMicroseconds(options_.timeout / 2 + wait));
  const auto give_up = std::chrono::steady_clock::now() +
                       absl::ToChronoMicroseconds(options_.timeout + wait);

  Exchange exchange;
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    if (exchange.body.size() + size > kMaxAnswerBytes ||
        std::chrono::steady_clock::now() > give_up) {
      return false;
    }
    exchange.body.append(data, size);
    return true;
  };
  const httplib::Result result = client.send(request);
  exchange.error = result.error();
  if (result)
    exchange.status = result->status;
  return exchange;
}

Result<ConfigRecord> HttpPlatformClient::Read(absl::string_view key) {
  if (!IsObjectKey(key))
    return InvalidKey(key);
  const Exchange exchange =
      Call(MakeRequest("GET", absl::StrCat("/v1/objects/", key)),
           absl::ZeroDuration());
  if (!exchange.answered() || exchange.status != kOk)
    return ReadError(exchange, absl::StrCat("read of ", key));
  return ParseObjectAnswer(exchange.body);
}

Result<ObjectList> HttpPlatformClient::List(absl::string_view prefix) {
  if (!IsObjectKey(prefix))
    return InvalidKey(prefix);
  const Exchange exchange =
      Call(MakeRequest("GET", absl::StrCat("/v1/objects?prefix=", prefix)),
           absl::ZeroDuration());
  if (!exchange.answered() || exchange.status != kOk)
    return ReadError(exchange, absl::StrCat("list of ", prefix));
  return ParseListAnswer(exchange.body);
}

Result<Revision> HttpPlatformClient::Change(httplib::Request request,
                                            absl::string_view what) {
  const Exchange exchange = Call(std::move(request), absl::ZeroDuration());
  if (!exchange.answered() || exchange.status != kOk)
    return WriteError(exchange, what);
  Result<Revision> revision = ParseRevisionAnswer(exchange.body);
  if (revision.has_value())
    return revision;
  return MakeError(ErrorKind::kOutcomeUnknown,
                   absl::StrCat(what, ": ", revision.error().message),
                   "read the object back before any other change");
}

Result<Revision> HttpPlatformClient::Write(absl::string_view key,
                                           absl::string_view body,
                                           Revision expected) {
  if (!IsObjectKey(key))
    return InvalidKey(key);
  if (body.size() > kMaxObjectBytes) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        absl::StrCat("write of ", key, ": ", body.size(), " bytes"),
        absl::StrCat("keep it at or below ", kMaxObjectBytes));
  }
  httplib::Request request =
      MakeRequest("PUT", absl::StrCat("/v1/objects/", key));
  if (expected == Revision{})
    request.set_header("If-None-Match", "*");
  else
    request.set_header("If-Match",
                       absl::StrCat("\"", ToNumber(expected), "\""));
  request.set_header("Content-Type", "application/json");
  request.body = std::string(body);
  return Change(std::move(request), absl::StrCat("write of ", key));
}

Result<Revision> HttpPlatformClient::Remove(absl::string_view key,
                                            Revision expected) {
  if (!IsObjectKey(key))
    return InvalidKey(key);
  httplib::Request request =
      MakeRequest("DELETE", absl::StrCat("/v1/objects/", key));
  request.set_header("If-Match", absl::StrCat("\"", ToNumber(expected), "\""));
  return Change(std::move(request), absl::StrCat("removal of ", key));
}

Result<WatchBatch> HttpPlatformClient::Watch(absl::string_view prefix,
                                             Revision after,
                                             absl::Duration wait) {
  if (!IsObjectKey(prefix))
    return InvalidKey(prefix);
  const Exchange exchange = Call(
      MakeRequest("GET", absl::StrCat("/v1/watch?prefix=", prefix,
                                      "&after=", ToNumber(after), "&wait_ms=",
                                      absl::ToInt64Milliseconds(wait))),
      wait);
  if (!exchange.answered() || exchange.status != kOk)
    return ReadError(exchange, absl::StrCat("watch of ", prefix));
  return ParseWatchAnswer(exchange.body);
}

}  // namespace

Result<std::unique_ptr<PlatformClient>> PlatformClient::Create(
    const Options& options) {
  if (options.platform.port == 0 || options.timeout <= absl::ZeroDuration()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the platform client needs an address with a port and a "
                     "timeout above 0",
                     "check the settings 'platform' and 'platform_timeout_ms'");
  }
  return std::unique_ptr<PlatformClient>(
      std::make_unique<HttpPlatformClient>(options));
}

}  // namespace skylarkshunt
