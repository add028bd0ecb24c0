#ifndef SKYLARKSHUNT_LIB_NODE_DECISION_FIELDS_H_
#define SKYLARKSHUNT_LIB_NODE_DECISION_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/forwarding/decision.h"
#include "skylarkshunt/forwarding/opening_copies.h"

namespace skylarkshunt {

/// Returns the numbers of the copies whose bits are set, such as "0+1"; "none"
/// if there are none. Thread-safe.
inline std::string CopyNumbers(uint8_t copies) {
  std::string numbers;
  for (size_t copy = 0; copy < OpeningCopies::kMaxCopies; ++copy) {
    if ((copies >> copy & 1U) != 0)
      absl::StrAppend(&numbers, numbers.empty() ? "" : "+", copy);
  }
  return numbers.empty() ? "none" : numbers;
}

/// Returns `duration` in milliseconds; -1 if it is infinite, which stands for a
/// time that is not known. Thread-safe.
inline int64_t MillisecondsIfKnown(absl::Duration duration) {
  return duration == absl::InfiniteDuration()
             ? -1
             : absl::ToInt64Milliseconds(duration);
}

/// Calls `write` with the name and the value, an integer or a std::string, of
/// each field of an Evidence.
template <typename Write>
struct EvidenceWriter {
  const Write& write;

  void operator()(std::monostate /*none*/) const {}
  void operator()(const OpeningEvidence& opening) const {
    write("copies", CopyNumbers(opening.copies));
    write("age_ms", MillisecondsIfKnown(opening.age));
  }
  void operator()(const SearchEvidence& search) const {
    write("queried", search.queried);
    write("known", search.known);
    write("uptime_ms", absl::ToInt64Milliseconds(search.uptime));
    write("newest_agent_ms", MillisecondsIfKnown(search.newest_agent));
  }
  void operator()(const AgentFlowEvidence& flow) const {
    write("flow_age_ms", MillisecondsIfKnown(flow.age));
  }
  void operator()(const OtherHolderEvidence& holder) const {
    write("other", ToHex(ToNumber(holder.agent)));
  }
};

/// Calls `write` with the name and the value of each field that only decisions
/// of this kind have: their evidence, and the sequence of a reset. Thread-safe
/// if `write` is.
template <typename Write>
void WriteEvidence(const Decision& decision, const Write& write) {
  std::visit(EvidenceWriter<Write>{write}, decision.evidence);
  if (decision.kind == DecisionKind::kRefused ||
      decision.kind == DecisionKind::kFlowReset) {
    write("sequence", decision.sequence);
  }
}

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_NODE_DECISION_FIELDS_H_
