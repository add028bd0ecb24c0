#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>

#include "sockets.h"
#include "stage.h"

namespace review {
namespace {

/// Longest wait for the bytes of a call.
constexpr int kReadMs = 3000;

/// Reads one HTTP message. Returns an empty text if the peer ended before.
std::string ReadMessage(int fd, int timeout_ms) {
  std::string text;
  const int64_t end = SteadyMs() + timeout_ms;
  while (SteadyMs() < end) {
    const size_t head = text.find("\r\n\r\n");
    if (head != std::string::npos) {
      const size_t field = text.find("Content-Length: ");
      const size_t length =
          field < head ? std::strtoul(text.c_str() + field + 16, nullptr, 10)
                       : 0;
      if (text.size() >= head + 4 + length)
        return text.substr(0, head + 4 + length);
    }
    if (!WaitForInput(fd, static_cast<int>(end - SteadyMs())))
      return {};
    char bytes[65'536];
    const ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
    if (got <= 0)
      return {};
    text.append(bytes, static_cast<size_t>(got));
  }
  return {};
}

std::string BodyOf(const std::string& message) {
  return message.substr(message.find("\r\n\r\n") + 4);
}

}  // namespace

std::string MakeCallText(const Request& request) {
  return request.method + " " + request.target +
         " HTTP/1.1\r\nHost: system\r\nConnection: close\r\n"
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

Reply Call(Address server, const Request& request, int timeout_ms) {
  Reply reply;
  const int fd = Connect(server);
  if (fd < 0)
    return reply;
  if (SendAll(fd, MakeCallText(request))) {
    const std::string answer = ReadMessage(fd, timeout_ms);
    if (answer.size() > 12) {
      reply.status = std::atoi(answer.c_str() + 9);
      reply.body = BodyOf(answer);
    }
  }
  close(fd);
  return reply;
}

HttpServer::HttpServer(Address listen, Handler handler)
    : handler_(std::move(handler)), fd_(Listen(listen)) {
  thread_ = std::thread([this] { Run(); });
}

HttpServer::~HttpServer() {
  stopping_.store(true);
  thread_.join();
  for (std::thread& connection : connections_)
    connection.join();
  close(fd_);
}

void HttpServer::Run() {
  while (!stopping_.load()) {
    if (!WaitForInput(fd_, 20))
      continue;
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    connections_.emplace_back([this, fd] {
      const std::string text = ReadMessage(fd, kReadMs);
      const size_t method = text.find(' ');
      const size_t target = text.find(' ', method + 1);
      if (method != std::string::npos && target != std::string::npos) {
        const Reply reply = handler_(
            {text.substr(0, method),
             text.substr(method + 1, target - method - 1), BodyOf(text)});
        SendAll(fd, "HTTP/1.1 " + std::to_string(reply.status) +
                        " -\r\nConnection: close\r\n"
                        "Content-Type: application/json\r\nContent-Length: " +
                        std::to_string(reply.body.size()) + "\r\n\r\n" +
                        reply.body);
      }
      close(fd);
    });
  }
}

Store::Store(Address listen) {
  server_ = std::make_unique<HttpServer>(
      listen, [this](const Request& request) { return Answer(request); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  objects_[kind][name] = {++revision_, spec};
  changed_.notify_all();
}

std::string Store::ObjectText(const std::string& name,
                              const Object& object) const {
  const std::string revision = std::to_string(object.revision);
  return "{\"meta\":{\"name\":\"" + name + "\",\"rev\":" + revision +
         ",\"created\":" + revision +
         ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
         ",\"status\":null}";
}

Reply Store::Answer(const Request& request) {
  const std::string prefix = "/skylarkshunt/objects/";
  if (request.target.rfind(prefix, 0) != 0)
    return {404, "{}"};
  const size_t query = request.target.find('?');
  const std::string path =
      request.target.substr(prefix.size(), query - prefix.size());
  const std::string kind = path.substr(0, path.find('/'));
  if (request.method == "GET" && query != std::string::npos) {
    const std::string parameters = request.target.substr(query + 1);
    const size_t watch = parameters.find("watch=");
    const size_t wait = parameters.find("wait-ms=");
    if (watch != std::string::npos) {
      return Watch(
          kind, std::strtoull(parameters.c_str() + watch + 6, nullptr, 10),
          wait == std::string::npos ? 0
                                    : std::atoi(parameters.c_str() + wait + 8));
    }
  }
  if (request.method == "GET")
    return List(kind);
  // Nodes create or replace their own entries.
  const size_t name = request.body.find("\"name\":\"");
  const size_t spec = request.body.find("\"spec\":");
  if (name == std::string::npos || spec == std::string::npos)
    return {400, "{}"};
  const size_t name_end = request.body.find('"', name + 8);
  const std::string key = request.body.substr(name + 8, name_end - name - 8);
  const size_t spec_end = request.body.rfind('}');
  Put(kind, key, request.body.substr(spec + 7, spec_end - spec - 7));
  const std::lock_guard<std::mutex> lock(mutex_);
  return {request.method == "POST" ? 201 : 200,
          ObjectText(key, objects_[kind][key])};
}

Reply Store::List(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string items;
  for (const auto& [name, object] : objects_[kind])
    items += (items.empty() ? "" : ",") + ObjectText(name, object);
  return {200, "{\"items\":[" + items + "],\"more\":false,\"current-rev\":" +
                   std::to_string(revision_) + "}"};
}

Reply Store::Watch(const std::string& kind, uint64_t after, int wait_ms) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::string events;
  const auto collect = [&] {
    events.clear();
    for (const auto& [name, object] : objects_[kind]) {
      if (object.revision > after)
        events +=
            (events.empty() ? "" : ",") +
            ("{\"removed\":false,\"object\":" + ObjectText(name, object) + "}");
    }
    return stopping_ || !events.empty();
  };
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
  return {200, "{\"events\":[" + events +
                   "],\"current-rev\":" + std::to_string(revision_) + "}"};
}

}  // namespace review
