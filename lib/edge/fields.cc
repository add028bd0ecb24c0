#include "skylarkshunt/edge/fields.h"

#include <utility>

namespace skylarkshunt {
namespace {

enum class MessageType : uint8_t {
  kRequest = 1,
  kFetch = 2,
  kDone = 3,
  kClose = 4,
};

constexpr uint32_t kMaxAttempt = 1'000'000;
constexpr uint32_t kMaxChunks = 1 << 20;
constexpr uint64_t kMaxAnswerBytes = uint64_t{kMaxChunks} * kChunkBytes;
constexpr uint16_t kMaxStatus = 999;

void WriteRequestId(const RequestId& id, CborArrayWriter& writer) {
  writer.U64(id.high).U64(id.low);
}

RequestId ReadRequestId(CborArrayReader& reader) {
  RequestId id;
  id.high = reader.U64();
  id.low = reader.U64();
  return id;
}

void WriteBinding(const absl::optional<Binding>& binding,
                  CborArrayWriter& writer) {
  if (!binding.has_value()) {
    writer.Null();
    return;
  }
  CborArrayWriter nested;
  nested.U64(ToNumber(binding->target_uid))
      .U64(ToNumber(binding->incarnation))
      .I64(binding->issued_ms);
  writer.Array(std::move(nested));
}

absl::optional<Binding> ReadBinding(CborArrayReader& reader) {
  constexpr size_t kFields = 3;
  if (reader.SkipNull())
    return absl::nullopt;
  CborArrayReader nested(reader.Array(kFields));
  Binding binding;
  binding.target_uid = InstanceUid{nested.U64()};
  binding.incarnation = Incarnation{nested.U64()};
  binding.issued_ms = nested.I64();
  if (!nested.Finish().has_value())
    reader.Fail("malformed binding");
  return binding;
}

std::string ReadName(CborArrayReader& reader) {
  std::string name = reader.Text(kMaxNameBytes);
  if (name.empty())
    reader.Fail("empty name");
  return name;
}

class MessageWriter {
 public:
  explicit MessageWriter(CborArrayWriter& writer) : writer_(writer) {}

  void operator()(const Request& request) {
    WriteType(MessageType::kRequest);
    writer_.Text(request.service).Text(request.kind).U64(request.flow_id);
    WriteRequestId(request.request_id, writer_);
    writer_.Bool(request.opening).U64(request.attempt).U64(request.deadline_ms);
    WriteBinding(request.binding, writer_);
    writer_.Bytes(request.body);
  }

  void operator()(const Fetch& fetch) {
    WriteType(MessageType::kFetch);
    writer_.Text(fetch.service).U64(fetch.flow_id);
    WriteRequestId(fetch.request_id, writer_);
    WriteBinding(fetch.binding, writer_);
    writer_.U64(fetch.first_chunk).U64(fetch.chunk_count);
  }

  void operator()(const Done& done) {
    WriteType(MessageType::kDone);
    writer_.Text(done.service).U64(done.flow_id);
    WriteRequestId(done.request_id, writer_);
    WriteBinding(done.binding, writer_);
  }

  void operator()(const Close& close) {
    WriteType(MessageType::kClose);
    writer_.Text(close.service).U64(close.flow_id);
    WriteBinding(close.binding, writer_);
  }

 private:
  void WriteType(MessageType type) { writer_.U64(static_cast<uint64_t>(type)); }

  CborArrayWriter& writer_;
};

Request ReadRequest(CborArrayReader& reader) {
  Request request;
  request.service = ReadName(reader);
  request.kind = ReadName(reader);
  request.flow_id = reader.U64();
  request.request_id = ReadRequestId(reader);
  request.opening = reader.Bool();
  request.attempt = static_cast<uint32_t>(reader.U64(kMaxAttempt));
  if (request.attempt == 0)
    reader.Fail("attempt 0");
  request.deadline_ms = static_cast<uint32_t>(reader.U64(kMaxDeadlineMs));
  request.binding = ReadBinding(reader);
  request.body = reader.Bytes(kMaxRequestBodyBytes);
  return request;
}

Fetch ReadFetch(CborArrayReader& reader) {
  Fetch fetch;
  fetch.service = ReadName(reader);
  fetch.flow_id = reader.U64();
  fetch.request_id = ReadRequestId(reader);
  fetch.binding = ReadBinding(reader);
  fetch.first_chunk = static_cast<uint32_t>(reader.U64(kMaxChunks));
  fetch.chunk_count = static_cast<uint32_t>(reader.U64(kMaxChunksPerFetch));
  return fetch;
}

Done ReadDone(CborArrayReader& reader) {
  Done done;
  done.service = ReadName(reader);
  done.flow_id = reader.U64();
  done.request_id = ReadRequestId(reader);
  done.binding = ReadBinding(reader);
  return done;
}

Close ReadClose(CborArrayReader& reader) {
  Close close;
  close.service = ReadName(reader);
  close.flow_id = reader.U64();
  close.binding = ReadBinding(reader);
  return close;
}

}  // namespace

void WriteCallerMessage(const CallerMessage& message, CborArrayWriter& writer) {
  std::visit(MessageWriter(writer), message);
}

CallerMessage ReadCallerMessage(CborArrayReader& reader) {
  const uint64_t type = reader.U64();
  switch (static_cast<MessageType>(type)) {
    case MessageType::kRequest:
      return ReadRequest(reader);
    case MessageType::kFetch:
      return ReadFetch(reader);
    case MessageType::kDone:
      return ReadDone(reader);
    case MessageType::kClose:
      return ReadClose(reader);
  }
  reader.Fail("unknown message type");
  return Done();
}

void WriteAnswer(const Answer& answer, CborArrayWriter& writer) {
  WriteRequestId(answer.request_id, writer);
  writer.U64(static_cast<uint64_t>(answer.outcome))
      .U64(static_cast<uint64_t>(answer.reason))
      .U64(answer.status);
  WriteBinding(answer.binding, writer);
  writer.U64(answer.retry_after_ms)
      .U64(answer.chunk_index)
      .U64(answer.chunk_count)
      .U64(answer.total_bytes)
      .Bytes(answer.body);
}

Answer ReadAnswer(CborArrayReader& reader) {
  Answer answer;
  answer.request_id = ReadRequestId(reader);
  answer.outcome = static_cast<Outcome>(
      reader.U64(static_cast<uint64_t>(Outcome::kPending)));
  answer.reason = static_cast<Reason>(
      reader.U64(static_cast<uint64_t>(Reason::kFlowLimit)));
  answer.status = static_cast<uint16_t>(reader.U64(kMaxStatus));
  answer.binding = ReadBinding(reader);
  answer.retry_after_ms = static_cast<uint32_t>(reader.U64(kMaxDeadlineMs));
  answer.chunk_index = static_cast<uint32_t>(reader.U64(kMaxChunks));
  answer.chunk_count = static_cast<uint32_t>(reader.U64(kMaxChunks));
  answer.total_bytes = reader.U64(kMaxAnswerBytes);
  answer.body = reader.Bytes(kChunkBytes);
  if (answer.chunk_index >= answer.chunk_count)
    reader.Fail("chunk index beyond the chunk count");
  return answer;
}

}  // namespace skylarkshunt
