#ifndef STANDINS_DEPLOYMENT_DEPLOYMENT_H_
#define STANDINS_DEPLOYMENT_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/membership/instance_record.h"
#include "standins/process/child_process.h"

namespace skylarkshunt {

/// One service of a deployment.
struct ServicePlan {
  std::string questionnaire;
  uint32_t targets = 1;
  /// The answers of the questionnaire.
  ServiceConfig config;
};

/// One deployment of the demonstration.
struct DeploymentPlan {
  std::string region;
  /// Second number of its addresses 127.N.x.y.
  uint8_t network = 20;
  uint32_t entries = 2;
  std::vector<ServicePlan> services;
};

/// Where programs are found and files are written.
struct Folders {
  std::string programs;
  /// Settings, logs and records.
  std::string work;
};

/// The processes of one deployment, started and ended here. Not thread-safe.
class Deployment {
 public:
  /// `plan` must outlive the deployment.
  Deployment(const DeploymentPlan& plan, Folders folders)
      : plan_(plan), folders_(std::move(folders)) {}

  /// Starts platform, entries, targets, agents and fabric, in this order.
  /// Errors: as ChildProcess::Start(), and kUnavailable for a program that
  /// does not become ready.
  Result<void> Start();
  /// Applies the questionnaire of every service with skylarkshuntctl. Errors:
  /// kUnavailable.
  Result<void> Apply();
  /// Ends every process, agents first, and kills those that do not end.
  /// Returns the names of those killed.
  std::vector<std::string> Stop();

  /// Starts one more entry, which the fabric does not know yet, or one more
  /// agent of service `index` beside `target`. Returns its number. Errors: as
  /// Start().
  Result<size_t> AddEntry();
  Result<size_t> AddAgent(size_t index, Endpoint target);
  /// Kills the daemon when it still runs and starts it again at the same
  /// addresses. Errors: as Start().
  Result<void> Restart(Role role, size_t number);

  /// Sets the faults of a stand-in by POST /fault; an empty object takes the
  /// fabric's faults back, {"mode":"none"} the platform's. Errors:
  /// kUnavailable.
  Result<void> SetPlatformFault(const std::string& json);
  /// Keeps a copy of the platform's objects; returns to it in a new epoch.
  Result<void> CopyPlatform();
  Result<void> RestorePlatform();
  Result<void> SetFabricFault(const std::string& json);
  /// Makes the fabric spray over all entries started so far. It leaves out
  /// those that are not healthy. Errors: kUnavailable.
  Result<void> SprayOverAllEntries();

  /// Starts skylarkshuntctl with the platform, entry `entry` where one is
  /// given, and `arguments`; the caller waits for its end. Errors: as
  /// ChildProcess::Start().
  Result<std::unique_ptr<ChildProcess>> StartCtl(
      const std::vector<std::string>& arguments,
      absl::optional<size_t> entry = 0);
  /// Returns the JSON text of GET /status of a daemon. Errors: kUnavailable.
  Result<std::string> Status(Role role, size_t number) const;

  /// The process, addresses and log of a daemon. Agents are numbered over all
  /// services in the order of their start.
  ChildProcess& process(Role role, size_t number) {
    return *children(role)[number].process;
  }
  const std::string& log_file(Role role, size_t number) const {
    return children(role)[number].log_file;
  }
  Endpoint data(Role role, size_t number) const {
    return children(role)[number].data;
  }
  size_t count(Role role) const { return children(role).size(); }
  Endpoint platform() const { return platform_; }
  Endpoint fabric() const { return fabric_; }
  /// Addresses of the targets of service `index`.
  const std::vector<Endpoint>& targets(size_t index) const {
    return targets_[index];
  }

 private:
  struct Child {
    std::string name;
    std::string log_file;
    std::unique_ptr<ChildProcess> process;
    /// Of a daemon; its settings hold these addresses once it was ready.
    std::string settings_file;
    Endpoint data;
    Endpoint control;
    Endpoint admin;
  };

  Result<Child> Run(const std::string& program,
                    const std::string& name,
                    std::vector<std::string> arguments);
  Result<Endpoint> StartStandin(const std::string& program,
                                const std::string& name,
                                const std::vector<std::string>& arguments,
                                std::vector<Child>* children);
  std::vector<Child>& children(Role role) {
    return role == Role::kEntry ? entries_ : agents_;
  }
  const std::vector<Child>& children(Role role) const {
    return role == Role::kEntry ? entries_ : agents_;
  }
  Result<void> LaunchAgent(size_t service, Endpoint target);
  static Result<void> AwaitDaemon(Child* child);
  Result<void> StartTargets(size_t service);
  Result<void> StartAgents(size_t service);
  Result<void> StartFabric();
  static void StopAll(std::vector<Child>* children,
                      std::vector<std::string>* killed);
  std::string Address(uint32_t data_centre, uint32_t host) const;
  std::vector<std::string> EntryControls() const;

  const DeploymentPlan& plan_;
  const Folders folders_;
  Endpoint platform_;
  Endpoint fabric_;
  Endpoint fabric_admin_;
  std::vector<std::vector<Endpoint>> targets_;
  std::vector<Child> agents_;
  std::vector<Child> entries_;
  std::vector<Child> standins_;
};

}  // namespace skylarkshunt

#endif  // STANDINS_DEPLOYMENT_DEPLOYMENT_H_
