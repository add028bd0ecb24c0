#include "settle.h"

#include <algorithm>
#include <functional>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/types/optional.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kReadInterval = absl::Milliseconds(200);
constexpr size_t kMaxApplyIdBytes = 64;

/// Returns the apply id inside `body`, or "" where there is none.
std::string ApplyIdOf(absl::string_view body) {
  constexpr ErrorKind kKind = ErrorKind::kMalformedMessage;
  Result<nlohmann::json> value = ParseJsonObject(body, "object", kKind);
  if (!value.has_value())
    return "";
  JsonObjectReader reader(value.value(), "object", "", kKind);
  return reader.Text("apply_id", 1, kMaxApplyIdBytes);
}

Error OtherChange(absl::string_view key, absl::string_view found) {
  return MakeError(
      ErrorKind::kConflict,
      absl::StrCat(key, ": the answer was lost, and now ", found,
                   " is in place; whether this change took effect before it "
                   "cannot be told"),
      "look at the object that is in place, then apply again if needed");
}

/// What one read of the object proves; nothing when it proves nothing yet.
using Judge = std::function<absl::optional<Result<Revision>>(
    const Result<ConfigRecord>& read)>;

/// Reads the object until `judge` decides. A change that is not in place yet
/// may still take effect on a slow platform, so its absence proves nothing.
Result<Revision> ReadBack(PlatformClient& client,
                          absl::string_view key,
                          absl::Duration limit,
                          const Judge& judge) {
  const absl::Time end = absl::Now() + limit;
  std::string last;
  do {
    Result<ConfigRecord> read = client.Read(key);
    if (absl::optional<Result<Revision>> verdict = judge(read))
      return *verdict;
    last = read.has_value() ? "the object is unchanged so far"
                            : read.error().message;
    absl::SleepFor(std::min(kReadInterval, end - absl::Now()));
  } while (absl::Now() < end);
  return MakeError(
      ErrorKind::kOutcomeUnknown,
      absl::StrCat(key, ": outcome unknown; the answer was lost and ",
                   absl::FormatDuration(limit),
                   " of reading back did not settle it (last: ", last, ")"),
      "do not repeat the command; read the object when the platform is up");
}

}  // namespace

Result<Revision> WriteSettled(PlatformClient& client,
                              const SettledWrite& write,
                              absl::Duration limit) {
  Result<Revision> written =
      client.Write(write.key, write.body, write.expected);
  const bool lost = !written.has_value() &&
                    written.error().kind == ErrorKind::kOutcomeUnknown;
  if (!lost)
    return written;
  const bool created = write.expected == Revision{};
  const Judge judge = [&](const Result<ConfigRecord>& read)
      -> absl::optional<Result<Revision>> {
    if (!read.has_value()) {
      if (read.error().kind != ErrorKind::kNotFound || created)
        return absl::nullopt;
      return Result<Revision>(OtherChange(write.key, "a removal"));
    }
    const ConfigRecord& record = read.value();
    if (ApplyIdOf(record.body) == write.apply_id)
      return Result<Revision>(record.revision);
    if (record.revision == write.expected)
      return absl::nullopt;
    return Result<Revision>(OtherChange(
        write.key, absl::StrCat("revision ", ToText(record.revision))));
  };
  return ReadBack(client, write.key, limit, judge);
}

Result<void> RemoveSettled(PlatformClient& client,
                           absl::string_view key,
                           Revision expected,
                           absl::Duration limit) {
  Result<Revision> removed = client.Remove(key, expected);
  if (removed.has_value())
    return Success();
  if (removed.error().kind != ErrorKind::kOutcomeUnknown)
    return removed.error();
  const Judge judge = [&](const Result<ConfigRecord>& read)
      -> absl::optional<Result<Revision>> {
    if (!read.has_value()) {
      if (read.error().kind != ErrorKind::kNotFound)
        return absl::nullopt;
      return Result<Revision>(Revision{});
    }
    if (read.value().revision == expected)
      return absl::nullopt;
    return Result<Revision>(OtherChange(
        key, absl::StrCat("revision ", ToText(read.value().revision))));
  };
  BOOST_OUTCOME_TRYV(ReadBack(client, key, limit, judge));
  return Success();
}

}  // namespace skylarkshunt
