#include "skylarkshunt/base/counters.h"

#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace skylarkshunt {

Counter& CounterRegistry::Find(absl::string_view name,
                               absl::string_view help,
                               MetricType type,
                               absl::string_view labels) {
  absl::MutexLock lock(&mutex_);
  for (Entry& entry : entries_) {
    if (entry.name == name && entry.labels == labels)
      return entry.counter;
  }
  Entry& entry = entries_.emplace_back();
  entry.name = std::string(name);
  entry.help = std::string(help);
  entry.labels = std::string(labels);
  entry.type = type;
  return entry.counter;
}

std::string CounterRegistry::ToText() const {
  absl::MutexLock lock(&mutex_);
  std::string text;
  absl::flat_hash_set<absl::string_view> done;
  for (const Entry& first : entries_) {
    if (!done.insert(first.name).second)
      continue;
    absl::string_view type =
        first.type == MetricType::kCounter ? "counter" : "gauge";
    absl::StrAppend(&text, "# HELP ", first.name, " ", first.help, "\n");
    absl::StrAppend(&text, "# TYPE ", first.name, " ", type, "\n");
    for (const Entry& entry : entries_) {
      if (entry.name != first.name)
        continue;
      absl::StrAppend(&text, entry.name);
      if (!entry.labels.empty())
        absl::StrAppend(&text, "{", entry.labels, "}");
      absl::StrAppend(&text, " ", entry.counter.value(), "\n");
    }
  }
  return text;
}

}  // namespace skylarkshunt
