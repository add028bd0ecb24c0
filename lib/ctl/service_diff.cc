#include "service_diff.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace skylarkshunt {
namespace {

using Texts = std::vector<std::pair<std::string, std::string>>;

constexpr char kNone[] = "-";

std::string Find(const Texts& texts, const std::string& field) {
  auto it = std::find_if(texts.begin(), texts.end(),
                         [&](const auto& text) { return text.first == field; });
  return it == texts.end() ? kNone : it->second;
}

std::string DescribeKind(const KindConfig& kind) {
  return absl::StrCat("weight ", kind.weight, ", ",
                      kind.idempotent ? "idempotent" : "not idempotent", ", ",
                      absl::ToInt64Milliseconds(kind.usual_duration), " ms");
}

}  // namespace

std::vector<std::pair<std::string, std::string>> DescribeService(
    const ServiceConfig& config) {
  Texts texts = {
      {"uid", ToHex(ToNumber(config.uid))},
      {"slots", absl::StrCat(config.slots)},
      {"connections", absl::StrCat(config.connections)},
      {"data_centres", absl::StrJoin(config.data_centres, " ")},
      {"deadline_ms", absl::StrCat(absl::ToInt64Milliseconds(config.deadline))},
      {"drain_limit_s", absl::StrCat(absl::ToInt64Seconds(config.drain_limit))},
      {"warm_up_step_ms",
       absl::StrCat(absl::ToInt64Milliseconds(config.warm_up_step))}};
  for (const KindConfig& kind : config.kinds)
    texts.emplace_back(absl::StrCat("kinds.", kind.name), DescribeKind(kind));
  return texts;
}

std::vector<Difference> CompareServices(const ServiceConfig* in_place,
                                        const ServiceConfig& yours) {
  const Texts before =
      in_place == nullptr ? Texts() : DescribeService(*in_place);
  const Texts after = DescribeService(yours);
  std::vector<Difference> differences;
  for (const auto& text : after) {
    const std::string old = Find(before, text.first);
    if (old != text.second)
      differences.push_back({text.first, old, text.second});
  }
  for (const auto& text : before) {
    if (Find(after, text.first) == kNone)
      differences.push_back({text.first, text.second, kNone});
  }
  return differences;
}

}  // namespace skylarkshunt
