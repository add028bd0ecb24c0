#include "ctl_harness.h"

#include <cppunit/TestAssert.h>
#include <httplib.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace skylarkshunt {

CtlHarness::CtlHarness(const PlatformCore::Options& core) {
  PlatformServer::Options options;
  options.listen = Endpoint::Parse("127.0.0.1:0").value();
  options.core = core;
  server_ = std::move(PlatformServer::Start(options).value());
  address_ = server_->address().ToString();
}

CtlHarness::~CtlHarness() {
  if (!answers_path_.empty())
    std::remove(answers_path_.c_str());
}

uint64_t CtlHarness::Draw() {
  if (on_draw_) {
    const std::function<void()> action = std::move(on_draw_);
    on_draw_ = nullptr;
    action();
  }
  return ++draws_;
}

ExitCode CtlHarness::Run(const std::vector<std::string>& words) {
  std::vector<std::string> args = {"--platform", address_};
  args.insert(args.end(), words.begin(), words.end());
  return RunWithoutPlatform(args);
}

ExitCode CtlHarness::RunWithoutPlatform(const std::vector<std::string>& words) {
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCtl(words, {out, err, [this] { return Draw(); }});
  out_ = out.str();
  err_ = err.str();
  return code;
}

std::string CtlHarness::WriteAnswers(int slots) {
  answers_path_ =
      absl::StrCat(SKYLARKSHUNT_BINARY_DIR, "/ctl_test_", getpid(), ".json");
  std::ofstream file(answers_path_);
  file << R"({"service": "dispatch", "kinds": [{"name": "pull_job",
    "weight": 5, "idempotent": true, "usual_duration_ms": 40}],
    "connections": 2000, "data_centres": ["zh-a"], "deadline_ms": 10000,
    "slots": )"
       << slots << "}";
  file.close();
  CPPUNIT_ASSERT(file.good());
  return answers_path_;
}

uint64_t CtlHarness::writes() const {
  const size_t index = static_cast<size_t>(CallKind::kWrite);
  return server_->core().counts().by_kind[index];
}

struct AdminServer::Server {
  httplib::Server http;
  std::thread thread;
};

AdminServer::AdminServer(const Answer& answer)
    : server_(std::make_unique<Server>()) {
  server_->http.Get(".*", [answer](const httplib::Request& request,
                                   httplib::Response& response) {
    response.set_content(answer(request.path), "text/plain");
  });
  const int port = server_->http.bind_to_any_port("127.0.0.1");
  CPPUNIT_ASSERT(port > 0);
  address_ = absl::StrCat("127.0.0.1:", port);
  server_->thread = std::thread([this] { server_->http.listen_after_bind(); });
  while (!server_->http.is_running())
    absl::SleepFor(absl::Milliseconds(1));
}

AdminServer::~AdminServer() {
  server_->http.stop();
  server_->thread.join();
}

bool Contains(const std::string& text, absl::string_view part) {
  return absl::StrContains(text, part);
}

}  // namespace skylarkshunt
