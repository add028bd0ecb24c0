#ifndef SKYLARKSHUNT_LIB_CTL_OUTPUT_H_
#define SKYLARKSHUNT_LIB_CTL_OUTPUT_H_

#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "arguments.h"
#include "service_diff.h"

namespace skylarkshunt {

/// Rows with the same columns. As JSON it is an array of objects whose values
/// are all strings.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// Named values. As JSON it is an object whose values are all strings.
using Fields = std::vector<std::pair<std::string, std::string>>;

void PrintTable(std::ostream& out, OutputFormat format, const Table& table);
void PrintFields(std::ostream& out, OutputFormat format, const Fields& fields);
/// Prints `fields` and, below, `table`; as JSON, `table` stands under `key`.
void PrintFieldsAndTable(std::ostream& out,
                         OutputFormat format,
                         const Fields& fields,
                         const std::string& key,
                         const Table& table);
/// Prints kind, message and remedy, and the differences of a conflict.
void PrintError(std::ostream& err,
                OutputFormat format,
                const Error& error,
                const std::vector<Difference>& differences = {});

/// Returns the differences with columns field, in_place and yours.
Table DifferenceTable(const std::vector<Difference>& differences);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_OUTPUT_H_
