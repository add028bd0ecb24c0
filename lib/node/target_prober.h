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

/// Checks whether an unresponsive target is alive, on a separate thread. While
/// a check runs, at most one further request is queued; others are dropped.
class TargetProber {
 public:
  struct Options {
    Endpoint target;
    /// Returns the path of the health check, or an empty string if unknown.
    std::function<std::string()> health_path;
    std::function<void(const TargetProbe&)> on_outcome;
  };

  explicit TargetProber(Options options);
  TargetProber(const TargetProber&) = delete;
  TargetProber& operator=(const TargetProber&) = delete;
  ~TargetProber();

  /// Requests a check. Thread-safe.
  void Probe();

 private:
  void Run();
  TargetProbe::Outcome Check() const;

  const Options options_;
  /// True requests a check, false ends the thread.
  BoundedRing<bool> requests_;
  std::thread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_TARGET_PROBER_H_
