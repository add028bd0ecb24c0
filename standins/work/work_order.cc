#include "standins/work/work_order.h"

#include <algorithm>
#include <cstring>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

constexpr size_t kIdDigits = 32;

Error Malformed(absl::string_view body) {
  return MakeError(ErrorKind::kMalformedMessage,
                   absl::StrCat("no work order: ", body.substr(0, 80)),
                   "send \"<request id> <answer bytes> <run time in us>\"");
}

}  // namespace

std::string WriteWorkOrder(const WorkOrder& order) {
  return absl::StrCat(ToHex(order.request_id), " ", order.answer_bytes, " ",
                      absl::ToInt64Microseconds(order.run_time));
}

Result<WorkOrder> ParseWorkOrder(absl::string_view body) {
  const std::vector<absl::string_view> parts = absl::StrSplit(body, ' ');
  if (parts.size() != 3 || parts[0].size() != kIdDigits)
    return Malformed(body);
  const auto high = ParseHex(parts[0].substr(0, kIdDigits / 2));
  const auto low = ParseHex(parts[0].substr(kIdDigits / 2));
  WorkOrder order;
  uint64_t run_us = 0;
  if (!high || !low || !absl::SimpleAtoi(parts[1], &order.answer_bytes) ||
      !absl::SimpleAtoi(parts[2], &run_us)) {
    return Malformed(body);
  }
  order.request_id = RequestId{*high, *low};
  if (order.answer_bytes > kMaxAnswerBytes ||
      run_us > static_cast<uint64_t>(absl::ToInt64Microseconds(kMaxRunTime))) {
    return Malformed(body);
  }
  order.run_time = absl::Microseconds(static_cast<int64_t>(run_us));
  return order;
}

std::string MakeAnswer(const RequestId& id, uint64_t bytes) {
  const uint64_t seed = StableHash(id.high, id.low);
  std::string answer(bytes, '\0');
  for (uint64_t at = 0; at < bytes; at += sizeof(uint64_t)) {
    const uint64_t word = StableHash(at, seed);
    std::memcpy(&answer[at], &word,
                std::min<uint64_t>(sizeof(word), bytes - at));
  }
  return answer;
}

}  // namespace skylarkshunt
