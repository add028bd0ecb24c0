#ifndef SKYLARKSHUNT_LIB_TRANSPORT_LINKS_H_
#define SKYLARKSHUNT_LIB_TRANSPORT_LINKS_H_

#include <boost/asio/io_service.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/control/entry_control.h"
#include "skylarkshunt/transport/control_transport.h"

namespace skylarkshunt {

/// Counters of the links.
struct LinkCounters {
  explicit LinkCounters(CounterRegistry& registry);

  Counter& bytes_sent;
  Counter& bytes_received;
  Counter& malformed;
  Counter& oversized;
  Counter& outbound_refused;
  Counter& inbound_refused;
  Counter& dropped;
  Counter& commands_overflow;
  Counter& events_overflow;
};

/// Takes what the links report. Called on the transport's thread.
class LinkObserver {
 public:
  virtual ~LinkObserver() = default;
  /// Returns false when the payload is no control message.
  virtual bool OnPayload(ConnectionId connection,
                         Endpoint peer,
                         const std::string& payload) = 0;
  virtual void OnLinkFailed(Endpoint peer) = 0;
};

/// Links that this process opens. Belongs to the transport's thread.
class OutboundLinks {
 public:
  static std::unique_ptr<OutboundLinks> Create(
      boost::asio::io_service& io,
      const ControlTransport::Options& options,
      LinkCounters& counters,
      LinkObserver& observer);
  virtual ~OutboundLinks() = default;

  virtual void Send(absl::Time now,
                    Endpoint peer,
                    const std::vector<uint8_t>& payload) = 0;
  virtual void CloseIdle(absl::Time now) = 0;
  virtual void CloseAll() = 0;
  /// Number of connections that are not yet closed.
  virtual size_t size() const = 0;
};

/// Connections that others open. Belongs to the transport's thread, but for
/// local().
class InboundLinks {
 public:
  /// Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<InboundLinks>> Listen(
      boost::asio::io_service& io,
      const ControlTransport::Options& options,
      LinkCounters& counters,
      LinkObserver& observer);
  virtual ~InboundLinks() = default;

  virtual void Send(ConnectionId connection,
                    const std::vector<uint8_t>& payload) = 0;
  virtual void CloseSilent(absl::Time now) = 0;
  virtual void CloseAll() = 0;
  virtual size_t size() const = 0;
  virtual Endpoint local() const = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_TRANSPORT_LINKS_H_
