#ifndef SKYLARKSHUNT_REVIEW_STANDINS_2_SOCKETS_H_
#define SKYLARKSHUNT_REVIEW_STANDINS_2_SOCKETS_H_

#include <cstdint>
#include <string>

#include "stage.h"

namespace review {

int64_t SteadyMs();
bool WaitForInput(int fd, int timeout_ms);
/// The next ones end the program with exit code 2 if the machine refuses.
int Listen(Address address);
int BindUdp(Address address);
/// Returns -1 if the connection is refused.
int Connect(Address server);
bool SendAll(int fd, const std::string& text);
void SendTo(int fd, Address destination, const std::string& bytes);
std::string ReceiveFrom(int fd);
/// Returns the bytes of a call.
std::string MakeCallText(const Request& request);
[[noreturn]] void Fail(const std::string& why);

std::string Encode(const Packet& packet);
Packet Decode(const std::string& bytes);

}  // namespace review

#endif  // SKYLARKSHUNT_REVIEW_STANDINS_2_SOCKETS_H_
