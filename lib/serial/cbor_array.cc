#include "skylarkshunt/serial/cbor_array.h"

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr char kRemedy[] =
    "check that the sender speaks this version of the protocol";

/// Builds the parsed value and stops at deep nesting, because the parser calls
/// itself for each level and a large message could exhaust the stack.
class DepthLimitedBuilder
    : public nlohmann::detail::json_sax_dom_parser<nlohmann::json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

  explicit DepthLimitedBuilder(nlohmann::json& value)
      : Base(value, /*allow_exceptions_=*/false) {}

  bool start_array(size_t size) {
    return ++depth_ <= kMaxDepth && Base::start_array(size);
  }
  bool end_array() {
    --depth_;
    return Base::end_array();
  }
  bool start_object(size_t size) {
    return ++depth_ <= kMaxDepth && Base::start_object(size);
  }
  bool end_object() {
    --depth_;
    return Base::end_object();
  }

 private:
  static constexpr int kMaxDepth = 16;

  int depth_ = 0;
};

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
  nlohmann::json value;
  DepthLimitedBuilder builder(value);
  bool parsed = false;
  // The builder throws for a declared size beyond any memory, even with
  // exceptions switched off.
  try {
    parsed = nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &builder,
                                       nlohmann::json::input_format_t::cbor);
  } catch (const nlohmann::json::exception&) {
    parsed = false;
  }
  if (!parsed || !value.is_array()) {
    return MakeError(ErrorKind::kMalformedMessage, "not one CBOR array",
                     kRemedy);
  }
  return value;
}

}  // namespace skylarkshunt
