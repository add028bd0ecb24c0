#ifndef SKYLARKSHUNT_UNITTESTS_NODE_RECEIVED_CONFIGURATIONS_H_
#define SKYLARKSHUNT_UNITTESTS_NODE_RECEIVED_CONFIGURATIONS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "data_command.h"

namespace skylarkshunt {

/// Limit of a wait that a passing test does not reach.
inline constexpr absl::Duration kLongWait = absl::Seconds(30);

/// Returns a configuration without routes, as the operator writes it.
inline std::string MakeConfiguration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{}})";
}

/// Records the commands that a ConfigurationFollower sends to the data thread.
/// Thread-safe.
class ReceivedConfigurations {
 public:
  bool Take(const DataCommand& command) {
    absl::MutexLock lock(&mutex_);
    const auto* configuration = std::get_if<ConfigurationInForce>(&command);
    if (configuration != nullptr && std::exchange(refuse_next_, false))
      return false;
    if (configuration != nullptr)
      versions_.push_back(configuration->routes->version);
    const auto* node = std::get_if<NodeAddress>(&command);
    if (node != nullptr)
      nodes_.push_back(node->address);
    return true;
  }

  std::vector<uint32_t> nodes() const {
    absl::MutexLock lock(&mutex_);
    return nodes_;
  }

  /// Makes the queue of the data thread full for the next configuration.
  void RefuseNext() {
    absl::MutexLock lock(&mutex_);
    refuse_next_ = true;
  }

  /// Waits until `version` is the latest one. Returns false after `limit`.
  bool Await(uint64_t version, absl::Duration limit = kLongWait) {
    absl::MutexLock lock(&mutex_);
    wanted_ = version;
    return mutex_.AwaitWithTimeout(absl::Condition(
                                       +[](ReceivedConfigurations* self) {
                                         return !self->versions_.empty() &&
                                                self->versions_.back() ==
                                                    self->wanted_;
                                       },
                                       this),
                                   limit);
  }

  std::vector<uint64_t> versions() const {
    absl::MutexLock lock(&mutex_);
    return versions_;
  }

 private:
  mutable absl::Mutex mutex_;
  std::vector<uint64_t> versions_;
  std::vector<uint32_t> nodes_;
  uint64_t wanted_ = 0;
  bool refuse_next_ = false;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_NODE_RECEIVED_CONFIGURATIONS_H_
