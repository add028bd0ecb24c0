#include "sockets.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>

namespace review {
namespace {

constexpr size_t kHeadBytes = 31;
/// Only clients and backends know it.
constexpr uint32_t kSumKey = 0x5eed1234;

sockaddr_in ToSocketAddress(Address address) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

int Bind(Address address, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in target = ToSocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) < 0)
    Fail("cannot bind " + ToText(address) + ": " + std::strerror(errno));
  return fd;
}

template <typename T>
void Put(std::string& bytes, T value) {
  for (size_t i = 0; i < sizeof(T); ++i)
    bytes.push_back(static_cast<char>(value >> (8 * i)));
}

template <typename T>
T Get(const std::string& bytes, size_t at) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value = static_cast<T>(
        value | static_cast<T>(static_cast<uint8_t>(bytes[at + i])) << (8 * i));
  }
  return value;
}

}  // namespace

void Fail(const std::string& why) {
  std::cerr << "the case cannot run: " << why << "\n";
  std::exit(2);
}

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string ToText(Address address) {
  return std::to_string(address.ip >> 24) + "." +
         std::to_string(address.ip >> 16 & 0xff) + "." +
         std::to_string(address.ip >> 8 & 0xff) + "." +
         std::to_string(address.ip & 0xff) + ":" + std::to_string(address.port);
}

bool WaitForInput(int fd, int timeout_ms) {
  pollfd watched = {fd, POLLIN, 0};
  return timeout_ms > 0 && poll(&watched, 1, timeout_ms) > 0;
}

int Listen(Address address) {
  const int fd = Bind(address, SOCK_STREAM);
  listen(fd, 128);
  return fd;
}

int BindUdp(Address address) {
  return Bind(address, SOCK_DGRAM);
}

int Connect(Address server) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = ToSocketAddress(server);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) <
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

void SendTo(int fd, Address destination, const std::string& bytes) {
  const sockaddr_in target = ToSocketAddress(destination);
  sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

std::string ReceiveFrom(int fd) {
  char bytes[2048];
  const ssize_t got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
  return got <= 0 ? std::string()
                  : std::string(bytes, static_cast<size_t>(got));
}

std::string Encode(const Packet& packet) {
  std::string bytes;
  Put(bytes, packet.echo);
  Put(bytes, packet.source.port);
  Put(bytes, packet.source.ip);
  Put(bytes, packet.destination.port);
  Put(bytes, packet.destination.ip);
  Put(bytes, static_cast<uint16_t>(packet.data.size()));
  Put(bytes, packet.sequence);
  Put(bytes, packet.acknowledged);
  Put(bytes, packet.sum);
  Put(bytes, packet.flags);
  return bytes + packet.data;
}

Packet Decode(const std::string& bytes) {
  Packet packet;
  if (bytes.size() < kHeadBytes)
    return packet;
  packet.echo = Get<uint32_t>(bytes, 0);
  packet.source = {Get<uint32_t>(bytes, 6), Get<uint16_t>(bytes, 4)};
  packet.destination = {Get<uint32_t>(bytes, 12), Get<uint16_t>(bytes, 10)};
  packet.sequence = Get<uint32_t>(bytes, 18);
  packet.acknowledged = Get<uint32_t>(bytes, 22);
  packet.sum = Get<uint32_t>(bytes, 26);
  packet.flags = Get<uint8_t>(bytes, 30);
  packet.data = bytes.substr(kHeadBytes);
  return packet;
}

uint32_t SumOf(const Packet& packet) {
  Packet summed = packet;
  summed.echo = 0;
  summed.sum = kSumKey;
  summed.flags = static_cast<uint8_t>(packet.flags & ~kBounced);
  uint32_t sum = 2'166'136'261U;
  for (const char byte : Encode(summed)) {
    sum ^= static_cast<uint8_t>(byte);
    sum *= 16'777'619U;
  }
  return sum == 0 ? 1 : sum;
}

}  // namespace review
