#include "skylarkshunt/serial/cbor_array.h"

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr char kRemedy[] =
    "check that the sender speaks this version of the protocol";

const nlohmann::json& EmptyArray() {
  static const auto& empty = *new nlohmann::json(nlohmann::json::array());
  return empty;
}

}  // namespace

Result<std::vector<uint8_t>> CborArrayWriter::Encode(size_t limit) const {
  std::vector<uint8_t> bytes = nlohmann::json::to_cbor(array_);
  if (bytes.size() > limit) {
    return MakeError(ErrorKind::kOversizedMessage,
                     absl::StrCat("message of ", bytes.size(),
                                  " bytes exceeds the limit of ", limit),
                     "send a smaller body or shorter names");
  }
  return bytes;
}

CborArrayReader::CborArrayReader(const nlohmann::json& value) {
  if (value.is_array())
    array_ = &value;
  else
    problem_ = "not an array";
}

const nlohmann::json* CborArrayReader::Next() {
  if (!ok())
    return nullptr;
  if (next_ >= array_->size()) {
    Fail(absl::StrCat("field ", next_, " is missing"));
    return nullptr;
  }
  return &(*array_)[next_++];
}

uint64_t CborArrayReader::U64(uint64_t max) {
  const nlohmann::json* field = Next();
  if (field == nullptr)
    return 0;
  if (!field->is_number_unsigned() || field->get<uint64_t>() > max) {
    Fail(absl::StrCat("field ", next_ - 1, " is no number up to ", max));
    return 0;
  }
  return field->get<uint64_t>();
}

int64_t CborArrayReader::I64() {
  const nlohmann::json* field = Next();
  if (field == nullptr)
    return 0;
  const bool fits =
      field->is_number_integer() &&
      (!field->is_number_unsigned() ||
       field->get<uint64_t>() <=
           static_cast<uint64_t>(std::numeric_limits<int64_t>::max()));
  if (!fits) {
    Fail(absl::StrCat("field ", next_ - 1, " is no signed number"));
    return 0;
  }
  return field->get<int64_t>();
}

bool CborArrayReader::Bool() {
  const nlohmann::json* field = Next();
  if (field == nullptr)
    return false;
  if (!field->is_boolean()) {
    Fail(absl::StrCat("field ", next_ - 1, " is no boolean"));
    return false;
  }
  return field->get<bool>();
}

std::string CborArrayReader::Text(size_t max_bytes) {
  const nlohmann::json* field = Next();
  if (field == nullptr)
    return "";
  if (!field->is_string() ||
      field->get_ref<const std::string&>().size() > max_bytes) {
    Fail(absl::StrCat("field ", next_ - 1, " is no text of up to ", max_bytes,
                      " bytes"));
    return "";
  }
  return field->get<std::string>();
}

std::string CborArrayReader::Bytes(size_t max_bytes) {
  const nlohmann::json* field = Next();
  if (field == nullptr)
    return "";
  if (!field->is_binary() || field->get_binary().size() > max_bytes) {
    Fail(absl::StrCat("field ", next_ - 1, " is no byte string of up to ",
                      max_bytes, " bytes"));
    return "";
  }
  const auto& bytes = field->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

bool CborArrayReader::SkipNull() {
  if (!ok() || next_ >= array_->size() || !(*array_)[next_].is_null())
    return false;
  ++next_;
  return true;
}

const nlohmann::json& CborArrayReader::Array(size_t max_size) {
  const nlohmann::json* field = Next();
  if (field == nullptr)
    return EmptyArray();
  if (!field->is_array() || field->size() > max_size) {
    Fail(absl::StrCat("field ", next_ - 1, " is no array of up to ", max_size,
                      " elements"));
    return EmptyArray();
  }
  return *field;
}

void CborArrayReader::Fail(absl::string_view problem) {
  if (ok())
    problem_ = std::string(problem);
}

bool CborArrayReader::AtEnd() const {
  return array_ == nullptr || next_ >= array_->size();
}

Result<void> CborArrayReader::Finish() const {
  if (!ok())
    return MakeError(ErrorKind::kMalformedMessage, problem_, kRemedy);
  if (!AtEnd()) {
    return MakeError(
        ErrorKind::kMalformedMessage,
        absl::StrCat(array_->size(), " fields where ", next_, " are known"),
        kRemedy);
  }
  return Success();
}

Result<nlohmann::json> ParseCborArray(absl::Span<const uint8_t> bytes,
                                      size_t limit) {
  if (bytes.size() > limit) {
    return MakeError(ErrorKind::kOversizedMessage,
                     absl::StrCat("message of ", bytes.size(),
                                  " bytes exceeds the limit of ", limit),
                     "send smaller messages");
  }
  nlohmann::json value = nlohmann::json::from_cbor(
      bytes.begin(), bytes.end(), /*strict=*/true, /*allow_exceptions=*/false);
  if (!value.is_array())
    return MakeError(ErrorKind::kMalformedMessage, "not one CBOR array",
                     kRemedy);
  return value;
}

}  // namespace skylarkshunt
