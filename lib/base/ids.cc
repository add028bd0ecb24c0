#include "skylarkshunt/base/ids.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {

InstanceUid MakeTargetUid(ServiceUid service, absl::string_view address) {
  return InstanceUid{StableHash(address, ToNumber(service))};
}

InstanceUid MakeEntryUid(absl::string_view address) {
  return InstanceUid{StableHash(address, 0)};
}

FlowKey MakeFlowKey(ServiceUid service, uint64_t caller_flow_id) {
  return FlowKey{StableHash(caller_flow_id, ToNumber(service))};
}

std::string ToText(Revision revision) {
  const Epoch epoch = EpochOf(revision);
  if (epoch == Epoch{})
    return absl::StrCat(CountOf(revision));
  return absl::StrCat(ToNumber(epoch), ":", CountOf(revision));
}

std::string ToHex(uint64_t number) {
  return absl::StrCat(absl::Hex(number, absl::kZeroPad16));
}

std::string ToHex(const RequestId& id) {
  return absl::StrCat(absl::Hex(id.high, absl::kZeroPad16),
                      absl::Hex(id.low, absl::kZeroPad16));
}

absl::optional<uint64_t> ParseHex(absl::string_view text) {
  constexpr size_t kMaxDigits = 16;
  uint64_t number = 0;
  if (text.empty() || text.size() > kMaxDigits)
    return absl::nullopt;
  for (char c : text) {
    if (!absl::ascii_isxdigit(static_cast<unsigned char>(c)))
      return absl::nullopt;
  }
  if (!absl::SimpleHexAtoi(text, &number))
    return absl::nullopt;
  return number;
}

}  // namespace skylarkshunt
