#ifndef SKYLARKSHUNT_LIB_AGENT_HEALTH_LOOP_H_
#define SKYLARKSHUNT_LIB_AGENT_HEALTH_LOOP_H_

#include <functional>
#include <thread>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/endpoint.h"

namespace skylarkshunt {

/// Time between two requests to the target's health endpoint.
inline constexpr absl::Duration kHealthInterval = absl::Seconds(1);

/// The thread that checks the target's health. A newer hint replaces one that
/// was not yet taken.
class HealthLoop {
 public:
  HealthLoop(Endpoint target, std::function<void()> on_hint);
  ~HealthLoop();

  void Start();
  /// Returns the newest hint not yet taken. Thread-safe.
  absl::optional<bool> TryPop() { return hints_.TryPop(); }

 private:
  void Run();

  const Endpoint target_;
  BoundedRing<bool> hints_;
  BoundedRing<bool> stop_;
  std::thread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_HEALTH_LOOP_H_
