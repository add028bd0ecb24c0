#ifndef SKYLARKSHUNT_UNITTESTS_FLOW_PROOF_AGENT_INPUTS_H_
#define SKYLARKSHUNT_UNITTESTS_FLOW_PROOF_AGENT_INPUTS_H_

#include <cstdint>
#include <limits>

#include "../forwarding/packets.h"
#include "skylarkshunt/forwarding/agent_forwarder.h"

namespace skylarkshunt {

inline const Endpoint kEntry{0x0a010001, 7720};
inline const ServiceUid kService = MakeServiceUid("dispatch");
inline constexpr uint32_t kDataCentre = 1;

inline AgentForwarder::Options MakeAgentOptions(uint64_t uid) {
  AgentForwarder::Options options;
  options.identity.uid = InstanceUid{uid};
  options.identity.incarnation = Incarnation{5};
  options.identity.service = kService;
  options.identity.data_centre = kDataCentre;
  options.service = "dispatch";
  return options;
}

inline TargetReport MakeReport(uint64_t sequence, int64_t started_ms = 1000) {
  TargetReport report;
  report.id = "i-1";
  report.service = "dispatch";
  report.started_unix_ms = started_ms;
  report.sequence = sequence;
  report.slots = 2;
  return report;
}

inline ForwardedPacket Forward(ForwardMode mode) {
  ForwardedPacket forwarded;
  forwarded.mode = mode;
  forwarded.service = kService;
  forwarded.objective_ms = 150;
  forwarded.wait_limit_us = std::numeric_limits<uint32_t>::max();
  forwarded.packet = kPacketBytes;
  return forwarded;
}

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_FLOW_PROOF_AGENT_INPUTS_H_
