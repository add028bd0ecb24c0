#include "failure_fixture.h"

#include <httplib.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "skylarkshunt/configuration/questionnaire.h"

namespace skylarkshunt {
namespace {

constexpr uint32_t kTargets = 3;
constexpr int kSlots = 4;
constexpr absl::Duration kPoll = absl::Milliseconds(20);
constexpr absl::Duration kCtlLimit = absl::Seconds(40);
// Requests that each agent completes before a failure is caused.
constexpr uint64_t kWarmRequests = 5;

template <typename T>
T Must(Result<T> result) {
  CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().ToString(),
                         result.has_value());
  return std::move(result.value());
}

void Must(const Result<void>& result) {
  CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().ToString(),
                         result.has_value());
}

nlohmann::json AskTarget(Endpoint target, const char* path) {
  const std::string address = target.ToString();
  httplib::Client client(address.substr(0, address.find(':')), target.port);
  const auto answer = client.Get(path);
  CPPUNIT_ASSERT_MESSAGE("the target does not answer",
                         answer && answer->status == 200);
  return nlohmann::json::parse(answer->body);
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, absl::Duration limit) {
  const absl::Time end = absl::Now() + limit;
  while (!condition()) {
    if (absl::Now() > end)
      return false;
    absl::SleepFor(kPoll);
  }
  return true;
}

void FailureFixture::setUp() {
  folder_ =
      (std::filesystem::temp_directory_path() / "failures_testXXXXXX").string();
  CPPUNIT_ASSERT(mkdtemp(folder_.data()) != nullptr);
  folders_ = {SKYLARKSHUNT_BINARY_DIR, folder_};
}

void FailureFixture::tearDown() {
  deployment_.reset();
  std::error_code ignored;
  if (getenv("SKYLARKSHUNT_KEEP") == nullptr)
    std::filesystem::remove_all(folder_, ignored);
}

std::string FailureFixture::WriteQuestionnaire(size_t index, int slots) const {
  const nlohmann::json text = {
      {"service", index == 0 ? "dispatch" : "schemata"},
      {"kinds",
       {{{"name", "pull_job"},
         {"weight", 5},
         {"idempotent", true},
         {"usual_duration_ms", 40}},
        {{"name", "post_report"},
         {"weight", 20},
         {"idempotent", false},
         {"usual_duration_ms", 60}}}},
      {"slots", slots},
      {"connections", 2000},
      {"data_centres", {"zh-a", "zh-b", "bs-a"}},
      {"deadline_ms", 10000}};
  std::string path =
      absl::StrCat(folder_, "/questionnaire-", index, "-", slots, ".json");
  std::ofstream(path) << text.dump();
  return path;
}

void FailureFixture::StartDeployment(uint8_t network, size_t services) {
  plan_.region = "ch-nord";
  plan_.network = network;
  plan_.entries = 2;
  for (size_t i = 0; i < services; ++i) {
    ServicePlan service;
    service.questionnaire = WriteQuestionnaire(i, kSlots);
    service.targets = i == 0 ? kTargets : 1;
    service.config = Must(LoadQuestionnaire(service.questionnaire)).service;
    plan_.services.push_back(service);
  }
  deployment_ = std::make_unique<Deployment>(plan_, folders_);
  Must(deployment_->Start());
  Must(deployment_->Apply());
  used_targets_ = deployment_->targets(0);
  for (size_t agent = 0; agent < deployment_->count(Role::kAgent); ++agent) {
    CPPUNIT_ASSERT(
        WaitUntil([&] { return AllEntriesShow(Uid(agent), "serving"); }));
  }
}

LoadRun FailureFixture::StartLoad(const std::string& name,
                                  const LoadRun::Options& options,
                                  size_t service_index) {
  std::vector<uint64_t> before;
  for (size_t i = 0; i < kTargets; ++i)
    before.push_back(Completed(i));
  LoadRun run = Must(LoadRun::Start(folders_, name, deployment_->fabric(),
                                    service(service_index), options));
  for (size_t i = 0; service_index == 0 && i < kTargets; ++i) {
    const nlohmann::json status = Status(Role::kAgent, i);
    if (status.empty() || status["self"]["state"] != "serving")
      continue;
    CPPUNIT_ASSERT_MESSAGE(
        absl::StrCat("agent ", i, " gets no requests"),
        WaitUntil([&] { return Completed(i) >= before[i] + kWarmRequests; }));
  }
  return run;
}

LoadSummary FailureFixture::FinishLoad(LoadRun* run, size_t service_index) {
  const LoadSummary summary = Must(run->Finish());
  const Verdict verdict = Must(CompareWithRuns(
      run->records(), service(service_index).config, used_targets_));
  std::cerr << "requests " << summary.requests << " ok " << summary.ok
            << " wrong " << summary.wrong << " missing " << summary.missing
            << " not_run " << summary.not_run << " unknown " << summary.unknown
            << " broken " << summary.broken_flows << " doubled "
            << verdict.doubled << " untrue " << verdict.untrue << " rerun "
            << verdict.rerun << std::endl;
  CPPUNIT_ASSERT(summary.ok > 0);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("wrong", uint64_t{0}, summary.wrong);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("doubled", uint64_t{0}, verdict.doubled);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("untrue", uint64_t{0}, verdict.untrue);
  return summary;
}

int FailureFixture::Ctl(const std::vector<std::string>& arguments,
                        absl::optional<size_t> entry) {
  const auto ctl = Must(deployment_->StartCtl(arguments, entry));
  const auto code = ctl->WaitForExit(kCtlLimit);
  CPPUNIT_ASSERT_MESSAGE("skylarkshuntctl does not end", code.has_value());
  return *code;
}

nlohmann::json FailureFixture::Status(Role role, size_t number) const {
  const auto text = deployment_->Status(role, number);
  return text ? nlohmann::json::parse(text.value()) : nlohmann::json::object();
}

std::string FailureFixture::Uid(size_t agent) const {
  const nlohmann::json status = Status(Role::kAgent, agent);
  return status.empty() ? "" : status["self"]["uid"].get<std::string>();
}

uint64_t FailureFixture::Completed(size_t agent) const {
  const nlohmann::json status = Status(Role::kAgent, agent);
  return status.empty() ? 0 : status["stats"]["completed"].get<uint64_t>();
}

uint64_t FailureFixture::RunsAt(Endpoint target) {
  return AskTarget(target, "/runs").size();
}

uint64_t FailureFixture::RunningAt(Endpoint target) {
  return AskTarget(target, "/counts")["running"];
}

bool FailureFixture::AllEntriesShow(const std::string& uid,
                                    const std::string& state) const {
  for (size_t i = 0; i < deployment_->count(Role::kEntry); ++i) {
    const nlohmann::json status = Status(Role::kEntry, i);
    if (status.empty())
      continue;
    bool shown = false;
    for (const auto& instance : status["instances"])
      shown |= instance["uid"] == uid && instance["state"] == state;
    if (!shown)
      return false;
  }
  return true;
}

size_t FailureFixture::CountLog(Role role,
                                size_t number,
                                const std::string& text) const {
  std::ifstream file(deployment_->log_file(role, number));
  std::string line;
  size_t count = 0;
  while (std::getline(file, line))
    count += line.find(text) != std::string::npos ? 1 : 0;
  return count;
}

}  // namespace skylarkshunt
