#ifndef SKYLARKSHUNT_ADMIN_ADMIN_SERVER_H_
#define SKYLARKSHUNT_ADMIN_ADMIN_SERVER_H_

#include <memory>

#include "skylarkshunt/admin/status_board.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// HTTP server for operators and monitors:
///   GET /healthz  200 "ok", or 503 "draining"
///   GET /metrics  counters in the text exposition format
///   GET /status   JSON; 503 until the first status is published
/// Listens from Start() until its end on a thread of its own, with few workers
/// and short time-outs.
class AdminServer {
 public:
  /// `counters` and `board` must outlive the server. Errors: kAddressInUse,
  /// kSystem.
  static Result<std::unique_ptr<AdminServer>> Start(
      Endpoint listen,
      const CounterRegistry& counters,
      const StatusBoard& board);
  virtual ~AdminServer() = default;

  /// The bound address, with the port that the kernel chose. Thread-safe.
  virtual Endpoint local() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_ADMIN_ADMIN_SERVER_H_
