#ifndef STANDINS_DEPLOYMENT_DEPLOYMENT_H_
#define STANDINS_DEPLOYMENT_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/service_config.h"
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

  Endpoint fabric() const { return fabric_; }
  /// Addresses of the targets of service `index`.
  const std::vector<Endpoint>& targets(size_t index) const {
    return targets_[index];
  }

 private:
  struct Child {
    std::string name;
    std::unique_ptr<ChildProcess> process;
  };

  struct Entry {
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
  Result<void> StartEntries();
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
  std::vector<Entry> entry_addresses_;
  std::vector<std::vector<Endpoint>> targets_;
  std::vector<Child> agents_;
  std::vector<Child> entries_;
  std::vector<Child> standins_;
};

}  // namespace skylarkshunt

#endif  // STANDINS_DEPLOYMENT_DEPLOYMENT_H_
