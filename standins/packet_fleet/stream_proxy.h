#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_STREAM_PROXY_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_STREAM_PROXY_H_

#include <memory>

#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// What a StreamProxy does to connections.
enum class StreamFault {
  kNone,
  kDelay,   ///< Bytes are held back for StreamProxy::kDelay, both ways.
  kReset,   ///< Open connections are reset, and new ones at once.
  kSilent,  ///< Connections stay open, and no byte passes.
  kOneWay,  ///< Requests pass and answers do not.
};
inline constexpr int kStreamFaults = 5;

/// Returns a stable name such as "one_way". Thread-safe.
const char* StreamFaultName(StreamFault fault);

/// Passes TCP connections on to a server and disturbs them on demand. A byte
/// that was dropped is lost for its connection, as behind a partition. Public
/// methods are thread-safe.
class StreamProxy {
 public:
  static constexpr absl::Duration kDelay = absl::Milliseconds(400);

  /// Listens on a free port if that of `listen` is 0. Errors: kAddressInUse,
  /// kSystem.
  static Result<std::unique_ptr<StreamProxy>> Start(Endpoint listen,
                                                    Endpoint server);
  virtual ~StreamProxy() = default;

  virtual void SetFault(StreamFault fault) = 0;
  /// Returns the address on which it listens.
  virtual Endpoint local() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_STREAM_PROXY_H_
