#ifndef STANDINS_TARGET_TARGET_SERVER_H_
#define STANDINS_TARGET_TARGET_SERVER_H_

#include <memory>

#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "standins/target/target.h"

namespace skylarkshunt {

/// The HTTP/1.1 side of a target: POST /request (headers X-Request-Id,
/// X-Deadline-Ms and X-Kind, a work order as body), GET /health, /load, /runs
/// and /counts, and POST /fault. Threads of its own.
class TargetServer {
 public:
  /// Binds and starts. Errors: kAddressInUse.
  static Result<std::unique_ptr<TargetServer>> Start(
      Endpoint listen,
      const Target::Options& options);
  virtual ~TargetServer() = default;

  virtual Endpoint address() const = 0;
  virtual Target& target() = 0;
};

}  // namespace skylarkshunt

#endif  // STANDINS_TARGET_TARGET_SERVER_H_
