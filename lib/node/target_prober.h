#ifndef SKYLARKSHUNT_LIB_NODE_TARGET_PROBER_H_
#define SKYLARKSHUNT_LIB_NODE_TARGET_PROBER_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "data_command.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/endpoint.h"

namespace skylarkshunt {

/// Checks a target that has stopped answering, on a thread of its own. Requests
/// that come during a check are dropped.
class TargetProber {
 public:
  struct Options {
    Endpoint target;
    /// The path of the health check, or empty while it is not known.
    std::function<std::string()> health_path;
    std::function<void(TargetProbe)> on_outcome;
  };

  explicit TargetProber(Options options);
  TargetProber(const TargetProber&) = delete;
  TargetProber& operator=(const TargetProber&) = delete;
  ~TargetProber();

  /// Asks for a check. Thread-safe.
  void Probe();

 private:
  void Run();
  TargetProbe Check() const;

  const Options options_;
  /// True asks for a check, false ends the thread.
  BoundedRing<bool> requests_;
  std::thread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_TARGET_PROBER_H_
