#include "output.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"

namespace skylarkshunt {
namespace {

nlohmann::ordered_json ToJson(const Table& table) {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const std::vector<std::string>& row : table.rows) {
    nlohmann::ordered_json object = nlohmann::ordered_json::object();
    for (size_t i = 0; i < row.size(); ++i)
      object[table.columns[i]] = row[i];
    rows.push_back(object);
  }
  return rows;
}

nlohmann::ordered_json ToJson(const Fields& fields) {
  nlohmann::ordered_json object = nlohmann::ordered_json::object();
  for (const auto& field : fields)
    object[field.first] = field.second;
  return object;
}

void PrintJson(std::ostream& out, const nlohmann::ordered_json& value) {
  out << value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
      << "\n";
}

void PrintRow(std::ostream& out,
              const std::vector<std::string>& cells,
              const std::vector<size_t>& widths) {
  std::string line;
  for (size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    line.append(widths[i] + 2 - cells[i].size(), ' ');
  }
  out << absl::StripTrailingAsciiWhitespace(line) << "\n";
}

void PrintPlain(std::ostream& out, const Table& table) {
  std::vector<std::string> header = table.columns;
  std::vector<size_t> widths;
  for (std::string& name : header) {
    absl::AsciiStrToUpper(&name);
    widths.push_back(name.size());
  }
  for (const std::vector<std::string>& row : table.rows) {
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  PrintRow(out, header, widths);
  for (const std::vector<std::string>& row : table.rows)
    PrintRow(out, row, widths);
}

void PrintPlain(std::ostream& out, const Fields& fields) {
  for (const auto& field : fields)
    out << field.first << ": " << field.second << "\n";
}

}  // namespace

void PrintTable(std::ostream& out, OutputFormat format, const Table& table) {
  if (format == OutputFormat::kJson)
    PrintJson(out, ToJson(table));
  else
    PrintPlain(out, table);
}

void PrintFields(std::ostream& out, OutputFormat format, const Fields& fields) {
  if (format == OutputFormat::kJson)
    PrintJson(out, ToJson(fields));
  else
    PrintPlain(out, fields);
}

void PrintFieldsAndTable(std::ostream& out,
                         OutputFormat format,
                         const Fields& fields,
                         const std::string& key,
                         const Table& table) {
  if (format == OutputFormat::kTable) {
    PrintPlain(out, fields);
    PrintPlain(out, table);
    return;
  }
  nlohmann::ordered_json object = ToJson(fields);
  object[key] = ToJson(table);
  PrintJson(out, object);
}

void PrintError(std::ostream& err,
                OutputFormat format,
                const Error& error,
                const std::vector<Difference>& differences) {
  const Fields fields = {{"error", std::string(ErrorKindName(error.kind))},
                         {"message", error.message},
                         {"remedy", error.remedy}};
  if (differences.empty()) {
    PrintFields(err, format, fields);
    return;
  }
  PrintFieldsAndTable(err, format, fields, "differences",
                      DifferenceTable(differences));
}

Table DifferenceTable(const std::vector<Difference>& differences) {
  Table table{{"field", "in_place", "yours"}, {}};
  for (const Difference& difference : differences) {
    table.rows.push_back(
        {difference.field, difference.in_place, difference.yours});
  }
  return table;
}

}  // namespace skylarkshunt
