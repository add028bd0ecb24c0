#ifndef SKYLARKSHUNT_NET_UDP_SOCKET_H_
#define SKYLARKSHUNT_NET_UDP_SOCKET_H_

#include <cstdint>
#include <vector>

#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// One received datagram. `bytes` is valid until the next Receive().
struct Datagram {
  Endpoint source;
  absl::Span<const uint8_t> bytes;
};

/// A non-blocking IPv4 UDP socket. Send() is thread-safe; Receive() belongs to
/// one thread.
class UdpSocket {
 public:
  /// Binds to `local`; port 0 lets the kernel choose. Errors: kAddressInUse,
  /// kSystem.
  static Result<UdpSocket> Bind(Endpoint local);

  UdpSocket(UdpSocket&& other) noexcept;
  UdpSocket& operator=(UdpSocket&& other) noexcept;
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;
  ~UdpSocket();

  /// Sends one datagram. Returns false when the kernel did not take it; the
  /// datagram is then lost, as any datagram may be.
  bool Send(Endpoint destination, absl::Span<const uint8_t> bytes) const;

  /// Returns the next datagram, or nothing when none waits. A datagram longer
  /// than kMaxDatagramBytes arrives with that length plus one, so that a codec
  /// rejects it.
  absl::optional<Datagram> Receive();

  /// The bound address, with the port that the kernel chose.
  Endpoint local() const { return local_; }
  /// For poll(). Owned by this object.
  int fd() const { return fd_; }

  /// Longest datagram received whole, in bytes.
  static constexpr size_t kMaxDatagramBytes = 2048;

 private:
  UdpSocket(int fd, Endpoint local);

  int fd_ = -1;
  Endpoint local_;
  std::vector<uint8_t> buffer_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_NET_UDP_SOCKET_H_
