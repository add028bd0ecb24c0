#include "standins/deployment/deployment.h"

#include <httplib.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr time_t kHttpLimitS = 2;
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

/// Reads the line "ready ADDRESS ..." of a stand-in; returns its words.
Result<std::vector<std::string>> ReadReadyWords(ChildProcess* child,
                                                const std::string& name) {
  const auto line = child->ReadLine(kReadyLimit);
  std::vector<std::string> words = absl::StrSplit(line.value_or(""), ' ');
  if (words.size() < 2 || words[0] != "ready")
    return NotReady(name);
  return words;
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

httplib::Client Connect(Endpoint address) {
  const std::string text = address.ToString();
  httplib::Client client(text.substr(0, text.find(':')), address.port);
  client.set_connection_timeout(kHttpLimitS);
  client.set_read_timeout(kHttpLimitS);
  return client;
}

Result<void> Post(Endpoint address,
                  const std::string& path,
                  const std::string& json) {
  httplib::Client client = Connect(address);
  const auto answer = client.Post(path, json, "application/json");
  if (answer && answer->status == 200)
    return Success();
  return MakeError(
      ErrorKind::kUnavailable,
      absl::StrCat("POST ", path, " at ", address.ToString(), " failed"),
      kLookAtLogs);
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
  Child child;
  child.name = name;
  child.log_file = options.log_file;
  child.process = std::move(process);
  return child;
}

Result<Endpoint> Deployment::StartStandin(
    const std::string& program,
    const std::string& name,
    const std::vector<std::string>& arguments,
    std::vector<Child>* children) {
  BOOST_OUTCOME_TRY(child, Run(program, name, arguments));
  children->push_back(std::move(child));
  BOOST_OUTCOME_TRY(words,
                    ReadReadyWords(children->back().process.get(), name));
  // A second address is that of a stand-in's own HTTP interface.
  if (words.size() > 2) {
    BOOST_OUTCOME_TRY(admin, Endpoint::Parse(words[2]));
    children->back().admin = admin;
  }
  return Endpoint::Parse(words[1]);
}

Result<void> Deployment::Start() {
  BOOST_OUTCOME_TRY(platform,
                    StartStandin("standin_platform", plan_.region + "-platform",
                                 {"--listen", Address(0, 200)}, &standins_));
  platform_ = platform;
  for (uint32_t i = 0; i < plan_.entries; ++i) {
    BOOST_OUTCOME_TRYV(AddEntry());
  }
  targets_.resize(plan_.services.size());
  for (size_t i = 0; i < plan_.services.size(); ++i) {
    BOOST_OUTCOME_TRYV(StartTargets(i));
    BOOST_OUTCOME_TRYV(StartAgents(i));
  }
  return StartFabric();
}

std::vector<std::string> Deployment::EntryControls() const {
  std::vector<std::string> controls;
  for (const Child& entry : entries_)
    controls.push_back(entry.control.ToString());
  return controls;
}

Result<void> Deployment::AwaitDaemon(Child* child) {
  BOOST_OUTCOME_TRY(ready, ReadDaemonReady(child->process.get(), child->name));
  BOOST_OUTCOME_TRY(data, ReadAddress(ready, "data"));
  child->data = data;
  BOOST_OUTCOME_TRY(admin, ReadAddress(ready, "admin"));
  child->admin = admin;
  if (ready.contains("control")) {
    BOOST_OUTCOME_TRY(control, ReadAddress(ready, "control"));
    child->control = control;
  }
  // A restart takes the same addresses again.
  std::ifstream file(child->settings_file);
  nlohmann::json settings = nlohmann::json::parse(file);
  for (const char* key : {"data", "admin", "control"}) {
    if (ready.contains(key))
      settings[key] = ready[key];
  }
  BOOST_OUTCOME_TRYV(WriteSettings(child->settings_file, settings));
  return Success();
}

Result<size_t> Deployment::AddEntry() {
  const auto& data_centres = plan_.services[0].config.data_centres;
  const auto number = static_cast<uint32_t>(entries_.size());
  const uint32_t data_centre =
      number % static_cast<uint32_t>(data_centres.size());
  const std::string address = Address(data_centre, 100 + number);
  const nlohmann::json settings = {{"role", "entry"},
                                   {"region", plan_.region},
                                   {"data_centre", data_centres[data_centre]},
                                   {"data", address},
                                   {"control", address},
                                   {"admin", address},
                                   {"platform", platform_.ToString()},
                                   {"seeds", EntryControls()}};
  const std::string name = absl::StrCat(plan_.region, "-entry", number);
  BOOST_OUTCOME_TRY(
      file,
      WriteSettings(absl::StrCat(folders_.work, "/", name, ".json"), settings));
  BOOST_OUTCOME_TRY(child, Run("skylarkshuntd", name, {"--settings", file}));
  child.settings_file = file;
  entries_.push_back(std::move(child));
  BOOST_OUTCOME_TRYV(AwaitDaemon(&entries_.back()));
  return entries_.size() - 1;
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

Result<void> Deployment::LaunchAgent(size_t service, Endpoint target) {
  const ServicePlan& plan = plan_.services[service];
  const auto& data_centres = plan.config.data_centres;
  const std::string address = Endpoint{target.address, 0}.ToString();
  const nlohmann::json settings = {
      {"role", "agent"},
      {"region", plan_.region},
      {"data_centre", data_centres[agents_.size() % data_centres.size()]},
      {"data", address},
      {"admin", address},
      {"platform", platform_.ToString()},
      {"seeds", EntryControls()},
      {"service", plan.config.name},
      {"target", target.ToString()}};
  const std::string name =
      absl::StrCat(plan.config.name, "-agent", agents_.size());
  BOOST_OUTCOME_TRY(
      file,
      WriteSettings(absl::StrCat(folders_.work, "/", name, ".json"), settings));
  BOOST_OUTCOME_TRY(child, Run("skylarkshuntd", name, {"--settings", file}));
  child.settings_file = file;
  agents_.push_back(std::move(child));
  return Success();
}

Result<void> Deployment::StartAgents(size_t service) {
  const size_t first = agents_.size();
  for (const Endpoint& target : targets_[service]) {
    BOOST_OUTCOME_TRYV(LaunchAgent(service, target));
  }
  for (size_t i = first; i < agents_.size(); ++i) {
    BOOST_OUTCOME_TRYV(AwaitDaemon(&agents_[i]));
  }
  return Success();
}

Result<size_t> Deployment::AddAgent(size_t index, Endpoint target) {
  BOOST_OUTCOME_TRYV(LaunchAgent(index, target));
  BOOST_OUTCOME_TRYV(AwaitDaemon(&agents_.back()));
  return agents_.size() - 1;
}

Result<void> Deployment::Restart(Role role, size_t number) {
  Child& child = children(role)[number];
  // The destructor ends the process, which frees its addresses.
  child.process.reset();
  BOOST_OUTCOME_TRY(started, Run("skylarkshuntd", child.name,
                                 {"--settings", child.settings_file}));
  child.process = std::move(started.process);
  return AwaitDaemon(&child);
}

Result<void> Deployment::StartFabric() {
  std::vector<std::string> arguments = {"--listen", Address(0, 201), "--admin",
                                        Address(0, 201)};
  for (const Child& entry : entries_) {
    arguments.emplace_back("--entry");
    arguments.push_back(
        absl::StrCat(entry.data.ToString(), ",", entry.admin.ToString()));
  }
  BOOST_OUTCOME_TRY(fabric,
                    StartStandin("standin_fabric", plan_.region + "-fabric",
                                 arguments, &standins_));
  fabric_ = fabric;
  fabric_admin_ = standins_.back().admin;
  return Success();
}

Result<void> Deployment::SetPlatformFault(const std::string& json) {
  return Post(platform_, "/fault", json);
}

Result<void> Deployment::CopyPlatform() {
  return Post(platform_, "/copy", "{}");
}

Result<void> Deployment::RestorePlatform() {
  return Post(platform_, "/restore", "{}");
}

Result<void> Deployment::SetFabricFault(const std::string& json) {
  return Post(fabric_admin_, "/fault", json);
}

Result<void> Deployment::SprayOverAllEntries() {
  nlohmann::json entries = {{"entries", nlohmann::json::array()},
                            {"admin", nlohmann::json::array()}};
  for (const Child& entry : entries_) {
    entries["entries"].push_back(entry.data.ToString());
    entries["admin"].push_back(entry.admin.ToString());
  }
  return Post(fabric_admin_, "/entries", entries.dump());
}

Result<std::unique_ptr<ChildProcess>> Deployment::StartCtl(
    const std::vector<std::string>& arguments,
    absl::optional<size_t> entry) {
  std::vector<std::string> all = {"--platform", platform_.ToString()};
  if (entry) {
    all.emplace_back("--entry");
    all.push_back(entries_[*entry].admin.ToString());
  }
  all.insert(all.end(), arguments.begin(), arguments.end());
  BOOST_OUTCOME_TRY(child, Run("skylarkshuntctl", plan_.region + "-ctl", all));
  return std::move(child.process);
}

Result<std::string> Deployment::Status(Role role, size_t number) const {
  const Child& child = children(role)[number];
  httplib::Client client = Connect(child.admin);
  const auto answer = client.Get("/status");
  if (!answer || answer->status != 200) {
    return MakeError(ErrorKind::kUnavailable,
                     absl::StrCat("no status of ", child.name), kLookAtLogs);
  }
  return answer->body;
}

Result<void> Deployment::Apply() {
  for (const ServicePlan& service : plan_.services) {
    BOOST_OUTCOME_TRY(ctl, StartCtl({"service", "apply", service.questionnaire,
                                     "--wait", kInForceLimitS}));
    const auto code = ctl->WaitForExit(kApplyLimit);
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
