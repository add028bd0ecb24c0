#include "skylarkshunt/serial/json_object.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace skylarkshunt {
namespace {

const nlohmann::json& EmptyArray() {
  static const auto& empty = *new nlohmann::json(nlohmann::json::array());
  return empty;
}

const nlohmann::json& EmptyObject() {
  static const auto& empty = *new nlohmann::json(nlohmann::json::object());
  return empty;
}

/// What RepeatedKeyFinder found. The parser copies the finder itself.
struct ParseFindings {
  std::string repeated_key;
  bool too_deep = false;
};

/// Finds a key that stands twice in one object. nlohmann keeps the last value
/// silently, which would hide an operator's mistake. Also finds deep nesting,
/// since Shorten() writes values out recursively.
class RepeatedKeyFinder {
 public:
  bool operator()(int depth,
                  nlohmann::json::parse_event_t event,
                  nlohmann::json& parsed) {
    if (depth > kMaxDepth)
      findings_->too_deep = true;
    if (findings_->too_deep)
      return false;
    if (event == nlohmann::json::parse_event_t::object_start)
      keys_.emplace_back();
    if (event == nlohmann::json::parse_event_t::object_end)
      keys_.pop_back();
    if (event == nlohmann::json::parse_event_t::key) {
      std::string key = parsed.get<std::string>();
      if (!keys_.back().insert(key).second && findings_->repeated_key.empty())
        findings_->repeated_key = key;
    }
    return true;
  }

  explicit RepeatedKeyFinder(ParseFindings* findings) : findings_(findings) {}

 private:
  static constexpr int kMaxDepth = 64;

  std::vector<std::set<std::string>> keys_;
  ParseFindings* findings_;
};

constexpr absl::string_view kNameRemedy =
    "begin with a lower-case letter and use lower-case letters, digits, '-' "
    "and '_'";

bool IsName(absl::string_view text) {
  if (text.empty() || !absl::ascii_islower(static_cast<unsigned char>(text[0])))
    return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-' ||
           c == '_';
  });
}

std::string Shorten(const nlohmann::json& value) {
  constexpr size_t kMaxShown = 60;
  std::string text =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShown)
    text = text.substr(0, kMaxShown) + "...";
  return text;
}

}  // namespace

Result<nlohmann::json> ParseJsonObject(absl::string_view text,
                                       absl::string_view source,
                                       ErrorKind kind) {
  ParseFindings findings;
  nlohmann::json value = nlohmann::json::parse(
      text.begin(), text.end(), RepeatedKeyFinder(&findings),
      /*allow_exceptions=*/false, /*ignore_comments=*/true);
  if (findings.too_deep) {
    return MakeError(kind, absl::StrCat(source, ": nested too deep"),
                     "remove the brackets that are not needed");
  }
  if (!value.is_object()) {
    return MakeError(kind, absl::StrCat(source, ": not a JSON object"),
                     "check brackets, commas and quotes near the end");
  }
  if (!findings.repeated_key.empty()) {
    return MakeError(kind,
                     absl::StrCat(source, ": key '", findings.repeated_key,
                                  "' stands twice in one object"),
                     "remove one of the two");
  }
  return value;
}

JsonObjectReader::JsonObjectReader(const nlohmann::json& value,
                                   absl::string_view source,
                                   absl::string_view path,
                                   ErrorKind kind)
    : value_(value.is_object() ? value : EmptyObject()),
      source_(source),
      path_(path),
      kind_(kind) {
  if (value.is_object())
    return;
  problem_ = absl::StrCat(source_, ": '", path_, "' is ", Shorten(value));
  remedy_ = "write an object in { }";
}

std::string JsonObjectReader::Place(absl::string_view key) const {
  return path_.empty() ? std::string(key) : absl::StrCat(path_, ".", key);
}

void JsonObjectReader::Fail(absl::string_view key,
                            absl::string_view found,
                            absl::string_view remedy) {
  if (!ok())
    return;
  problem_ = absl::StrCat(source_, ": '", Place(key), "' ", found);
  remedy_ = std::string(remedy);
}

const nlohmann::json* JsonObjectReader::Find(absl::string_view key,
                                             absl::string_view remedy) {
  known_.insert(std::string(key));
  auto it = value_.find(std::string(key));
  if (it != value_.end())
    return &*it;
  Fail(key, "is missing", remedy);
  return nullptr;
}

bool JsonObjectReader::Has(absl::string_view key) {
  known_.insert(std::string(key));
  return value_.contains(std::string(key));
}

std::string JsonObjectReader::Text(absl::string_view key,
                                   size_t min_bytes,
                                   size_t max_bytes) {
  const std::string remedy = absl::StrCat("write text of ", min_bytes, " to ",
                                          max_bytes, " bytes in quotes");
  const nlohmann::json* field = Find(key, remedy);
  if (field == nullptr)
    return "";
  if (!field->is_string() || field->get<std::string>().size() < min_bytes ||
      field->get<std::string>().size() > max_bytes) {
    Fail(key, absl::StrCat("is ", Shorten(*field)), remedy);
    return "";
  }
  return field->get<std::string>();
}

std::string JsonObjectReader::Name(absl::string_view key) {
  std::string name = Text(key, 1, kMaxNameBytes);
  if (ok() && !IsName(name))
    Fail(key, absl::StrCat("is \"", name, "\""), kNameRemedy);
  return name;
}

std::vector<std::string> JsonObjectReader::Names(absl::string_view key,
                                                 size_t max_count) {
  std::vector<std::string> names = Texts(key, max_count, kMaxNameBytes);
  std::set<std::string> seen;
  for (const std::string& name : names) {
    if (!IsName(name))
      Fail(key, absl::StrCat("has \"", name, "\""), kNameRemedy);
    if (!seen.insert(name).second)
      Fail(key, absl::StrCat("names '", name, "' twice"), "name each once");
  }
  return names;
}

size_t JsonObjectReader::Choice(absl::string_view key,
                                absl::Span<const absl::string_view> choices) {
  const std::string remedy =
      absl::StrCat("write one of ", absl::StrJoin(choices, ", "));
  const nlohmann::json* field = Find(key, remedy);
  if (field == nullptr)
    return 0;
  for (size_t i = 0; i < choices.size(); ++i) {
    if (field->is_string() &&
        field->get_ref<const std::string&>() == std::string(choices[i])) {
      return i;
    }
  }
  Fail(key, absl::StrCat("is ", Shorten(*field)), remedy);
  return 0;
}

int64_t JsonObjectReader::Integer(absl::string_view key,
                                  int64_t min,
                                  int64_t max) {
  const std::string remedy =
      absl::StrCat("write a whole number from ", min, " to ", max);
  const nlohmann::json* field = Find(key, remedy);
  if (field == nullptr)
    return min;
  const bool too_large =
      field->is_number_unsigned() &&
      field->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (!field->is_number_integer() || too_large || field->get<int64_t>() < min ||
      field->get<int64_t>() > max) {
    Fail(key, absl::StrCat("is ", Shorten(*field)), remedy);
    return min;
  }
  return field->get<int64_t>();
}

double JsonObjectReader::Number(absl::string_view key, double min, double max) {
  const std::string remedy =
      absl::StrCat("write a number from ", min, " to ", max);
  const nlohmann::json* field = Find(key, remedy);
  if (field == nullptr)
    return min;
  if (!field->is_number() || field->get<double>() < min ||
      field->get<double>() > max) {
    Fail(key, absl::StrCat("is ", Shorten(*field)), remedy);
    return min;
  }
  return field->get<double>();
}

bool JsonObjectReader::Boolean(absl::string_view key) {
  const nlohmann::json* field = Find(key, "write true or false");
  if (field == nullptr)
    return false;
  if (!field->is_boolean()) {
    Fail(key, absl::StrCat("is ", Shorten(*field)), "write true or false");
    return false;
  }
  return field->get<bool>();
}

Endpoint JsonObjectReader::Address(absl::string_view key) {
  const std::string text = Text(key, 1, 64);
  if (!ok())
    return Endpoint();
  Result<Endpoint> endpoint = Endpoint::Parse(text);
  if (endpoint.has_value())
    return endpoint.value();
  Fail(key, absl::StrCat("is \"", text, "\""), endpoint.error().remedy);
  return Endpoint();
}

std::vector<Endpoint> JsonObjectReader::Addresses(absl::string_view key,
                                                  size_t max_count) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : Texts(key, max_count, 64)) {
    Result<Endpoint> endpoint = Endpoint::Parse(text);
    if (!endpoint.has_value()) {
      Fail(key, absl::StrCat("has \"", text, "\""), endpoint.error().remedy);
      return {};
    }
    endpoints.push_back(endpoint.value());
  }
  return endpoints;
}

std::vector<std::string> JsonObjectReader::Texts(absl::string_view key,
                                                 size_t max_count,
                                                 size_t max_bytes) {
  std::vector<std::string> texts;
  for (const nlohmann::json& element : Array(key, max_count)) {
    if (!element.is_string() ||
        element.get_ref<const std::string&>().size() > max_bytes) {
      Fail(key, absl::StrCat("has ", Shorten(element)),
           absl::StrCat("write texts of up to ", max_bytes, " bytes"));
      return {};
    }
    texts.push_back(element.get<std::string>());
  }
  return texts;
}

const nlohmann::json& JsonObjectReader::Array(absl::string_view key,
                                              size_t max_count) {
  const std::string remedy =
      absl::StrCat("write an array in [ ] of at most ", max_count, " elements");
  const nlohmann::json* field = Find(key, remedy);
  if (field == nullptr)
    return EmptyArray();
  if (!field->is_array() || field->size() > max_count) {
    Fail(key, absl::StrCat("is ", Shorten(*field)), remedy);
    return EmptyArray();
  }
  return *field;
}

const nlohmann::json& JsonObjectReader::Object(absl::string_view key) {
  const nlohmann::json* field = Find(key, "write an object in { }");
  if (field == nullptr)
    return EmptyObject();
  if (!field->is_object()) {
    Fail(key, absl::StrCat("is ", Shorten(*field)), "write an object in { }");
    return EmptyObject();
  }
  return *field;
}

Result<void> JsonObjectReader::Finish() {
  for (const auto& item : value_.items()) {
    if (known_.count(item.key()) == 0) {
      Fail(item.key(), "is not a known key",
           absl::StrCat("remove it, or use one of ",
                        absl::StrJoin(known_, ", ")));
    }
  }
  if (ok())
    return Success();
  return MakeError(kind_, problem_, remedy_);
}

}  // namespace skylarkshunt
