#include "wire.h"

#include <algorithm>
#include <limits>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr absl::string_view kSource = "answer of the platform";
constexpr ErrorKind kKind = ErrorKind::kMalformedMessage;
constexpr size_t kMaxKeyBytes = 200;

Revision ReadRevision(JsonObjectReader& reader) {
  return Revision{static_cast<uint64_t>(
      reader.Integer("revision", 0, std::numeric_limits<int64_t>::max()))};
}

ConfigRecord ReadRecord(JsonObjectReader& reader) {
  ConfigRecord record;
  record.key = reader.Text("key", 1, kMaxKeyBytes);
  record.revision = ReadRevision(reader);
  record.deleted = reader.Has("deleted") && reader.Boolean("deleted");
  if (!record.deleted)
    record.body = reader.Text("body", 0, kMaxObjectBytes);
  return record;
}

/// Success unless a field is missing or wrong; unknown keys do not matter.
Result<void> Check(JsonObjectReader& reader) {
  if (reader.ok())
    return Success();
  return reader.Finish();
}

Result<std::vector<ConfigRecord>> ReadRecords(JsonObjectReader& reader,
                                              absl::string_view key) {
  std::vector<ConfigRecord> records;
  const nlohmann::json& values = reader.Array(key, kMaxAnswerObjects);
  records.reserve(values.size());
  for (size_t i = 0; i < values.size(); ++i) {
    JsonObjectReader element(values[i], kSource, absl::StrCat(key, "[", i, "]"),
                             kKind);
    records.push_back(ReadRecord(element));
    BOOST_OUTCOME_TRYV(Check(element));
  }
  return records;
}

}  // namespace

Result<ConfigRecord> ParseObjectAnswer(absl::string_view text) {
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, kSource, kKind));
  JsonObjectReader reader(value, kSource, "", kKind);
  ConfigRecord record = ReadRecord(reader);
  BOOST_OUTCOME_TRYV(Check(reader));
  return record;
}

Result<ObjectList> ParseListAnswer(absl::string_view text) {
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, kSource, kKind));
  JsonObjectReader reader(value, kSource, "", kKind);
  ObjectList list;
  list.revision = ReadRevision(reader);
  BOOST_OUTCOME_TRY(objects, ReadRecords(reader, "objects"));
  list.objects = std::move(objects);
  BOOST_OUTCOME_TRYV(Check(reader));
  return list;
}

Result<WatchBatch> ParseWatchAnswer(absl::string_view text) {
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, kSource, kKind));
  JsonObjectReader reader(value, kSource, "", kKind);
  WatchBatch batch;
  batch.revision = ReadRevision(reader);
  BOOST_OUTCOME_TRY(changes, ReadRecords(reader, "changes"));
  batch.changes = std::move(changes);
  BOOST_OUTCOME_TRYV(Check(reader));
  return batch;
}

Result<Revision> ParseRevisionAnswer(absl::string_view text) {
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, kSource, kKind));
  JsonObjectReader reader(value, kSource, "", kKind);
  const Revision revision = ReadRevision(reader);
  BOOST_OUTCOME_TRYV(Check(reader));
  return revision;
}

bool IsObjectKey(absl::string_view key) {
  if (key.empty() || key.size() > kMaxKeyBytes)
    return false;
  return std::all_of(key.begin(), key.end(), [](unsigned char c) {
    return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.' ||
           c == '/';
  });
}

}  // namespace skylarkshunt
