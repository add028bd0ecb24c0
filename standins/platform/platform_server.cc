#include "standins/platform/platform_server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "skylarkshunt/base/event.h"

namespace skylarkshunt {
namespace {

constexpr EventId kFaultSet{8001, "standin_platform_fault_set"};

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
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

/// The JSON text of `spec` in an object that is written, and the revision that
/// its `meta` names.
struct WrittenObject {
  std::string name;
  std::string body;
  uint64_t revision = 0;
};

absl::optional<WrittenObject> ReadWritten(const std::string& text) {
  const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("spec") ||
      !value.contains("meta") || !value["meta"].is_object()) {
    return absl::nullopt;
  }
  const nlohmann::json& meta = value["meta"];
  WrittenObject object;
  if (meta.contains("name") && meta["name"].is_string())
    object.name = meta["name"].get<std::string>();
  if (meta.contains("rev") && meta["rev"].is_number_unsigned())
    object.revision = meta["rev"].get<uint64_t>();
  object.body = value["spec"].dump();
  return object;
}

void Send(const PlatformAnswer& answer, httplib::Response& response) {
  response.status = answer.status;
  if (answer.epoch.has_value())
    response.set_header("Store-Era", std::to_string(*answer.epoch));
  if (!answer.cut_off) {
    response.set_content(answer.body, kJson);
    return;
  }
  // A provider that fails makes the server close the connection.
  response.set_content_provider(
      answer.body.size(), kJson,
      [](size_t, size_t, httplib::DataSink&) { return false; });
}

PlatformAnswer MakeAnswer(int status, std::string body) {
  PlatformAnswer answer;
  answer.status = status;
  answer.body = std::move(body);
  return answer;
}

PlatformAnswer BadRequest(absl::string_view message) {
  const nlohmann::json value = {{"error", std::string(message)}};
  return MakeAnswer(kBadRequest, value.dump());
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
  return MakeAnswer(kOk, value.dump());
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
  return MakeAnswer(kOk, "{}");
}

std::string KeyOf(const httplib::Request& request) {
  return request.matches[1].str() + "/" + request.matches[2].str();
}

/// A list, or a watch where the query says so.
PlatformAnswer ListOrWatch(PlatformCore& core,
                           const httplib::Request& request) {
  const std::string prefix = request.matches[1].str() + "/";
  if (!request.has_param("watch")) {
    const std::string after = request.get_param_value("after");
    return core.List(prefix, after.empty() ? "" : prefix + after);
  }
  const absl::optional<uint64_t> position = NumberParam(request, "watch");
  const absl::optional<uint64_t> wait_ms = NumberParam(request, "wait-ms");
  if (!position.has_value() || !wait_ms.has_value())
    return BadRequest("'watch' and 'wait-ms' must be whole numbers");
  const uint64_t most_ms = absl::ToInt64Milliseconds(kMaxWait);
  return core.Watch(prefix, *position,
                    absl::Milliseconds(std::min(*wait_ms, most_ms)));
}

PlatformAnswer Create(PlatformCore& core, const httplib::Request& request) {
  const absl::optional<WrittenObject> object = ReadWritten(request.body);
  if (!object.has_value() || object->name.empty())
    return BadRequest("an object needs 'meta' with a name, and 'spec'");
  return core.Write(request.matches[1].str() + "/" + object->name, object->body,
                    0);
}

PlatformAnswer Replace(PlatformCore& core, const httplib::Request& request) {
  const absl::optional<WrittenObject> object = ReadWritten(request.body);
  if (!object.has_value() || object->revision == 0)
    return BadRequest("an object needs 'meta' with its rev, and 'spec'");
  return core.Write(KeyOf(request), object->body, object->revision);
}

PlatformAnswer Remove(PlatformCore& core, const httplib::Request& request) {
  const absl::optional<uint64_t> revision = NumberParam(request, "rev");
  if (!revision.has_value())
    return BadRequest("'rev' must be a whole number");
  return core.Remove(KeyOf(request), *revision);
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
  constexpr char kKind[] = R"(/skylarkshunt/objects/([^/]+))";
  constexpr char kObject[] = R"(/skylarkshunt/objects/([^/]+)/([^/]+))";
  server_.Get(kObject, Wrap(core_, [](PlatformCore& core,
                                      const httplib::Request& request) {
                return core.Read(KeyOf(request));
              }));
  server_.Get(kKind, Wrap(core_, ListOrWatch));
  server_.Post(kKind, Wrap(core_, Create));
  server_.Put(kObject, Wrap(core_, Replace));
  server_.Delete(kObject, Wrap(core_, Remove));
}

void HttpPlatformServer::AddRoutes() {
  AddObjectRoutes();
  server_.Post("/fault", Wrap(core_, [](PlatformCore& core,
                                        const httplib::Request& request) {
                 return SetFault(core, request.body);
               }));
  server_.Post("/copy",
               Wrap(core_, [](PlatformCore& core, const httplib::Request&) {
                 core.TakeCopy();
                 return MakeAnswer(kOk, "{}");
               }));
  server_.Post("/restore",
               Wrap(core_, [](PlatformCore& core, const httplib::Request&) {
                 core.Restore();
                 return MakeAnswer(kOk, "{}");
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
