#include "skylarkshunt/net/udp_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

// Room for the bursts of a demand swing while the data thread is busy.
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

sockaddr_in ToSocketAddress(Endpoint endpoint) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

Endpoint FromSocketAddress(const sockaddr_in& address) {
  return Endpoint{ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

Error BindError(Endpoint local, int code) {
  const std::string message = absl::StrCat("cannot bind UDP ", local.ToString(),
                                           ": ", std::strerror(code));
  if (code == EADDRINUSE) {
    return MakeError(ErrorKind::kAddressInUse, message,
                     "end the process that holds it or set another address");
  }
  return MakeError(ErrorKind::kSystem, message,
                   "set an address that this instance has");
}

}  // namespace

Result<UdpSocket> UdpSocket::Bind(Endpoint local) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return BindError(local, errno);
  UdpSocket result(fd, local);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  sockaddr_in address = ToSocketAddress(local);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) <
      0) {
    return BindError(local, errno);
  }
  socklen_t size = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) < 0)
    return BindError(local, errno);
  result.local_ = FromSocketAddress(address);
  return result;
}

UdpSocket::UdpSocket(int fd, Endpoint local)
    : fd_(fd), local_(local), buffer_(kMaxDatagramBytes + 1) {}

UdpSocket::UdpSocket(UdpSocket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      local_(other.local_),
      buffer_(std::move(other.buffer_)) {}

UdpSocket& UdpSocket::operator=(UdpSocket&& other) noexcept {
  std::swap(fd_, other.fd_);
  std::swap(local_, other.local_);
  std::swap(buffer_, other.buffer_);
  return *this;
}

UdpSocket::~UdpSocket() {
  if (fd_ >= 0)
    close(fd_);
}

bool UdpSocket::Send(Endpoint destination,
                     absl::Span<const uint8_t> bytes) const {
  const sockaddr_in address = ToSocketAddress(destination);
  const ssize_t sent =
      sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return sent == static_cast<ssize_t>(bytes.size());
}

absl::optional<Datagram> UdpSocket::Receive() {
  // On Linux a socket reports an ICMP error of an earlier send here; the
  // datagrams behind it are still to be read.
  constexpr int kMaxErrorsSkipped = 16;
  for (int i = 0; i < kMaxErrorsSkipped; ++i) {
    sockaddr_in address = {};
    socklen_t size = sizeof(address);
    const ssize_t received =
        recvfrom(fd_, buffer_.data(), buffer_.size(), 0,
                 reinterpret_cast<sockaddr*>(&address), &size);
    if (received >= 0) {
      return Datagram{
          FromSocketAddress(address),
          absl::MakeConstSpan(buffer_.data(), static_cast<size_t>(received))};
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      return absl::nullopt;
  }
  return absl::nullopt;
}

}  // namespace skylarkshunt
