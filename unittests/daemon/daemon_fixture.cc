#include "daemon_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>
#include <signal.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/time/clock.h"

namespace skylarkshunt {

bool WaitFor(const std::function<bool()>& condition) {
  const absl::Time end = absl::Now() + kLimit;
  while (!condition()) {
    if (absl::Now() > end)
      return false;
    absl::SleepFor(absl::Milliseconds(5));
  }
  return true;
}

nlohmann::json EntrySettings(const std::string& platform) {
  return {{"role", "entry"},          {"region", "ch-nord"},
          {"data_centre", "zh-a"},    {"data", "127.0.0.1:0"},
          {"control", "127.0.0.1:0"}, {"admin", "127.0.0.1:0"},
          {"platform", platform},     {"platform_timeout_ms", 500}};
}

nlohmann::json AgentSettings(const std::string& platform,
                             const std::string& target) {
  return {{"role", "agent"},           {"region", "ch-nord"},
          {"data_centre", "zh-a"},     {"data", "127.0.0.1:0"},
          {"admin", "127.0.0.1:0"},    {"platform", platform},
          {"service", "dispatch"},     {"target", target},
          {"platform_timeout_ms", 500}};
}

Daemon::Daemon(const nlohmann::json& settings) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "daemon_testXXXXXX").string();
  CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
  folder_ = folder;
  WriteSettings(settings.dump());
  process_ = ChildProcess::Start(
                 {{std::string(SKYLARKSHUNT_BINARY_DIR) + "/skylarkshuntd",
                   "--settings", folder_ + "/settings.json"},
                  folder_ + "/log"})
                 .value();
}

Daemon::~Daemon() {
  process_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Daemon::AwaitReady() {
  const absl::optional<std::string> line = process_->ReadLine(kLimit);
  CPPUNIT_ASSERT_MESSAGE("the daemon did not become ready", line.has_value());
  ready_ = nlohmann::json::parse(*line);
}

Endpoint Daemon::address(const std::string& name) const {
  return Endpoint::Parse(ready_.at(name).get<std::string>()).value();
}

int Daemon::Ask(const std::string& path, std::string* body) const {
  httplib::Client client("127.0.0.1", address("admin").port);
  const httplib::Result answer = client.Get(path);
  if (!answer)
    return 0;
  if (body != nullptr)
    *body = answer->body;
  return answer->status;
}

nlohmann::json Daemon::Status() const {
  std::string body;
  return Ask("/status", &body) == 200 ? nlohmann::json::parse(body)
                                      : nlohmann::json();
}

bool Daemon::LogHas(const std::string& text) const {
  std::ifstream file(folder_ + "/log");
  std::ostringstream log;
  log << file.rdbuf();
  return log.str().find(text) != std::string::npos;
}

void Daemon::WriteSettings(const std::string& text) const {
  std::ofstream(folder_ + "/settings.json", std::ios::trunc) << text;
}

void Daemon::Signal(int signal) const {
  kill(process_->pid(), signal);
}

}  // namespace skylarkshunt
