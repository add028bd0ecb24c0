#include "standins/deployment/deployment.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kReadyLimit = absl::Seconds(15);
// The users' limit for a change to be in force everywhere, in seconds.
constexpr char kInForceLimitS[] = "9";
constexpr absl::Duration kApplyLimit = absl::Seconds(15);
// An entry forwards until it saw no traffic for 3 s.
constexpr absl::Duration kStopLimit = absl::Seconds(8);
constexpr absl::string_view kLookAtLogs = "read the logs of the work folder";

Error NotReady(const std::string& name) {
  return MakeError(ErrorKind::kUnavailable,
                   absl::StrCat(name, " did not become ready"), kLookAtLogs);
}

/// Reads the line "ready ADDRESS ..." of a stand-in.
Result<Endpoint> ReadReady(ChildProcess* child, const std::string& name) {
  const auto line = child->ReadLine(kReadyLimit);
  const std::vector<std::string> words = absl::StrSplit(line.value_or(""), ' ');
  if (words.size() < 2 || words[0] != "ready")
    return NotReady(name);
  return Endpoint::Parse(words[1]);
}

Result<Endpoint> ReadAddress(const nlohmann::json& line, const char* key) {
  return Endpoint::Parse(line.value(key, ""));
}

/// Waits for the JSON line of skylarkshuntd.
Result<nlohmann::json> ReadDaemonReady(ChildProcess* child,
                                       const std::string& name) {
  const auto line = child->ReadLine(kReadyLimit);
  if (!line)
    return NotReady(name);
  return ParseJsonObject(*line, name, ErrorKind::kUnavailable);
}

Result<std::string> WriteSettings(const std::string& path,
                                  const nlohmann::json& settings) {
  std::ofstream file(path);
  file << settings.dump(2) << '\n';
  file.close();
  if (file.good())
    return path;
  return MakeError(ErrorKind::kSystem, absl::StrCat("cannot write ", path),
                   "make room in the work folder");
}

}  // namespace

std::string Deployment::Address(uint32_t data_centre, uint32_t host) const {
  return absl::StrCat("127.", static_cast<uint32_t>(plan_.network), ".",
                      data_centre + 1, ".", host + 1, ":0");
}

Result<Deployment::Child> Deployment::Run(const std::string& program,
                                          const std::string& name,
                                          std::vector<std::string> arguments) {
  ChildProcess::Options options;
  options.command = std::move(arguments);
  options.command.insert(options.command.begin(),
                         absl::StrCat(folders_.programs, "/", program));
  options.log_file = absl::StrCat(folders_.work, "/", name, ".log");
  BOOST_OUTCOME_TRY(process, ChildProcess::Start(options));
  return Child{name, std::move(process)};
}

Result<Endpoint> Deployment::StartStandin(
    const std::string& program,
    const std::string& name,
    const std::vector<std::string>& arguments,
    std::vector<Child>* children) {
  BOOST_OUTCOME_TRY(child, Run(program, name, arguments));
  children->push_back(std::move(child));
  return ReadReady(children->back().process.get(), name);
}

Result<void> Deployment::Start() {
  BOOST_OUTCOME_TRY(platform,
                    StartStandin("standin_platform", plan_.region + "-platform",
                                 {"--listen", Address(0, 200)}, &standins_));
  platform_ = platform;
  BOOST_OUTCOME_TRYV(StartEntries());
  targets_.resize(plan_.services.size());
  for (size_t i = 0; i < plan_.services.size(); ++i) {
    BOOST_OUTCOME_TRYV(StartTargets(i));
    BOOST_OUTCOME_TRYV(StartAgents(i));
  }
  return StartFabric();
}

std::vector<std::string> Deployment::EntryControls() const {
  std::vector<std::string> controls;
  for (const Entry& entry : entry_addresses_)
    controls.push_back(entry.control.ToString());
  return controls;
}

Result<void> Deployment::StartEntries() {
  const auto& data_centres = plan_.services[0].config.data_centres;
  for (uint32_t i = 0; i < plan_.entries; ++i) {
    const uint32_t data_centre = i % static_cast<uint32_t>(data_centres.size());
    const std::string address = Address(data_centre, 100 + i);
    const nlohmann::json settings = {{"role", "entry"},
                                     {"region", plan_.region},
                                     {"data_centre", data_centres[data_centre]},
                                     {"data", address},
                                     {"control", address},
                                     {"admin", address},
                                     {"platform", platform_.ToString()},
                                     {"seeds", EntryControls()}};
    const std::string name = absl::StrCat(plan_.region, "-entry", i);
    BOOST_OUTCOME_TRY(
        file, WriteSettings(absl::StrCat(folders_.work, "/", name, ".json"),
                            settings));
    BOOST_OUTCOME_TRY(child, Run("skylarkshuntd", name, {"--settings", file}));
    entries_.push_back(std::move(child));
    BOOST_OUTCOME_TRY(ready,
                      ReadDaemonReady(entries_.back().process.get(), name));
    BOOST_OUTCOME_TRY(data, ReadAddress(ready, "data"));
    BOOST_OUTCOME_TRY(control, ReadAddress(ready, "control"));
    BOOST_OUTCOME_TRY(admin, ReadAddress(ready, "admin"));
    entry_addresses_.push_back({data, control, admin});
  }
  return Success();
}

Result<void> Deployment::StartTargets(size_t service) {
  const ServicePlan& plan = plan_.services[service];
  const auto data_centres =
      static_cast<uint32_t>(plan.config.data_centres.size());
  for (uint32_t i = 0; i < plan.targets; ++i) {
    const std::string address =
        Address(i % data_centres, static_cast<uint32_t>(service) * 20 + i);
    BOOST_OUTCOME_TRY(
        target,
        StartStandin(
            "standin_target", absl::StrCat(plan.config.name, "-target", i),
            {"--listen", address, "--slots", absl::StrCat(plan.config.slots)},
            &standins_));
    targets_[service].push_back(target);
  }
  return Success();
}

Result<void> Deployment::StartAgents(size_t service) {
  const ServicePlan& plan = plan_.services[service];
  const auto& data_centres = plan.config.data_centres;
  const size_t first = agents_.size();
  for (uint32_t i = 0; i < plan.targets; ++i) {
    const Endpoint target = targets_[service][i];
    const std::string address = Endpoint{target.address, 0}.ToString();
    const nlohmann::json settings = {
        {"role", "agent"},
        {"region", plan_.region},
        {"data_centre", data_centres[i % data_centres.size()]},
        {"data", address},
        {"admin", address},
        {"platform", platform_.ToString()},
        {"seeds", EntryControls()},
        {"service", plan.config.name},
        {"target", target.ToString()}};
    const std::string name = absl::StrCat(plan.config.name, "-agent", i);
    BOOST_OUTCOME_TRY(
        file, WriteSettings(absl::StrCat(folders_.work, "/", name, ".json"),
                            settings));
    BOOST_OUTCOME_TRY(child, Run("skylarkshuntd", name, {"--settings", file}));
    agents_.push_back(std::move(child));
  }
  for (size_t i = first; i < agents_.size(); ++i) {
    BOOST_OUTCOME_TRYV(
        ReadDaemonReady(agents_[i].process.get(), agents_[i].name));
  }
  return Success();
}

Result<void> Deployment::StartFabric() {
  std::vector<std::string> arguments = {"--listen", Address(0, 201), "--admin",
                                        Address(0, 201)};
  for (const Entry& entry : entry_addresses_) {
    arguments.emplace_back("--entry");
    arguments.push_back(
        absl::StrCat(entry.data.ToString(), ",", entry.admin.ToString()));
  }
  BOOST_OUTCOME_TRY(fabric,
                    StartStandin("standin_fabric", plan_.region + "-fabric",
                                 arguments, &standins_));
  fabric_ = fabric;
  return Success();
}

Result<void> Deployment::Apply() {
  for (const ServicePlan& service : plan_.services) {
    BOOST_OUTCOME_TRY(
        child, Run("skylarkshuntctl", plan_.region + "-ctl",
                   {"--platform", platform_.ToString(), "--entry",
                    entry_addresses_[0].admin.ToString(), "service", "apply",
                    service.questionnaire, "--wait", kInForceLimitS}));
    const auto code = child.process->WaitForExit(kApplyLimit);
    if (code != 0) {
      return MakeError(
          ErrorKind::kUnavailable,
          absl::StrCat("skylarkshuntctl did not apply ", service.questionnaire,
                       ": exit code ", code.value_or(-1)),
          kLookAtLogs);
    }
  }
  return Success();
}

void Deployment::StopAll(std::vector<Child>* children,
                         std::vector<std::string>* killed) {
  for (const Child& child : *children)
    child.process->Stop();
  const absl::Time deadline = absl::Now() + kStopLimit;
  for (const Child& child : *children) {
    if (!child.process->WaitForExit(deadline - absl::Now()))
      killed->push_back(child.name);
  }
  // The destructor kills what still runs.
  children->clear();
}

std::vector<std::string> Deployment::Stop() {
  std::vector<std::string> killed;
  StopAll(&agents_, &killed);
  StopAll(&entries_, &killed);
  StopAll(&standins_, &killed);
  return killed;
}

}  // namespace skylarkshunt
