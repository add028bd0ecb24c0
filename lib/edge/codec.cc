#include "skylarkshunt/edge/codec.h"

#include <utility>

#include "skylarkshunt/edge/fields.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kVersion = 1;
/// Sits where caller messages have their type, so that an answer never decodes
/// as a request.
constexpr uint64_t kAnswerType = 16;

void CheckVersion(CborArrayReader& reader) {
  if (reader.U64() != kVersion)
    reader.Fail("unknown protocol version");
}

}  // namespace

Result<std::vector<uint8_t>> EncodeCallerMessage(const CallerMessage& message) {
  CborArrayWriter writer;
  writer.U64(kVersion);
  WriteCallerMessage(message, writer);
  return writer.Encode(kMaxCallerDatagramBytes);
}

Result<CallerMessage> DecodeCallerMessage(absl::Span<const uint8_t> datagram) {
  BOOST_OUTCOME_TRY(array, ParseCborArray(datagram, kMaxCallerDatagramBytes));
  CborArrayReader reader(array);
  CheckVersion(reader);
  CallerMessage message = ReadCallerMessage(reader);
  BOOST_OUTCOME_TRY(reader.Finish());
  return message;
}

Result<std::vector<uint8_t>> EncodeAnswer(const Answer& answer) {
  CborArrayWriter writer;
  writer.U64(kVersion).U64(kAnswerType);
  WriteAnswer(answer, writer);
  return writer.Encode(kMaxCallerDatagramBytes);
}

Result<Answer> DecodeAnswer(absl::Span<const uint8_t> datagram) {
  BOOST_OUTCOME_TRY(array, ParseCborArray(datagram, kMaxCallerDatagramBytes));
  CborArrayReader reader(array);
  CheckVersion(reader);
  if (reader.U64() != kAnswerType)
    reader.Fail("not an answer");
  Answer answer = ReadAnswer(reader);
  BOOST_OUTCOME_TRY(reader.Finish());
  return answer;
}

}  // namespace skylarkshunt
