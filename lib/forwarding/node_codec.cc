#include "skylarkshunt/forwarding/node_codec.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <type_traits>

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
};

class Writer {
 public:
  Writer(std::vector<uint8_t>& out, Type type) : out_(out) {
    out_.clear();
    out_.push_back(kVersion);
    out_.push_back(static_cast<uint8_t>(type));
  }

  template <typename T>
  void Number(T value) {
    const size_t at = out_.size();
    out_.resize(at + sizeof(T));
    boost::endian::endian_store<T, sizeof(T), boost::endian::order::little>(
        &out_[at], value);
  }
  template <typename Id>
  void Identity(Id id) {
    Number<uint64_t>(ToNumber(id));
  }
  template <typename Enum>
  void Choice(Enum value) {
    Number(static_cast<uint8_t>(value));
  }
  void Address(Endpoint endpoint) {
    Number(endpoint.address);
    Number(endpoint.port);
  }
  void Bytes(absl::Span<const uint8_t> bytes) {
    out_.insert(out_.end(), bytes.begin(), bytes.end());
  }

 private:
  std::vector<uint8_t>& out_;
};

/// Reads fields in order; after the first missing byte every field is 0 and
/// ok() is false.
class Reader {
 public:
  explicit Reader(absl::Span<const uint8_t> bytes) : bytes_(bytes) {}

  template <typename T>
  T Number() {
    if (bytes_.size() < sizeof(T)) {
      ok_ = false;
      bytes_ = {};
      return T{};
    }
    const T value =
        boost::endian::endian_load<T, sizeof(T), boost::endian::order::little>(
            bytes_.data());
    bytes_.remove_prefix(sizeof(T));
    return value;
  }
  template <typename Id>
  Id Identity() {
    return Id{Number<uint64_t>()};
  }
  template <typename Enum>
  Enum Choice(Enum last) {
    const auto value = Number<uint8_t>();
    if (value > static_cast<uint8_t>(last)) {
      ok_ = false;
      return last;
    }
    return static_cast<Enum>(value);
  }
  Endpoint Address() {
    Endpoint endpoint;
    endpoint.address = Number<uint32_t>();
    endpoint.port = Number<uint16_t>();
    return endpoint;
  }
  absl::Span<const uint8_t> Rest() {
    return std::exchange(bytes_, absl::Span<const uint8_t>());
  }
  void Fail() { ok_ = false; }
  bool complete() const { return ok_ && bytes_.empty(); }

 private:
  absl::Span<const uint8_t> bytes_;
  bool ok_ = true;
};

void Write(Writer& writer, const AgentIdentity& agent) {
  writer.Identity(agent.uid);
  writer.Identity(agent.incarnation);
  writer.Identity(agent.service);
  writer.Number(agent.data_centre);
}

AgentIdentity ReadIdentity(Reader& reader) {
  AgentIdentity agent;
  agent.uid = reader.Identity<InstanceUid>();
  agent.incarnation = reader.Identity<Incarnation>();
  agent.service = reader.Identity<ServiceUid>();
  agent.data_centre = reader.Number<uint32_t>();
  return agent;
}

void Write(Writer& writer, const AgentLoad& load) {
  writer.Number(load.slots);
  writer.Number(load.busy);
  writer.Number(load.open_flows);
  writer.Number(load.service_time_us);
  writer.Number(load.failing_permille);
  writer.Choice(load.state);
}

AgentLoad ReadLoad(Reader& reader) {
  AgentLoad load;
  load.slots = reader.Number<uint16_t>();
  load.busy = reader.Number<uint16_t>();
  load.open_flows = reader.Number<uint32_t>();
  load.service_time_us = reader.Number<uint32_t>();
  load.failing_permille = reader.Number<uint16_t>();
  load.state = reader.Choice(InstanceState::kDown);
  return load;
}

template <typename List>
void WriteDeclined(Writer& writer, const List& declined) {
  const size_t count = std::min(declined.size(), kMaxDeclines);
  writer.Number(static_cast<uint8_t>(count));
  for (size_t i = 0; i < count; ++i)
    writer.Identity(declined[i]);
}

std::vector<InstanceUid> ReadDeclined(Reader& reader) {
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
    Writer writer(out, Type::kAgentReport);
    Write(writer, report.agent);
    writer.Number(report.sequence);
    Write(writer, report.load);
    writer.Identity(report.configuration);
    writer.Number(report.interval_ms);
  }
  void operator()(const EntryReport& report) const {
    Writer writer(out, Type::kEntryReport);
    writer.Identity(report.uid);
    writer.Identity(report.incarnation);
    writer.Number(report.sequence);
    writer.Identity(report.configuration);
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
    Writer writer(out, Type::kForwardedPacket);
    writer.Choice(forwarded.mode);
    writer.Identity(forwarded.service);
    writer.Choice(forwarded.kind);
    writer.Number(forwarded.priority);
    writer.Number(forwarded.objective_ms);
    writer.Number(forwarded.attempt_ms);
    writer.Number(forwarded.wait_limit_us);
    WriteDeclined(writer, forwarded.declined);
    writer.Bytes(forwarded.packet);
  }
  void operator()(const ReturnedPacket& returned) const {
    Writer writer(out, Type::kReturnedPacket);
    Write(writer, returned.agent);
    Write(writer, returned.load);
    writer.Choice(returned.reason);
    writer.Choice(returned.mode);
    WriteDeclined(writer, returned.declined);
    writer.Bytes(returned.packet);
  }
  void operator()(const FlowPlaced& placed) const {
    Writer writer(out, Type::kFlowPlaced);
    Write(writer, placed.agent);
    Write(writer, placed.load);
    writer.Address(placed.flow.client);
    writer.Address(placed.flow.service);
  }
};

AgentReport ReadAgentReport(Reader& reader) {
  AgentReport report;
  report.agent = ReadIdentity(reader);
  report.sequence = reader.Number<uint64_t>();
  report.load = ReadLoad(reader);
  report.configuration = reader.Identity<Revision>();
  report.interval_ms = reader.Number<uint16_t>();
  return report;
}

EntryReport ReadEntryReport(Reader& reader) {
  EntryReport report;
  report.uid = reader.Identity<InstanceUid>();
  report.incarnation = reader.Identity<Incarnation>();
  report.sequence = reader.Number<uint64_t>();
  report.configuration = reader.Identity<Revision>();
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

ForwardedPacket ReadForwardedPacket(Reader& reader) {
  ForwardedPacket forwarded;
  forwarded.mode = reader.Choice(ForwardMode::kSearch);
  forwarded.service = reader.Identity<ServiceUid>();
  forwarded.kind = reader.Choice(RequestKind::kDownload);
  forwarded.priority = reader.Number<uint8_t>();
  forwarded.objective_ms = reader.Number<uint32_t>();
  forwarded.attempt_ms = reader.Number<uint32_t>();
  forwarded.wait_limit_us = reader.Number<uint32_t>();
  forwarded.declined = ReadDeclined(reader);
  forwarded.packet = reader.Rest();
  return forwarded;
}

ReturnedPacket ReadReturnedPacket(Reader& reader) {
  ReturnedPacket returned;
  returned.agent = ReadIdentity(reader);
  returned.load = ReadLoad(reader);
  returned.reason = reader.Choice(ReturnReason::kQueueFull);
  returned.mode = reader.Choice(ForwardMode::kSearch);
  returned.declined = ReadDeclined(reader);
  returned.packet = reader.Rest();
  return returned;
}

FlowPlaced ReadFlowPlaced(Reader& reader) {
  FlowPlaced placed;
  placed.agent = ReadIdentity(reader);
  placed.load = ReadLoad(reader);
  placed.flow.client = reader.Address();
  placed.flow.service = reader.Address();
  return placed;
}

Error Malformed(absl::string_view what) {
  return MakeError(ErrorKind::kMalformedMessage, what,
                   "check that all nodes run releases that work together");
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
    case ReturnReason::kTargetSilent:
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
  Reader reader(datagram);
  if (reader.Number<uint8_t>() != kVersion)
    return Malformed("node message of another version");
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
    default:
      return Malformed("node message of an unknown type");
  }
  if (!reader.complete())
    return Malformed("node message with missing or surplus bytes");
  return message;
}

}  // namespace skylarkshunt
