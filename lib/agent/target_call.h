#ifndef SKYLARKSHUNT_LIB_AGENT_TARGET_CALL_H_
#define SKYLARKSHUNT_LIB_AGENT_TARGET_CALL_H_

#include <functional>

#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// Maximum size of a target's answer, in bytes. A larger one counts as a
/// failure of the target after the request ran.
inline constexpr size_t kMaxTargetAnswerBytes = size_t{16} << 20;
/// Longest wait for the connection to the target, which runs beside the agent.
inline constexpr absl::Duration kTargetConnectTimeout = absl::Seconds(1);
/// Longest wait for the target's health endpoint.
inline constexpr absl::Duration kHealthTimeout = absl::Seconds(1);

/// Sends the request of `run` to the target and waits for its answer until the
/// run's deadline. `on_socket` receives the socket before it connects and may
/// keep a duplicate of it to end the call early. Thread-safe.
RunResult CallTarget(Endpoint target,
                     const StartRun& run,
                     const std::function<void(int socket)>& on_socket);

/// Returns whether GET /health of the target answers 200. Thread-safe.
bool IsTargetHealthy(Endpoint target);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_TARGET_CALL_H_
