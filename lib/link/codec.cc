#include "skylarkshunt/link/codec.h"

#include <utility>

#include "skylarkshunt/edge/fields.h"
#include "skylarkshunt/serial/cbor_array.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kVersion = 1;

enum class MessageType : uint8_t { kForward = 1, kReply = 2 };

constexpr uint64_t kMaxUint32 = 0xffffffff;
constexpr uint64_t kMaxUint16 = 0xffff;

void WriteEndpoint(const Endpoint& endpoint, CborArrayWriter& writer) {
  writer.U64(endpoint.address).U64(endpoint.port);
}

Endpoint ReadEndpoint(CborArrayReader& reader) {
  Endpoint endpoint;
  endpoint.address = static_cast<uint32_t>(reader.U64(kMaxUint32));
  endpoint.port = static_cast<uint16_t>(reader.U64(kMaxUint16));
  return endpoint;
}

void WriteCandidates(const CandidateList& candidates, CborArrayWriter& writer) {
  CborArrayWriter nested;
  for (const Candidate& candidate : candidates) {
    nested.U64(ToNumber(candidate.uid)).U64(ToNumber(candidate.incarnation));
    WriteEndpoint(candidate.data, nested);
  }
  writer.Array(std::move(nested));
}

CandidateList ReadCandidates(CborArrayReader& reader) {
  constexpr size_t kFieldsEach = 4;
  CborArrayReader nested(reader.Array(kMaxCandidates * kFieldsEach));
  CandidateList candidates;
  while (nested.ok() && !nested.AtEnd()) {
    Candidate& candidate = candidates.emplace_back();
    candidate.uid = InstanceUid{nested.U64()};
    candidate.incarnation = Incarnation{nested.U64()};
    candidate.data = ReadEndpoint(nested);
  }
  if (!nested.ok())
    reader.Fail("malformed candidates");
  return candidates;
}

void WriteTransfer(const absl::optional<Transfer>& transfer,
                   CborArrayWriter& writer) {
  if (!transfer.has_value()) {
    writer.Null();
    return;
  }
  CborArrayWriter nested;
  nested.U64(ToNumber(transfer->from))
      .U64(ToNumber(transfer->from_incarnation))
      .U64(ToNumber(transfer->to))
      .U64(ToNumber(transfer->to_incarnation));
  writer.Array(std::move(nested));
}

absl::optional<Transfer> ReadTransfer(CborArrayReader& reader) {
  constexpr size_t kFields = 4;
  if (reader.SkipNull())
    return absl::nullopt;
  CborArrayReader nested(reader.Array(kFields));
  Transfer transfer;
  transfer.from = InstanceUid{nested.U64()};
  transfer.from_incarnation = Incarnation{nested.U64()};
  transfer.to = InstanceUid{nested.U64()};
  transfer.to_incarnation = Incarnation{nested.U64()};
  if (!nested.Finish().has_value())
    reader.Fail("malformed transfer");
  return transfer;
}

class MessageWriter {
 public:
  explicit MessageWriter(CborArrayWriter& writer) : writer_(writer) {}

  void operator()(const Forward& forward) {
    writer_.U64(static_cast<uint64_t>(MessageType::kForward))
        .U64(ToNumber(forward.sender))
        .U64(ToNumber(forward.service))
        .U64(ToNumber(forward.revision));
    WriteEndpoint(forward.caller, writer_);
    WriteEndpoint(forward.entry, writer_);
    WriteCandidates(forward.candidates, writer_);
    writer_.U64(forward.position)
        .U64(forward.hops)
        .U64(forward.lowest_load)
        .U64(forward.lowest_index)
        .Bool(forward.final_hop);
    WriteTransfer(forward.transfer, writer_);
    WriteCallerMessage(forward.message, writer_);
  }

  void operator()(const Reply& reply) {
    writer_.U64(static_cast<uint64_t>(MessageType::kReply))
        .U64(ToNumber(reply.sender_uid))
        .U64(ToNumber(reply.sender))
        .U64(ToNumber(reply.service))
        .U64(ToNumber(reply.revision));
    WriteEndpoint(reply.caller, writer_);
    writer_.U64(reply.load);
    WriteAnswer(reply.answer, writer_);
  }

 private:
  CborArrayWriter& writer_;
};

Forward ReadForward(CborArrayReader& reader) {
  Forward forward;
  forward.sender = Incarnation{reader.U64()};
  forward.service = ServiceUid{reader.U64()};
  forward.revision = Revision{reader.U64()};
  forward.caller = ReadEndpoint(reader);
  forward.entry = ReadEndpoint(reader);
  forward.candidates = ReadCandidates(reader);
  forward.position = static_cast<uint8_t>(reader.U64(kMaxCandidates - 1));
  forward.hops = static_cast<uint8_t>(reader.U64(kMaxHops));
  forward.lowest_load = static_cast<uint16_t>(reader.U64(kMaxUint16));
  forward.lowest_index = static_cast<uint8_t>(reader.U64(kMaxCandidates - 1));
  forward.final_hop = reader.Bool();
  forward.transfer = ReadTransfer(reader);
  forward.message = ReadCallerMessage(reader);
  if (forward.position >= forward.candidates.size() ||
      forward.lowest_index >= forward.candidates.size()) {
    reader.Fail("index beyond the candidates");
  }
  return forward;
}

Reply ReadReply(CborArrayReader& reader) {
  Reply reply;
  reply.sender_uid = InstanceUid{reader.U64()};
  reply.sender = Incarnation{reader.U64()};
  reply.service = ServiceUid{reader.U64()};
  reply.revision = Revision{reader.U64()};
  reply.caller = ReadEndpoint(reader);
  reply.load = static_cast<uint16_t>(reader.U64(kMaxUint16));
  reply.answer = ReadAnswer(reader);
  return reply;
}

LinkMessage ReadMessage(CborArrayReader& reader) {
  if (reader.U64() != kVersion)
    reader.Fail("unknown protocol version");
  switch (static_cast<MessageType>(reader.U64())) {
    case MessageType::kForward:
      return ReadForward(reader);
    case MessageType::kReply:
      return ReadReply(reader);
  }
  reader.Fail("unknown message type");
  return Reply();
}

}  // namespace

Result<std::vector<uint8_t>> EncodeLinkMessage(const LinkMessage& message) {
  CborArrayWriter writer;
  writer.U64(kVersion);
  std::visit(MessageWriter(writer), message);
  return writer.Encode(kMaxLinkDatagramBytes);
}

Result<LinkMessage> DecodeLinkMessage(absl::Span<const uint8_t> datagram) {
  BOOST_OUTCOME_TRY(array, ParseCborArray(datagram, kMaxLinkDatagramBytes));
  CborArrayReader reader(array);
  LinkMessage message = ReadMessage(reader);
  BOOST_OUTCOME_TRY(reader.Finish());
  return message;
}

}  // namespace skylarkshunt
