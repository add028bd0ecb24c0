#include "standins/platform/fault.h"

#include <array>

#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr std::array<absl::string_view, 7> kModes = {
    "none",           "down",         "slow",          "lose_answers",
    "expire_watches", "lose_watches", "deafen_watches"};
constexpr int64_t kMaxDelayMs = 600'000;
constexpr int64_t kMaxCount = 1'000'000;

}  // namespace

absl::string_view FaultModeName(FaultMode mode) {
  return kModes[static_cast<size_t>(mode)];
}

Result<Fault> ParseFault(absl::string_view text) {
  constexpr ErrorKind kKind = ErrorKind::kInvalidArgument;
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, "fault", kKind));
  JsonObjectReader reader(value, "fault", "", kKind);
  Fault fault;
  fault.mode = static_cast<FaultMode>(reader.Choice("mode", kModes));
  if (reader.Has("delay_ms")) {
    fault.delay =
        absl::Milliseconds(reader.Integer("delay_ms", 0, kMaxDelayMs));
  }
  if (reader.Has("count"))
    fault.count = static_cast<uint32_t>(reader.Integer("count", 0, kMaxCount));
  if (reader.Has("then"))
    fault.then = static_cast<FaultMode>(reader.Choice("then", kModes));
  BOOST_OUTCOME_TRYV(reader.Finish());
  return fault;
}

}  // namespace skylarkshunt
