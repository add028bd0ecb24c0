#include "skylarkshunt/process/directory.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/control/timing.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {

std::string DirectoryKey(absl::string_view region) {
  return absl::StrCat("directory/", region);
}

Result<std::vector<Endpoint>> ParseDirectory(absl::string_view body) {
  BOOST_OUTCOME_TRY(value, ParseJsonObject(body, "directory object",
                                           ErrorKind::kMalformedMessage));
  JsonObjectReader reader(value, "directory object", "",
                          ErrorKind::kMalformedMessage);
  std::vector<Endpoint> entries =
      reader.Addresses("entries", kMaxDirectoryEntries);
  BOOST_OUTCOME_TRY(reader.Finish());
  return entries;
}

std::string WriteDirectoryBody(absl::Span<const Endpoint> entries) {
  nlohmann::json list = nlohmann::json::array();
  for (const Endpoint& entry :
       entries.first(std::min(entries.size(), kMaxDirectoryEntries)))
    list.push_back(entry.ToString());
  return nlohmann::json{{"entries", std::move(list)}}.dump();
}

}  // namespace skylarkshunt
