#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "admin_client.h"
#include "context.h"
#include "output.h"

namespace skylarkshunt {
namespace {

using nlohmann::json;

Error Damaged(Endpoint node, absl::string_view path) {
  return MakeError(
      ErrorKind::kMalformedMessage,
      absl::StrCat("the answer of ", node.ToString(), path, " is damaged"),
      "check that --entry is the node's peer address, and its "
      "release");
}

Result<json> ReadJson(Endpoint node, const std::string& path) {
  BOOST_OUTCOME_TRY(text, GetAdmin(node, path));
  json value = json::parse(text, nullptr, false);
  if (value.is_discarded())
    return Damaged(node, path);
  return value;
}

/// The value at `key` as text, whatever its type; "?" where it is missing.
std::string Text(const json& value, const char* key) {
  const auto found = value.find(key);
  if (found == value.end())
    return "?";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Addresses of the node asked and of every node that it has heard lately. All
/// nodes use the same port.
std::vector<Endpoint> AddressesOf(const json& status, Endpoint asked) {
  std::vector<Endpoint> addresses = {asked};
  const auto nodes = status.find("nodes");
  if (nodes == status.end() || !nodes->is_array())
    return addresses;
  for (const json& node : *nodes) {
    const Result<Endpoint> address = Endpoint::Parse(Text(node, "address"));
    if (address.has_value())
      addresses.push_back({address.value().address, asked.port});
  }
  return addresses;
}

/// Returns the version of the configuration. Unlike its revision, it says which
/// of two nodes has the newer one.
std::string ConfigurationOf(const json& status) {
  const auto configuration = status.find("configuration");
  return configuration == status.end() || !configuration->is_object()
             ? "?"
             : Text(*configuration, "version");
}

}  // namespace

Result<ExitCode> NodeStatusCommand(const Context& context) {
  const Endpoint entry = *context.arguments.entry;
  BOOST_OUTCOME_TRY(first, ReadJson(entry, "/node"));
  Table table{
      {"node", "role", "address", "ready", "configuration", "state", "busy",
       "slots", "open_flows", "service_time_us", "pending_work_us",
       "failing_permille", "waiting", "in_time", "overloaded_ms"},
      {}};
  size_t silent = 0;
  for (const Endpoint address : AddressesOf(first, entry)) {
    const Result<json> status = ReadJson(address, "/node");
    if (!status.has_value()) {
      ++silent;
      context.environment.err << "note: " << status.error().message << "\n";
      continue;
    }
    const json& value = status.value();
    const json load = value.value("load", json::object());
    const json admission = value.value("admission", json::object());
    table.rows.push_back(
        {Text(value, "name"), Text(value, "role"), address.ToString(),
         Text(value, "ready"), ConfigurationOf(value), Text(load, "state"),
         Text(load, "busy"), Text(load, "slots"), Text(load, "open_flows"),
         Text(load, "service_time_us"), Text(load, "pending_work_us"),
         Text(load, "failing_permille"), Text(admission, "waiting"),
         Text(admission, "in_time"), Text(admission, "overloaded_ms")});
  }
  PrintFieldsAndTable(context.environment.out, context.arguments.output,
                      {{"nodes", absl::StrCat(table.rows.size())},
                       {"without_answer", absl::StrCat(silent)}},
                      "table", table);
  return silent == 0 ? ExitCode::kOk : ExitCode::kFailed;
}

Result<ExitCode> NodeWhy(const Context& context) {
  const Endpoint entry = *context.arguments.entry;
  const std::string& flow = context.arguments.operands.front();
  BOOST_OUTCOME_TRY(first, ReadJson(entry, "/node"));
  std::vector<std::pair<int64_t, std::vector<std::string>>> rows;
  for (const Endpoint address : AddressesOf(first, entry)) {
    const Result<json> decisions =
        ReadJson(address, absl::StrCat("/decisions/", flow));
    if (!decisions.has_value() || !decisions.value().is_array()) {
      context.environment.err << "note: no decisions from "
                              << address.ToString() << "\n";
      continue;
    }
    for (const json& decision : decisions.value()) {
      rows.emplace_back(
          decision.value("time_ms", int64_t{0}),
          std::vector<std::string>{
              Text(decision, "time_ms"), address.ToString(),
              Text(decision, "decision"), Text(decision, "reason"),
              Text(decision, "agent"), Text(decision, "busy"),
              Text(decision, "slots"), Text(decision, "time_us"),
              Text(decision, "view_age_ms"), Text(decision, "hops"),
              Text(decision, "configuration"), Text(decision, "waited_ms"),
              Text(decision, "attempt")});
    }
  }
  if (rows.empty()) {
    return MakeError(
        ErrorKind::kNotFound, absl::StrCat("no node remembers flow ", flow),
        "write the flow as CLIENT:PORT>SERVICE:PORT; decisions are remembered "
        "for some seconds, older ones are in the logs");
  }
  std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.first < b.first;
  });
  Table table{{"time_ms", "node", "decision", "reason", "agent", "busy",
               "slots", "time_us", "view_age_ms", "hops", "configuration",
               "waited_ms", "attempt"},
              {}};
  for (auto& row : rows)
    table.rows.push_back(std::move(row.second));
  PrintTable(context.environment.out, context.arguments.output, table);
  return ExitCode::kOk;
}

}  // namespace skylarkshunt
