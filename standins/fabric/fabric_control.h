#ifndef STANDINS_FABRIC_FABRIC_CONTROL_H_
#define STANDINS_FABRIC_FABRIC_CONTROL_H_

#include <memory>
#include <vector>

#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "standins/fabric/fabric.h"

namespace skylarkshunt {

/// HTTP control of a fabric: POST /entries, POST /fault, GET /counts; it also
/// asks the entries' GET /healthz and leaves out those that do not answer 200.
/// Threads of its own; the methods are thread-safe.
class FabricControl {
 public:
  /// Binds and starts. `fabric` must outlive the control. Errors:
  /// kAddressInUse.
  static Result<std::unique_ptr<FabricControl>>
  Start(Endpoint listen, std::vector<FabricEntry> entries, Fabric* fabric);
  virtual ~FabricControl() = default;

  virtual Endpoint address() const = 0;
};

}  // namespace skylarkshunt

#endif  // STANDINS_FABRIC_FABRIC_CONTROL_H_
