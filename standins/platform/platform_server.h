#ifndef SKYLARKSHUNT_STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define SKYLARKSHUNT_STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <memory>

#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "standins/platform/platform_core.h"

namespace skylarkshunt {

/// The stand-in platform behind HTTP, with the published protocol of the object
/// store, POST /fault and GET /calls. All methods are thread-safe.
class PlatformServer {
 public:
  struct Options {
    /// Port 0 lets the kernel choose.
    Endpoint listen;
    PlatformCore::Options core;
  };

  /// Listens when it returns. Errors: kAddressInUse.
  static Result<std::unique_ptr<PlatformServer>> Start(const Options& options);
  virtual ~PlatformServer() = default;

  virtual Endpoint address() const = 0;
  virtual PlatformCore& core() = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PLATFORM_PLATFORM_SERVER_H_
