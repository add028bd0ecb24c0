#ifndef SKYLARKSHUNT_PROCESS_ROLE_PROCESS_H_
#define SKYLARKSHUNT_PROCESS_ROLE_PROCESS_H_

#include <cstdint>

#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/settings/settings.h"

namespace skylarkshunt {

/// Addresses that a process has opened, with the ports the kernel chose.
struct ProcessAddresses {
  Endpoint data;
  /// Entries only.
  Endpoint control;
  Endpoint admin;
};

/// What a process starts with.
struct ProcessOptions {
  Settings settings;
  Incarnation incarnation{};
  /// Must outlive the process object.
  CounterRegistry* counters = nullptr;
  uint64_t random_seed = 1;
};

/// One running role of the daemon. Its threads end with the object. All methods
/// are thread-safe.
class RoleProcess {
 public:
  virtual ~RoleProcess() = default;

  virtual ProcessAddresses addresses() const = 0;
  /// Begins the graceful end; repeated calls change nothing.
  virtual void BeginShutdown() = 0;
  /// Whether the graceful end is complete.
  virtual bool ended() const = 0;
  /// Logs one of `rate` established packets from now on; 0 logs none.
  virtual void SetEstablishedLogRate(uint32_t rate) = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PROCESS_ROLE_PROCESS_H_
