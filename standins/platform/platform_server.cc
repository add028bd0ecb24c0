#include "standins/platform/platform_server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"
#include "skylarkshunt/base/event.h"

namespace skylarkshunt {
namespace {

constexpr EventId kFaultSet{8001, "standin_platform_fault_set"};

constexpr int kBadRequest = 400;
constexpr int kPreconditionRequired = 428;
// A waiting watch holds a thread; the watchers of a deployment need 6.
constexpr size_t kThreads = 64;
constexpr time_t kKeepAliveSeconds = 1;
constexpr absl::Duration kMaxWait = absl::Seconds(60);
constexpr char kJson[] = "application/json";

absl::optional<uint64_t> NumberParam(const httplib::Request& request,
                                     const char* name) {
  uint64_t number = 0;
  if (!absl::SimpleAtoi(request.get_param_value(name), &number))
    return absl::nullopt;
  return number;
}

/// Reads If-Match: "REV" or, where allowed, If-None-Match: * as 0.
absl::optional<uint64_t> ExpectedRevision(const httplib::Request& request) {
  if (request.get_header_value("If-None-Match") == "*")
    return 0;
  const std::string header = request.get_header_value("If-Match");
  absl::string_view text = header;
  uint64_t revision = 0;
  if (!absl::ConsumePrefix(&text, "\"") || !absl::ConsumeSuffix(&text, "\"") ||
      !absl::SimpleAtoi(text, &revision) || revision == 0) {
    return absl::nullopt;
  }
  return revision;
}

void Send(const PlatformAnswer& answer, httplib::Response& response) {
  response.status = answer.status;
  if (!answer.cut_off) {
    response.set_content(answer.body, kJson);
    return;
  }
  // A provider that fails makes the server close the connection.
  response.set_content_provider(
      answer.body.size(), kJson,
      [](size_t, size_t, httplib::DataSink&) { return false; });
}

PlatformAnswer BadRequest(absl::string_view message) {
  const nlohmann::json value = {{"error", std::string(message)}};
  return {kBadRequest, value.dump()};
}

PlatformAnswer Calls(const PlatformCore& core) {
  const CallCounts counts = core.counts();
  const nlohmann::json value = {
      {"read", counts.by_kind[static_cast<size_t>(CallKind::kRead)]},
      {"list", counts.by_kind[static_cast<size_t>(CallKind::kList)]},
      {"write", counts.by_kind[static_cast<size_t>(CallKind::kWrite)]},
      {"remove", counts.by_kind[static_cast<size_t>(CallKind::kRemove)]},
      {"watch", counts.by_kind[static_cast<size_t>(CallKind::kWatch)]},
      {"rejected", counts.rejected},
      {"faulted", counts.faulted}};
  return {200, value.dump()};
}

PlatformAnswer SetFault(PlatformCore& core, const std::string& body) {
  const Result<Fault> fault = ParseFault(body);
  if (!fault.has_value())
    return BadRequest(fault.error().ToString());
  core.SetFault(fault.value());
  LogLine(kFaultSet)
      .Field("mode", FaultModeName(fault.value().mode))
      .Field("delay_ms", absl::ToInt64Milliseconds(fault.value().delay))
      .Field("count", fault.value().count);
  return {200, "{}"};
}

PlatformAnswer Watch(PlatformCore& core, const httplib::Request& request) {
  const absl::optional<uint64_t> after = NumberParam(request, "after");
  const absl::optional<uint64_t> wait_ms = NumberParam(request, "wait_ms");
  if (!after.has_value() || !wait_ms.has_value())
    return BadRequest("'after' and 'wait_ms' must be whole numbers");
  const uint64_t most_ms = absl::ToInt64Milliseconds(kMaxWait);
  return core.Watch(request.get_param_value("prefix"), *after,
                    absl::Milliseconds(std::min(*wait_ms, most_ms)));
}

class HttpPlatformServer : public PlatformServer {
 public:
  explicit HttpPlatformServer(const PlatformCore::Options& options)
      : core_(options) {}
  ~HttpPlatformServer() override;

  Result<void> Listen(Endpoint listen);

  Endpoint address() const override { return address_; }
  PlatformCore& core() override { return core_; }

 private:
  using Handler = PlatformAnswer (*)(PlatformCore&, const httplib::Request&);

  static httplib::Server::Handler Wrap(PlatformCore& core, Handler handler);
  void AddRoutes();
  void AddObjectRoutes();

  PlatformCore core_;
  httplib::Server server_;
  std::thread thread_;
  Endpoint address_;
};

HttpPlatformServer::~HttpPlatformServer() {
  core_.Stop();
  server_.stop();
  if (thread_.joinable())
    thread_.join();
}

httplib::Server::Handler HttpPlatformServer::Wrap(PlatformCore& core,
                                                  Handler handler) {
  return [&core, handler](const httplib::Request& request,
                          httplib::Response& response) {
    Send(handler(core, request), response);
  };
}

void HttpPlatformServer::AddObjectRoutes() {
  constexpr char kObject[] = R"(/v1/objects/(.+))";
  server_.Get(kObject, Wrap(core_, [](PlatformCore& core,
                                      const httplib::Request& request) {
                return core.Read(request.matches[1].str());
              }));
  server_.Put(
      kObject,
      Wrap(core_, [](PlatformCore& core, const httplib::Request& request) {
        const auto expected = ExpectedRevision(request);
        if (!expected.has_value())
          return PlatformAnswer{kPreconditionRequired, "{}"};
        return core.Write(request.matches[1].str(), request.body, *expected);
      }));
  server_.Delete(kObject, Wrap(core_, [](PlatformCore& core,
                                         const httplib::Request& request) {
                   const auto expected = ExpectedRevision(request);
                   if (!expected.has_value() || *expected == 0)
                     return PlatformAnswer{kPreconditionRequired, "{}"};
                   return core.Remove(request.matches[1].str(), *expected);
                 }));
}

void HttpPlatformServer::AddRoutes() {
  AddObjectRoutes();
  server_.Get("/v1/objects", Wrap(core_, [](PlatformCore& core,
                                            const httplib::Request& request) {
                return core.List(request.get_param_value("prefix"));
              }));
  server_.Get("/v1/watch", Wrap(core_, Watch));
  server_.Post("/fault", Wrap(core_, [](PlatformCore& core,
                                        const httplib::Request& request) {
                 return SetFault(core, request.body);
               }));
  server_.Get("/calls",
              Wrap(core_, [](PlatformCore& core, const httplib::Request&) {
                return Calls(core);
              }));
}

Result<void> HttpPlatformServer::Listen(Endpoint listen) {
  AddRoutes();
  server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  // The default allows two servers on one port (SO_REUSEPORT).
  server_.set_socket_options([](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  const std::string text = listen.ToString();
  const std::string host = text.substr(0, text.find(':'));
  int port = listen.port;
  if (port == 0)
    port = server_.bind_to_any_port(host);
  else if (!server_.bind_to_port(host, port))
    port = -1;
  if (port <= 0) {
    return MakeError(ErrorKind::kAddressInUse,
                     absl::StrCat("cannot listen on ", text),
                     "choose a free address");
  }
  address_ = Endpoint{listen.address, static_cast<uint16_t>(port)};
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  // stop() has no effect before the server runs.
  while (!server_.is_running())
    absl::SleepFor(absl::Milliseconds(1));
  return Success();
}

}  // namespace

Result<std::unique_ptr<PlatformServer>> PlatformServer::Start(
    const Options& options) {
  auto server = std::make_unique<HttpPlatformServer>(options.core);
  BOOST_OUTCOME_TRYV(server->Listen(options.listen));
  return std::unique_ptr<PlatformServer>(std::move(server));
}

}  // namespace skylarkshunt
