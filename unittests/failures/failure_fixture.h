#ifndef UNITTESTS_FAILURES_FAILURE_FIXTURE_H_
#define UNITTESTS_FAILURES_FAILURE_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "standins/deployment/deployment.h"
#include "standins/deployment/load.h"
#include "standins/deployment/verdict.h"

namespace skylarkshunt {

/// The users' limit for a change to be in force everywhere.
inline constexpr absl::Duration kInForceLimit = absl::Seconds(9);
/// Limit for everything that has no limit in the design.
inline constexpr absl::Duration kGenerousLimit = absl::Seconds(30);

/// Polls until `condition` holds; returns false after `limit`.
bool WaitUntil(const std::function<bool()>& condition,
               absl::Duration limit = kGenerousLimit);

/// Two entries and three targets of the service `dispatch`, whose kind
/// `pull_job` is idempotent and whose kind `post_report` is not. The
/// environment variable SKYLARKSHUNT_KEEP keeps its folder of logs.
class FailureFixture : public CppUnit::TestFixture {
 public:
  void setUp() override;
  void tearDown() override;

 protected:
  /// Starts the deployment and applies its services. `network` keeps the
  /// addresses of tests that run beside each other apart.
  void StartDeployment(uint8_t network, size_t services = 1);
  Deployment& deployment() { return *deployment_; }
  const ServicePlan& service(size_t index = 0) const {
    return plan_.services[index];
  }

  /// Starts a load on a service and waits until all targets in use have
  /// completed some of it.
  LoadRun StartLoad(const std::string& name,
                    const LoadRun::Options& options,
                    size_t service_index = 0);
  /// Waits for its end and checks what holds under every failure.
  LoadSummary FinishLoad(LoadRun* run, size_t service_index = 0);

  /// Runs skylarkshuntctl to its end; returns its exit code.
  int Ctl(const std::vector<std::string>& arguments,
          absl::optional<size_t> entry = 0);
  /// Writes the questionnaire of a service with another number of slots, and
  /// returns its path.
  std::string WriteQuestionnaire(size_t index, int slots) const;

  /// GET /status; an empty object while the daemon does not answer.
  nlohmann::json Status(Role role, size_t number) const;
  std::string Uid(size_t agent) const;
  uint64_t Completed(size_t agent) const;
  /// Requests that a target has run, and those that it runs now.
  static uint64_t RunsAt(Endpoint target);
  static uint64_t RunningAt(Endpoint target);
  size_t deployment_count(Role role) const { return deployment_->count(role); }
  /// Whether each entry that answers shows the agent `uid` in `state`.
  bool AllEntriesShow(const std::string& uid, const std::string& state) const;
  /// Lines of a daemon's log that contain `text`.
  size_t CountLog(Role role, size_t number, const std::string& text) const;

  std::vector<Endpoint> used_targets_;

 private:
  std::string folder_;
  DeploymentPlan plan_;
  Folders folders_;
  std::unique_ptr<Deployment> deployment_;
};

}  // namespace skylarkshunt

#endif  // UNITTESTS_FAILURES_FAILURE_FIXTURE_H_
