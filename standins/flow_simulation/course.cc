#include "standins/flow_simulation/course.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace skylarkshunt {
namespace {

constexpr std::array<absl::string_view, 5> kActorNames = {
    "none", "client", "entry", "agent", "target"};
constexpr std::array<absl::string_view, kDecisionKinds> kDecisionNames = {
    "placed", "placed_again", "refused",  "deferred", "searched",
    "found",  "flow_reset",   "accepted", "returned", "answered"};

}  // namespace

std::string Actor::ToString() const {
  const absl::string_view name = kActorNames[static_cast<size_t>(kind)];
  if (kind == ActorKind::kNone || kind == ActorKind::kClient)
    return std::string(name);
  return absl::StrCat(name, "-", index);
}

absl::string_view DecisionName(DecisionKind kind) {
  return kDecisionNames[static_cast<size_t>(kind)];
}

std::string CourseLog::Describe(const FlowId& flow, absl::Time start) const {
  std::string text;
  const auto found = steps_.find(flow);
  if (found == steps_.end())
    return text;
  for (const Step& step : found->second) {
    absl::StrAppendFormat(&text, "    %10.6f %-9s %s",
                          absl::ToDoubleSeconds(step.time - start),
                          step.actor.ToString(), step.what);
    if (!step.detail.empty())
      absl::StrAppend(&text, " ", step.detail);
    if (step.other.kind != ActorKind::kNone)
      absl::StrAppend(&text, " ", step.other.ToString());
    if (step.number != 0)
      absl::StrAppend(&text, " ", step.number);
    text += '\n';
  }
  return text;
}

}  // namespace skylarkshunt
