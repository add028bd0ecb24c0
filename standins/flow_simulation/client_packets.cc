#include "standins/flow_simulation/client_packets.h"

#include <algorithm>

namespace skylarkshunt {
namespace {

/// An open flow honours a reset whose sequence is closer than this to the
/// client's last acknowledgement.
constexpr uint32_t kResetWindow = 76'800;

PacketHeader HeaderOf(const FlowId& flow) {
  PacketHeader header;
  header.source = flow.client;
  header.destination = flow.service;
  return header;
}

}  // namespace

PacketHeader MakeOpeningHeader(const FlowId& flow,
                               const ClientSequences& sequences,
                               size_t copy) {
  PacketHeader header = HeaderOf(flow);
  header.opening = true;
  header.sequence = sequences.first;
  header.acknowledged = static_cast<uint32_t>(copy);
  header.opening_age = kOpeningTimes[copy];
  header.opening_time_left = kOpeningTimeout - header.opening_age;
  header.opening_copy = static_cast<uint8_t>(copy);
  if (copy + 1 < kOpeningTimes.size())
    header.opening_next_age = kOpeningTimes[copy + 1];
  return header;
}

PacketHeader MakeClientHeader(const FlowId& flow,
                              const ClientSequences& sequences) {
  PacketHeader header = HeaderOf(flow);
  header.sequence = sequences.next;
  header.acknowledges = true;
  header.acknowledged = sequences.expected;
  return header;
}

bool IsInResetWindow(uint32_t sequence, const ClientSequences& sequences) {
  return std::min(sequence - sequences.expected,
                  sequences.expected - sequence) < kResetWindow;
}

}  // namespace skylarkshunt
