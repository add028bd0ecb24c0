#include "skylarkshunt/forwarding/node_codec.h"

#include <algorithm>

#include "byte_codec.h"

namespace skylarkshunt {
namespace {

constexpr uint8_t kVersion = 3;

/// First byte after the version, one per alternative of NodeMessage.
enum class Type : uint8_t {
  kAgentReport = 1,
  kEntryReport = 2,
  kForwardedPacket = 3,
  kReturnedPacket = 4,
  kFlowPlaced = 5,
  /// Nodes of releases before this type count it as malformed.
  kRefusalReport = 6,
  /// Releases that do not know these types count them as malformed.
  kFlowQuery = 7,
  kQueryAnswer = 8,
  kEvacuationReport = 9,
  kConfigurationReport = 10,
};

/// Releases before ConfigurationReport fetch a configuration from a node whose
/// report names a higher revision here. They must not take over revisions that
/// have an epoch, and follow the store by themselves.
constexpr Revision kNoOffer{};

/// FlowQuery::acknowledges.
constexpr uint8_t kAcknowledges = 1;

/// ForwardedPacket::known_only in the byte of the priority. Earlier releases
/// ignore the priority of a search.
constexpr uint8_t kKnownOnly = kMaxPriority + 1;
static_assert((kMaxPriority & kKnownOnly) == 0, "the bits must not overlap");

/// Maximum value of the number of flows and of the units of pending work, which
/// share 4 bytes.
constexpr uint32_t kMaxHalf = 0xffff;

ByteWriter Begin(std::vector<uint8_t>& out, Type type) {
  out.clear();
  ByteWriter writer(out);
  writer.Number(kVersion);
  writer.Choice(type);
  return writer;
}

void Write(ByteWriter& writer, const AgentIdentity& agent) {
  writer.Identity(agent.uid);
  writer.Identity(agent.incarnation);
  writer.Identity(agent.service);
  writer.Number(agent.data_centre);
}

AgentIdentity ReadIdentity(ByteReader& reader) {
  AgentIdentity agent;
  agent.uid = reader.Identity<InstanceUid>();
  agent.incarnation = reader.Identity<Incarnation>();
  agent.service = reader.Identity<ServiceUid>();
  agent.data_centre = reader.Number<uint32_t>();
  return agent;
}

/// Returns the number of flows in the lower 16 bits and the pending work in the
/// upper ones. Earlier releases write the number of flows, at most 32,768, into
/// all 32 bits, so their pending work reads as 0: not reported.
uint32_t PackFlowsAndWork(const AgentLoad& load) {
  uint32_t units = load.pending_work_us / kPendingWorkUnitUs;
  // An estimate below one unit must not read as not reported.
  if (load.pending_work_us != 0)
    units = std::min(std::max(units, uint32_t{1}), kMaxHalf);
  return units << 16 | std::min(load.open_flows, kMaxHalf);
}

void Write(ByteWriter& writer, const AgentLoad& load) {
  writer.Number(load.slots);
  writer.Number(load.busy);
  writer.Number(PackFlowsAndWork(load));
  writer.Number(load.service_time_us);
  writer.Number(load.failing_permille);
  writer.Choice(load.state);
}

AgentLoad ReadLoad(ByteReader& reader) {
  AgentLoad load;
  load.slots = reader.Number<uint16_t>();
  load.busy = reader.Number<uint16_t>();
  const auto flows_and_work = reader.Number<uint32_t>();
  load.open_flows = flows_and_work & kMaxHalf;
  load.pending_work_us = (flows_and_work >> 16) * kPendingWorkUnitUs;
  load.service_time_us = reader.Number<uint32_t>();
  load.failing_permille = reader.Number<uint16_t>();
  load.state = reader.Choice(InstanceState::kDown);
  return load;
}

void Write(ByteWriter& writer, const FlowId& flow) {
  writer.Address(flow.client);
  writer.Address(flow.service);
}

FlowId ReadFlow(ByteReader& reader) {
  FlowId flow;
  flow.client = reader.Address();
  flow.service = reader.Address();
  return flow;
}

template <typename List>
void WriteDeclined(ByteWriter& writer, const List& declined) {
  const size_t count = std::min(declined.size(), kMaxDeclines);
  writer.Number(static_cast<uint8_t>(count));
  for (size_t i = 0; i < count; ++i)
    writer.Identity(declined[i]);
}

std::vector<InstanceUid> ReadDeclined(ByteReader& reader) {
  std::vector<InstanceUid> declined;
  const size_t count = reader.Number<uint8_t>();
  if (count > kMaxDeclines) {
    reader.Fail();
    return declined;
  }
  for (size_t i = 0; i < count; ++i)
    declined.push_back(reader.Identity<InstanceUid>());
  return declined;
}

struct MessageWriter {
  std::vector<uint8_t>& out;

  void operator()(const AgentReport& report) const {
    ByteWriter writer = Begin(out, Type::kAgentReport);
    Write(writer, report.agent);
    writer.Number(report.sequence);
    Write(writer, report.load);
    writer.Identity(kNoOffer);
    writer.Number(report.interval_ms);
  }
  void operator()(const EntryReport& report) const {
    ByteWriter writer = Begin(out, Type::kEntryReport);
    writer.Identity(report.uid);
    writer.Identity(report.incarnation);
    writer.Number(report.sequence);
    writer.Identity(kNoOffer);
    writer.Number(static_cast<uint8_t>(report.leaving));
    writer.Number(report.interval_ms);
    const size_t count = std::min(report.nodes.size(), kMaxReportedNodes);
    writer.Number(static_cast<uint8_t>(count));
    for (size_t i = 0; i < count; ++i) {
      writer.Number(report.nodes[i].address);
      writer.Choice(report.nodes[i].role);
    }
  }
  void operator()(const ForwardedPacket& forwarded) const {
    ByteWriter writer = Begin(out, Type::kForwardedPacket);
    writer.Choice(forwarded.mode);
    writer.Identity(forwarded.service);
    writer.Choice(forwarded.kind);
    const uint8_t priority = std::min(forwarded.priority, kMaxPriority);
    writer.Number(static_cast<uint8_t>(
        priority | (forwarded.known_only ? kKnownOnly : 0)));
    writer.Number(forwarded.objective_ms);
    writer.Number(forwarded.attempt_ms);
    writer.Number(forwarded.wait_limit_us);
    WriteDeclined(writer, forwarded.declined);
    writer.Bytes(forwarded.packet);
  }
  void operator()(const ReturnedPacket& returned) const {
    ByteWriter writer = Begin(out, Type::kReturnedPacket);
    Write(writer, returned.agent);
    Write(writer, returned.load);
    writer.Choice(returned.reason);
    writer.Choice(returned.mode);
    WriteDeclined(writer, returned.declined);
    writer.Bytes(returned.packet);
  }
  void operator()(const FlowPlaced& placed) const {
    ByteWriter writer = Begin(out, Type::kFlowPlaced);
    Write(writer, placed.agent);
    Write(writer, placed.load);
    Write(writer, placed.flow);
  }
  void operator()(const RefusalReport& report) const {
    ByteWriter writer = Begin(out, Type::kRefusalReport);
    writer.Number(report.data_centre);
    writer.Number(static_cast<uint8_t>(report.wants_reply));
    const size_t count = std::min(report.requests.size(), kMaxRefusedRequests);
    writer.Number(static_cast<uint8_t>(count));
    for (size_t i = 0; i < count; ++i) {
      const RefusedRequest& request = report.requests[i];
      writer.Number(request.client_address);
      writer.Address(request.service);
      writer.Number(request.age_ms);
      writer.Number(request.refused);
    }
  }
  void operator()(const FlowQuery& query) const {
    ByteWriter writer = Begin(out, Type::kFlowQuery);
    Write(writer, query.flow);
    writer.Number(query.acknowledges ? kAcknowledges : uint8_t{0});
    writer.Number(query.acknowledged);
  }
  void operator()(const QueryAnswer& answer) const {
    ByteWriter writer = Begin(out, Type::kQueryAnswer);
    Write(writer, answer.agent);
    Write(writer, answer.load);
    Write(writer, answer.flow);
    writer.Choice(answer.outcome);
  }
  void operator()(const EvacuationReport& report) const {
    ByteWriter writer = Begin(out, Type::kEvacuationReport);
    writer.Identity(report.set.revision);
    writer.Number(static_cast<uint8_t>(report.wants_reply));
    const size_t count =
        std::min(report.set.data_centres.size(), kMaxReportedEvacuations);
    writer.Number(static_cast<uint8_t>(count));
    for (size_t i = 0; i < count; ++i)
      writer.Number(report.set.data_centres[i]);
  }
  void operator()(const ConfigurationReport& report) const {
    ByteWriter writer = Begin(out, Type::kConfigurationReport);
    writer.Number(report.held.version);
    writer.Identity(report.held.revision);
  }
};

AgentReport ReadAgentReport(ByteReader& reader) {
  AgentReport report;
  report.agent = ReadIdentity(reader);
  report.sequence = reader.Number<uint64_t>();
  report.load = ReadLoad(reader);
  reader.Identity<Revision>();
  report.interval_ms = reader.Number<uint16_t>();
  return report;
}

EntryReport ReadEntryReport(ByteReader& reader) {
  EntryReport report;
  report.uid = reader.Identity<InstanceUid>();
  report.incarnation = reader.Identity<Incarnation>();
  report.sequence = reader.Number<uint64_t>();
  reader.Identity<Revision>();
  report.leaving = reader.Number<uint8_t>() != 0;
  report.interval_ms = reader.Number<uint16_t>();
  const size_t count = reader.Number<uint8_t>();
  if (count > kMaxReportedNodes) {
    reader.Fail();
    return report;
  }
  report.nodes.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    NodeAddress node;
    node.address = reader.Number<uint32_t>();
    node.role = reader.Choice(Role::kAgent);
    report.nodes.push_back(node);
  }
  return report;
}

ForwardedPacket ReadForwardedPacket(ByteReader& reader) {
  ForwardedPacket forwarded;
  forwarded.mode = reader.Choice(ForwardMode::kSearch);
  forwarded.service = reader.Identity<ServiceUid>();
  forwarded.kind = reader.Choice(RequestKind::kDownload);
  const uint8_t priority = reader.Number<uint8_t>();
  forwarded.priority = priority & kMaxPriority;
  forwarded.known_only = (priority & kKnownOnly) != 0;
  forwarded.objective_ms = reader.Number<uint32_t>();
  forwarded.attempt_ms = reader.Number<uint32_t>();
  forwarded.wait_limit_us = reader.Number<uint32_t>();
  forwarded.declined = ReadDeclined(reader);
  forwarded.packet = reader.Rest();
  return forwarded;
}

ReturnedPacket ReadReturnedPacket(ByteReader& reader) {
  ReturnedPacket returned;
  returned.agent = ReadIdentity(reader);
  returned.load = ReadLoad(reader);
  returned.reason = reader.Choice(ReturnReason::kQueueFull);
  returned.mode = reader.Choice(ForwardMode::kSearch);
  returned.declined = ReadDeclined(reader);
  returned.packet = reader.Rest();
  return returned;
}

FlowPlaced ReadFlowPlaced(ByteReader& reader) {
  FlowPlaced placed;
  placed.agent = ReadIdentity(reader);
  placed.load = ReadLoad(reader);
  placed.flow = ReadFlow(reader);
  return placed;
}

FlowQuery ReadFlowQuery(ByteReader& reader) {
  FlowQuery query;
  query.flow = ReadFlow(reader);
  query.acknowledges = (reader.Number<uint8_t>() & kAcknowledges) != 0;
  query.acknowledged = reader.Number<uint32_t>();
  return query;
}

QueryAnswer ReadQueryAnswer(ByteReader& reader) {
  QueryAnswer answer;
  answer.agent = ReadIdentity(reader);
  answer.load = ReadLoad(reader);
  answer.flow = ReadFlow(reader);
  answer.outcome = reader.Choice(QueryAnswer::Outcome::kUnclear);
  return answer;
}

EvacuationReport ReadEvacuationReport(ByteReader& reader) {
  EvacuationReport report;
  report.set.revision = reader.Identity<Revision>();
  report.wants_reply = reader.Number<uint8_t>() != 0;
  const size_t count = reader.Number<uint8_t>();
  if (count > kMaxReportedEvacuations) {
    reader.Fail();
    return report;
  }
  report.set.data_centres.reserve(count);
  for (size_t i = 0; i < count; ++i)
    report.set.data_centres.push_back(reader.Number<uint32_t>());
  return report;
}

ConfigurationReport ReadConfigurationReport(ByteReader& reader) {
  ConfigurationReport report;
  report.held.version = reader.Number<uint64_t>();
  report.held.revision = reader.Identity<Revision>();
  return report;
}

RefusalReport ReadRefusalReport(ByteReader& reader) {
  RefusalReport report;
  report.data_centre = reader.Number<uint32_t>();
  report.wants_reply = reader.Number<uint8_t>() != 0;
  const size_t count = reader.Number<uint8_t>();
  if (count > kMaxRefusedRequests) {
    reader.Fail();
    return report;
  }
  report.requests.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    RefusedRequest request;
    request.client_address = reader.Number<uint32_t>();
    request.service = reader.Address();
    request.age_ms = reader.Number<uint16_t>();
    request.refused = reader.Number<uint8_t>();
    report.requests.push_back(request);
  }
  return report;
}

Error Malformed(absl::string_view what) {
  return MakeError(ErrorKind::kMalformedMessage, what,
                   "check that all nodes run compatible releases");
}

}  // namespace

bool IsFinal(ReturnReason reason) {
  return reason == ReturnReason::kNoSlotInTime ||
         reason == ReturnReason::kQueueFull;
}

absl::string_view ReturnReasonName(ReturnReason reason) {
  switch (reason) {
    case ReturnReason::kBusy:
      return "busy";
    case ReturnReason::kNotAccepting:
      return "not_accepting";
    case ReturnReason::kWrongService:
      return "wrong_service";
    case ReturnReason::kTargetRefused:
      return "target_refused";
    case ReturnReason::kTargetUnresponsive:
      return "target_silent";
    case ReturnReason::kNotHeld:
      return "not_held";
    case ReturnReason::kNoSlotInTime:
      return "no_slot_in_time";
    case ReturnReason::kQueueFull:
      return "queue_full";
  }
  return "unknown";
}

void EncodeNodeMessage(const NodeMessage& message, std::vector<uint8_t>& out) {
  std::visit(MessageWriter{out}, message);
}

Result<NodeMessage> DecodeNodeMessage(absl::Span<const uint8_t> datagram) {
  ByteReader reader(datagram);
  if (reader.Number<uint8_t>() != kVersion)
    return Malformed("node message has an unsupported version");
  NodeMessage message;
  switch (static_cast<Type>(reader.Number<uint8_t>())) {
    case Type::kAgentReport:
      message = ReadAgentReport(reader);
      break;
    case Type::kEntryReport:
      message = ReadEntryReport(reader);
      break;
    case Type::kForwardedPacket:
      message = ReadForwardedPacket(reader);
      break;
    case Type::kReturnedPacket:
      message = ReadReturnedPacket(reader);
      break;
    case Type::kFlowPlaced:
      message = ReadFlowPlaced(reader);
      break;
    case Type::kRefusalReport:
      message = ReadRefusalReport(reader);
      break;
    case Type::kFlowQuery:
      message = ReadFlowQuery(reader);
      break;
    case Type::kQueryAnswer:
      message = ReadQueryAnswer(reader);
      break;
    case Type::kEvacuationReport:
      message = ReadEvacuationReport(reader);
      break;
    case Type::kConfigurationReport:
      message = ReadConfigurationReport(reader);
      break;
    default:
      return Malformed("node message has an unknown type");
  }
  if (!reader.complete())
    return Malformed("node message is truncated or has surplus bytes");
  return message;
}

}  // namespace skylarkshunt
