#include "skylarkshunt/control/codec.h"

#include "skylarkshunt/configuration/config_store.h"
#include "skylarkshunt/serial/cbor_array.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kVersion = 1;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxListSize = 8192;
constexpr uint64_t kMaxEndpoint = (uint64_t{1} << 48) - 1;
constexpr size_t kHashBytes = 8;
constexpr char kRemedy[] =
    "check that both sides run a release of the same protocol version";

enum class Type : uint64_t {
  kHeartbeat = 1,
  kHeartbeatAck = 2,
  kGossipPush = 3,
  kGossipReply = 4,
  kProbe = 5,
  kProbeReply = 6,
};

uint64_t PackEndpoint(Endpoint endpoint) {
  return uint64_t{endpoint.address} << 16 | endpoint.port;
}

Endpoint UnpackEndpoint(uint64_t packed) {
  return {static_cast<uint32_t>(packed >> 16), static_cast<uint16_t>(packed)};
}

CborArrayWriter WriteRecord(const InstanceRecord& r) {
  CborArrayWriter writer;
  writer.U64(ToNumber(r.uid))
      .U64(static_cast<uint64_t>(r.role))
      .U64(ToNumber(r.service))
      .U64(ToNumber(r.incarnation))
      .U64(r.sequence)
      .U64(static_cast<uint64_t>(r.state))
      .Text(r.region)
      .Text(r.data_centre)
      .U64(PackEndpoint(r.data))
      .U64(PackEndpoint(r.control))
      .U64(PackEndpoint(r.admin))
      .U64(PackEndpoint(r.target))
      .U64(r.slots)
      .U64(ToNumber(r.applied));
  return writer;
}

CborArrayWriter WriteRecords(const std::vector<InstanceRecord>& records) {
  CborArrayWriter writer;
  for (const InstanceRecord& record : records)
    writer.Array(WriteRecord(record));
  return writer;
}

CborArrayWriter WriteConfig(const std::vector<ConfigRecord>& records) {
  CborArrayWriter writer;
  for (const ConfigRecord& record : records) {
    CborArrayWriter item;
    item.Bytes(record.key)
        .U64(ToNumber(record.revision))
        .Bool(record.deleted)
        .Bytes(record.body);
    writer.Array(std::move(item));
  }
  return writer;
}

std::string PackHashes(const std::vector<uint64_t>& hashes) {
  std::string bytes;
  bytes.reserve(hashes.size() * kHashBytes);
  for (uint64_t hash : hashes) {
    for (size_t i = 0; i < kHashBytes; ++i)
      bytes.push_back(static_cast<char>(hash >> (8 * i)));
  }
  return bytes;
}

struct Writer {
  CborArrayWriter operator()(const Heartbeat& m) const {
    CborArrayWriter writer = Begin(Type::kHeartbeat);
    writer.Array(WriteRecord(m.record))
        .U64(ToNumber(m.service_revision))
        .Bytes(m.service_name)
        .Array(WriteConfig(m.config));
    return writer;
  }
  CborArrayWriter operator()(const HeartbeatAck& m) const {
    CborArrayWriter writer = Begin(Type::kHeartbeatAck);
    writer.U64(ToNumber(m.sender))
        .U64(m.answered_sequence)
        .U64(ToNumber(m.known_incarnation))
        .U64(m.known_sequence)
        .U64(static_cast<uint64_t>(m.known_state))
        .Array(WriteRecords(m.entries))
        .Array(WriteConfig(m.config));
    return writer;
  }
  CborArrayWriter operator()(const GossipPush& m) const {
    CborArrayWriter writer = Begin(Type::kGossipPush);
    writer.Array(WriteRecord(m.sender))
        .Array(WriteRecords(m.instances))
        .Array(WriteConfig(m.config))
        .Bytes(PackHashes(m.digest));
    return writer;
  }
  CborArrayWriter operator()(const GossipReply& m) const {
    CborArrayWriter buckets;
    for (uint32_t bucket : m.differing_buckets)
      buckets.U64(bucket);
    CborArrayWriter writer = Begin(Type::kGossipReply);
    writer.Array(WriteRecord(m.sender))
        .Array(WriteRecords(m.instances))
        .Array(WriteConfig(m.config))
        .Array(std::move(buckets));
    return writer;
  }
  CborArrayWriter operator()(const Probe& m) const {
    CborArrayWriter writer = Begin(Type::kProbe);
    writer.U64(ToNumber(m.sender)).U64(ToNumber(m.subject));
    return writer;
  }
  CborArrayWriter operator()(const ProbeReply& m) const {
    CborArrayWriter writer = Begin(Type::kProbeReply);
    writer.U64(ToNumber(m.sender))
        .U64(ToNumber(m.relay))
        .U64(ToNumber(m.subject))
        .Bool(m.seen);
    return writer;
  }

  static CborArrayWriter Begin(Type type) {
    CborArrayWriter writer;
    writer.U64(kVersion).U64(static_cast<uint64_t>(type));
    return writer;
  }
};

/// Fails `outer` when `nested` failed or has unread fields.
void Check(const CborArrayReader& nested, CborArrayReader& outer) {
  if (!nested.ok() || !nested.AtEnd())
    outer.Fail("a nested array has missing, wrong or unknown fields");
}

InstanceState ReadState(CborArrayReader& reader) {
  return static_cast<InstanceState>(
      reader.U64(static_cast<uint64_t>(InstanceState::kDown)));
}

InstanceRecord ReadRecordFields(const nlohmann::json& value,
                                CborArrayReader& outer) {
  CborArrayReader reader(value);
  InstanceRecord r;
  r.uid = InstanceUid{reader.U64()};
  r.role = static_cast<Role>(reader.U64(static_cast<uint64_t>(Role::kAgent)));
  r.service = ServiceUid{reader.U64()};
  r.incarnation = Incarnation{reader.U64()};
  r.sequence = reader.U64();
  r.state = ReadState(reader);
  r.region = reader.Text(kMaxNameBytes);
  r.data_centre = reader.Text(kMaxNameBytes);
  r.data = UnpackEndpoint(reader.U64(kMaxEndpoint));
  r.control = UnpackEndpoint(reader.U64(kMaxEndpoint));
  r.admin = UnpackEndpoint(reader.U64(kMaxEndpoint));
  r.target = UnpackEndpoint(reader.U64(kMaxEndpoint));
  r.slots = static_cast<uint16_t>(reader.U64(0xffff));
  r.applied = Revision{reader.U64()};
  Check(reader, outer);
  return r;
}

constexpr size_t kRecordFields = 14;

InstanceRecord ReadRecord(CborArrayReader& reader) {
  return ReadRecordFields(reader.Array(kRecordFields), reader);
}

std::vector<InstanceRecord> ReadRecords(CborArrayReader& reader) {
  std::vector<InstanceRecord> records;
  for (const nlohmann::json& item : reader.Array(kMaxListSize))
    records.push_back(ReadRecordFields(item, reader));
  return records;
}

std::vector<ConfigRecord> ReadConfig(CborArrayReader& reader) {
  std::vector<ConfigRecord> records;
  for (const nlohmann::json& item : reader.Array(kMaxListSize)) {
    CborArrayReader fields(item);
    ConfigRecord record;
    record.key = fields.Bytes(kMaxConfigKeyBytes);
    record.revision = Revision{fields.U64()};
    record.deleted = fields.Bool();
    record.body = fields.Bytes(kMaxConfigBodyBytes);
    Check(fields, reader);
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<uint64_t> ReadHashes(CborArrayReader& reader) {
  const std::string bytes = reader.Bytes(kDigestBuckets * kHashBytes);
  if (bytes.size() != kDigestBuckets * kHashBytes) {
    reader.Fail("the digest does not have 64 hashes");
    return {};
  }
  std::vector<uint64_t> hashes(kDigestBuckets);
  for (size_t i = 0; i < bytes.size(); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    hashes[i / kHashBytes] |= uint64_t{byte} << (8 * (i % kHashBytes));
  }
  return hashes;
}

Heartbeat ReadHeartbeat(CborArrayReader& reader) {
  Heartbeat m;
  m.record = ReadRecord(reader);
  m.service_revision = Revision{reader.U64()};
  m.service_name = reader.Bytes(kMaxConfigKeyBytes);
  m.config = ReadConfig(reader);
  return m;
}

HeartbeatAck ReadHeartbeatAck(CborArrayReader& reader) {
  HeartbeatAck m;
  m.sender = Incarnation{reader.U64()};
  m.answered_sequence = reader.U64();
  m.known_incarnation = Incarnation{reader.U64()};
  m.known_sequence = reader.U64();
  m.known_state = ReadState(reader);
  m.entries = ReadRecords(reader);
  m.config = ReadConfig(reader);
  return m;
}

GossipPush ReadGossipPush(CborArrayReader& reader) {
  GossipPush m;
  m.sender = ReadRecord(reader);
  m.instances = ReadRecords(reader);
  m.config = ReadConfig(reader);
  m.digest = ReadHashes(reader);
  return m;
}

GossipReply ReadGossipReply(CborArrayReader& reader) {
  GossipReply m;
  m.sender = ReadRecord(reader);
  m.instances = ReadRecords(reader);
  m.config = ReadConfig(reader);
  CborArrayReader buckets(reader.Array(kDigestBuckets));
  while (buckets.ok() && !buckets.AtEnd()) {
    m.differing_buckets.push_back(
        static_cast<uint32_t>(buckets.U64(kDigestBuckets - 1)));
  }
  Check(buckets, reader);
  return m;
}

Probe ReadProbe(CborArrayReader& reader) {
  Probe m;
  m.sender = Incarnation{reader.U64()};
  m.subject = InstanceUid{reader.U64()};
  return m;
}

ProbeReply ReadProbeReply(CborArrayReader& reader) {
  ProbeReply m;
  m.sender = Incarnation{reader.U64()};
  m.relay = InstanceUid{reader.U64()};
  m.subject = InstanceUid{reader.U64()};
  m.seen = reader.Bool();
  return m;
}

ControlMessage ReadBody(Type type, CborArrayReader& reader) {
  switch (type) {
    case Type::kHeartbeat:
      return ReadHeartbeat(reader);
    case Type::kHeartbeatAck:
      return ReadHeartbeatAck(reader);
    case Type::kGossipPush:
      return ReadGossipPush(reader);
    case Type::kGossipReply:
      return ReadGossipReply(reader);
    case Type::kProbe:
      return ReadProbe(reader);
    case Type::kProbeReply:
      return ReadProbeReply(reader);
  }
  reader.Fail("unknown message type");
  return Probe{};
}

}  // namespace

Result<std::vector<uint8_t>> EncodeControlMessage(
    const ControlMessage& message) {
  return std::visit(Writer(), message).Encode(kMaxControlMessageBytes);
}

Result<ControlMessage> DecodeControlMessage(absl::Span<const uint8_t> bytes) {
  BOOST_OUTCOME_TRY(value, ParseCborArray(bytes, kMaxControlMessageBytes));
  CborArrayReader reader(value);
  if (reader.U64() != kVersion) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "unknown version of the control protocol", kRemedy);
  }
  ControlMessage message = ReadBody(Type{reader.U64()}, reader);
  BOOST_OUTCOME_TRY(reader.Finish());
  return message;
}

}  // namespace skylarkshunt
