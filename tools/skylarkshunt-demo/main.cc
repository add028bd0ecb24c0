// skylarkshunt-demo: runs both deployments of the users on this machine, with
// stand-ins for the outside world, and compares what the callers were told
// with what the targets ran.

#include <signal.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "skylarkshunt/configuration/questionnaire.h"
#include "standins/deployment/deployment.h"
#include "standins/deployment/load.h"
#include "standins/deployment/verdict.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr absl::Duration kServingLimit = absl::Seconds(20);
constexpr absl::Duration kProbeDuration = absl::Milliseconds(500);
constexpr uint32_t kProbeFlows = 100;
constexpr uint32_t kFlows = 2000;

std::atomic<bool> interrupted{false};

void OnInterrupt(int) {
  interrupted = true;
}

Error Interrupted() {
  return MakeError(ErrorKind::kUnavailable, "interrupted", "start it again");
}

/// The targets of the users' deployments.
std::vector<DeploymentPlan> UsersDeployments(const std::string& examples) {
  const auto file = [&examples](const std::string& name) {
    return absl::StrCat(examples, "/", name, ".json");
  };
  return {{"ch-nord",
           20,
           2,
           {{file("dispatch"), 7, {}}, {file("schemata"), 3, {}}}},
          {"qc-centre",
           21,
           2,
           {{file("registre"), 7, {}}, {file("archives"), 4, {}}}}};
}

Result<void> ReadQuestionnaires(std::vector<DeploymentPlan>* plans) {
  for (DeploymentPlan& plan : *plans) {
    for (ServicePlan& service : plan.services) {
      BOOST_OUTCOME_TRY(answers, LoadQuestionnaire(service.questionnaire));
      service.config = answers.service;
    }
  }
  return Success();
}

/// Sends a short load until every target of the service has answered.
Result<void> WaitUntilServing(const Folders& folders,
                              Endpoint fabric,
                              const ServicePlan& service) {
  const absl::Time deadline = absl::Now() + kServingLimit;
  LoadRun::Options options;
  options.utilisation = 0.3;
  options.flows = kProbeFlows;
  options.duration = kProbeDuration;
  for (options.seed = 1000; absl::Now() < deadline; ++options.seed) {
    if (interrupted)
      return Interrupted();
    BOOST_OUTCOME_TRY(
        run, LoadRun::Start(folders, service.config.name + "-probe", fabric,
                            service, options));
    BOOST_OUTCOME_TRY(summary, run.Finish());
    if (summary.targets == service.targets)
      return Success();
  }
  return MakeError(
      ErrorKind::kUnavailable,
      absl::StrCat("not every target of ", service.config.name, " answers"),
      "read the logs of the work folder");
}

bool IsGood(const LoadSummary& summary, const Verdict& verdict) {
  return summary.ok > 0 && summary.wrong == 0 && summary.missing == 0 &&
         verdict.doubled == 0 && verdict.untrue == 0;
}

void PrintHead() {
  std::printf("%-10s %8s %8s %5s %7s %7s %7s %6s %8s %9s %7s %6s %6s\n",
              "service", "requests", "ok", "wrong", "missing", "not_run",
              "unknown", "broken", "p99 ms *", "imbalance", "doubled", "untrue",
              "rerun");
}

void PrintRow(const std::string& service,
              const LoadSummary& summary,
              const Verdict& verdict) {
  std::printf(
      "%-10s %8lu %8lu %5lu %7lu %7lu %7lu %6lu %8.1f %9.2f %7lu %6lu %6lu\n",
      service.c_str(), summary.requests, summary.ok, summary.wrong,
      summary.missing, summary.not_run, summary.unknown, summary.broken_flows,
      summary.short_p99_ms, verdict.imbalance, verdict.doubled, verdict.untrue,
      verdict.rerun);
  std::fflush(stdout);
}

/// Runs the load on all services of the deployment at once. Returns whether
/// every result is good.
Result<bool> Measure(const Folders& folders,
                     const DeploymentPlan& plan,
                     const Deployment& deployment,
                     absl::Duration duration) {
  std::vector<LoadRun> runs;
  for (const ServicePlan& service : plan.services) {
    LoadRun::Options options;
    options.flows = kFlows;
    options.duration = duration;
    BOOST_OUTCOME_TRY(run,
                      LoadRun::Start(folders, service.config.name + "-load",
                                     deployment.fabric(), service, options));
    runs.push_back(std::move(run));
  }
  bool good = true;
  for (size_t i = 0; i < runs.size(); ++i) {
    const ServiceConfig& config = plan.services[i].config;
    BOOST_OUTCOME_TRY(summary, runs[i].Finish());
    BOOST_OUTCOME_TRY(verdict, CompareWithRuns(runs[i].records(), config,
                                               deployment.targets(i)));
    PrintRow(config.name, summary, verdict);
    good = good && IsGood(summary, verdict);
  }
  return good;
}

Result<bool> RunDeployment(const Folders& folders,
                           const DeploymentPlan& plan,
                           absl::Duration duration) {
  std::cerr << plan.region << ": starting" << std::endl;
  Deployment deployment(plan, folders);
  BOOST_OUTCOME_TRYV(deployment.Start());
  BOOST_OUTCOME_TRYV(deployment.Apply());
  for (const ServicePlan& service : plan.services) {
    BOOST_OUTCOME_TRYV(WaitUntilServing(folders, deployment.fabric(), service));
  }
  std::cerr << plan.region << ": serving, load for " << duration << std::endl;
  BOOST_OUTCOME_TRY(good, Measure(folders, plan, deployment, duration));
  std::cerr << plan.region << ": ending" << std::endl;
  const std::vector<std::string> killed = deployment.Stop();
  if (!killed.empty()) {
    std::cerr << "did not end and were killed: " << absl::StrJoin(killed, ", ")
              << std::endl;
  }
  if (interrupted)
    return Interrupted();
  return good;
}

Result<bool> RunAll(const std::string& examples,
                    const Folders& folders,
                    absl::Duration duration) {
  std::vector<DeploymentPlan> plans = UsersDeployments(examples);
  BOOST_OUTCOME_TRYV(ReadQuestionnaires(&plans));
  bool good = true;
  PrintHead();
  for (const DeploymentPlan& plan : plans) {
    BOOST_OUTCOME_TRY(one, RunDeployment(folders, plan, duration));
    good = good && one;
  }
  std::printf(
      "* waiting time of the shortest kind, its run included\n"
      "imbalance: runs of the busiest target over the mean; doubled: "
      "non-idempotent\nrequests that ran twice; untrue: not_run that ran, or "
      "ok without a run; rerun:\nidempotent requests that ran again\n");
  return good;
}

Result<std::string> MakeWorkFolder() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "skylarkshunt-demo-XXXXXX")
          .string();
  if (mkdtemp(folder.data()) == nullptr) {
    return MakeError(ErrorKind::kSystem, "cannot make a work folder",
                     "set TMPDIR to a folder that can be written");
  }
  return folder;
}

int Report(const Result<bool>& result, const std::string& work) {
  if (result && result.value()) {
    std::filesystem::remove_all(work);
    std::printf("passed\n");
    return 0;
  }
  if (interrupted)
    std::cerr << "interrupted" << std::endl;
  else if (!result)
    std::cerr << result.error().ToString() << std::endl;
  std::printf("failed; settings and logs are in %s\n", work.c_str());
  return kExitFailed;
}

int Main(int argc, char** argv) {
  po::options_description all("skylarkshunt-demo: a local demonstration");
  auto add = all.add_options();
  add("help", "print this text");
  add("programs", po::value<std::string>()->default_value("build/bin"),
      "folder of the programs");
  add("examples", po::value<std::string>()->default_value("examples"),
      "folder of the questionnaires");
  add("load-s", po::value<double>()->default_value(10),
      "time of the load on each deployment, in seconds");
  po::variables_map map;
  try {
    po::store(po::parse_command_line(argc, argv, all), map);
    po::notify(map);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help" << std::endl;
    return kExitUsage;
  }
  if (map.count("help") > 0) {
    std::cout << all;
    return 0;
  }
  signal(SIGINT, OnInterrupt);
  signal(SIGTERM, OnInterrupt);
  const auto work = MakeWorkFolder();
  if (!work) {
    std::cerr << work.error().ToString() << std::endl;
    return kExitFailed;
  }
  const Folders folders = {map["programs"].as<std::string>(), work.value()};
  return Report(RunAll(map["examples"].as<std::string>(), folders,
                       absl::Seconds(map["load-s"].as<double>())),
                work.value());
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
