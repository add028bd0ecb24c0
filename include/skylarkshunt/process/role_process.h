#ifndef SKYLARKSHUNT_PROCESS_ROLE_PROCESS_H_
#define SKYLARKSHUNT_PROCESS_ROLE_PROCESS_H_

#include <cstdint>

#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/settings/settings.h"

namespace skylarkshunt {

/// Addresses on which a process listens, with the ports that the kernel chose.
struct ProcessAddresses {
  Endpoint data;
  /// Entries only.
  Endpoint control;
  Endpoint admin;
};

/// Startup options of a process.
struct ProcessOptions {
  Settings settings;
  Incarnation incarnation{};
  /// Must outlive the process object.
  CounterRegistry* counters = nullptr;
  uint64_t random_seed = 1;
};

/// A running role of the daemon. The destructor ends its threads. All methods
/// are thread-safe.
class RoleProcess {
 public:
  virtual ~RoleProcess() = default;

  virtual ProcessAddresses addresses() const = 0;
  /// Begins the graceful shutdown. Repeated calls have no effect.
  virtual void BeginShutdown() = 0;
  /// Returns whether the graceful shutdown is complete.
  virtual bool ended() const = 0;
  /// Logs one of `rate` established packets from now on; 0 logs none.
  virtual void SetEstablishedLogRate(uint32_t rate) = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PROCESS_ROLE_PROCESS_H_
