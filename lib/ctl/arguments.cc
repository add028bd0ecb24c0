#include "arguments.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "command_specs.h"

namespace skylarkshunt {
namespace {

namespace options = boost::program_options;

constexpr char kNameCharacters[] = "abcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kMaxWaitSeconds = 3600;
constexpr absl::string_view kSeeHelp = "see skylarkshuntctl --help";

Error UsageError(absl::string_view message,
                 absl::string_view remedy = kSeeHelp) {
  return MakeError(ErrorKind::kInvalidArgument, message, remedy);
}

options::options_description DescribeOptions() {
  options::options_description described("Options");
  auto add = described.add_options();
  add("platform", options::value<std::string>(),
      "ADDRESS of the platform's object API");
  add("entry", options::value<std::string>(),
      "ADDRESS of the admin end point of any entry");
  add("output", options::value<std::string>(), "json or table (the default)");
  add("dry-run", "show what would change and write nothing");
  add("wait", options::value<int>(),
      "SECONDS to wait until the revision is in force (needs --entry)");
  add("settle", options::value<int>(),
      "SECONDS to look for a change whose answer was lost; 10 by default");
  add("service", options::value<std::string>(), "NAME of a service");
  add("target", options::value<std::string>(), "UID of a target");
  add("help", "print help; after a command, the help of that command");
  return described;
}

Result<options::variables_map> ReadOptions(absl::Span<const std::string> args) {
  options::options_description described = DescribeOptions();
  options::options_description all;
  all.add(described).add_options()("word",
                                   options::value<std::vector<std::string>>());
  options::positional_options_description positional;
  positional.add("word", -1);
  options::variables_map values;
  // Abbreviated options would change their meaning when an option is added.
  const int style = options::command_line_style::default_style &
                    ~options::command_line_style::allow_guessing;
  try {
    options::store(options::command_line_parser(
                       std::vector<std::string>(args.begin(), args.end()))
                       .options(all)
                       .positional(positional)
                       .style(style)
                       .run(),
                   values);
  } catch (const options::error& error) {
    return UsageError(error.what());
  }
  return values;
}

/// Returns the command whose words begin `words`, or null.
const CommandSpec* FindCommand(const std::vector<std::string>& words) {
  const std::string text = absl::StrCat(absl::StrJoin(words, " "), " ");
  for (const CommandSpec& spec : CommandSpecs()) {
    if (absl::StartsWith(text, absl::StrCat(spec.words, " ")))
      return &spec;
  }
  return nullptr;
}

size_t WordCount(const CommandSpec& spec) {
  return 1 + static_cast<size_t>(
                 std::count(spec.words.begin(), spec.words.end(), ' '));
}

bool Contains(const std::vector<absl::string_view>& names,
              absl::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Options that every command takes, so that operators can set them once, for
/// example in an alias.
bool IsGlobalOption(absl::string_view name) {
  return name == "word" || name == "output" || name == "help" ||
         name == "platform" || name == "entry";
}

Result<void> CheckOptions(const CommandSpec& spec,
                          const options::variables_map& values) {
  for (const auto& value : values) {
    const std::string& name = value.first;
    if (!IsGlobalOption(name) && !Contains(spec.options, name)) {
      return UsageError(
          absl::StrCat("'", spec.words, "' does not take --", name),
          absl::StrCat("see skylarkshuntctl ", spec.words, " --help"));
    }
  }
  for (absl::string_view name : spec.required) {
    if (values.count(std::string(name)) == 0) {
      return UsageError(absl::StrCat("'", spec.words, "' needs --", name),
                        absl::StrCat("add --", name, " ADDRESS"));
    }
  }
  if (values.count("wait") > 0 && values.count("entry") == 0)
    return UsageError("--wait needs --entry", "add --entry ADDRESS");
  return Success();
}

Result<void> CheckOperands(const CommandSpec& spec,
                           const std::vector<std::string>& operands) {
  const size_t count = operands.size();
  if (count < spec.min_operands || count > spec.max_operands) {
    return UsageError(
        absl::StrCat("'", spec.words, "' got ", count, " operands"),
        absl::StrCat("write skylarkshuntctl ", spec.words, " ", spec.operands));
  }
  // The name becomes part of an object key; a '/' would name another object.
  const bool bad_name =
      spec.operands == "NAME" &&
      operands[0].find_first_not_of(kNameCharacters) != std::string::npos;
  if (bad_name) {
    return UsageError(absl::StrCat("'", operands[0], "' is no service name"),
                      "use lower-case letters, digits, '-' and '_'");
  }
  return Success();
}

Result<absl::optional<Endpoint>> ReadAddress(
    const options::variables_map& values,
    const char* name) {
  if (values.count(name) == 0)
    return absl::optional<Endpoint>();
  Result<Endpoint> address = Endpoint::Parse(values[name].as<std::string>());
  if (!address.has_value()) {
    return UsageError(absl::StrCat("--", name, ": ", address.error().message),
                      address.error().remedy);
  }
  return absl::optional<Endpoint>(address.value());
}

Result<absl::optional<absl::Duration>> ReadSeconds(
    const options::variables_map& values,
    const char* name) {
  if (values.count(name) == 0)
    return absl::optional<absl::Duration>();
  const int seconds = values[name].as<int>();
  if (seconds < 1 || seconds > kMaxWaitSeconds) {
    return UsageError(absl::StrCat("--", name, " is ", seconds),
                      absl::StrCat("write 1 to ", kMaxWaitSeconds));
  }
  return absl::optional<absl::Duration>(absl::Seconds(seconds));
}

Result<OutputFormat> ReadOutput(const options::variables_map& values) {
  if (values.count("output") == 0)
    return OutputFormat::kTable;
  const std::string format = values["output"].as<std::string>();
  if (format == "table")
    return OutputFormat::kTable;
  if (format == "json")
    return OutputFormat::kJson;
  return UsageError(absl::StrCat("--output is '", format, "'"),
                    "write json or table");
}

Result<void> ReadValues(const options::variables_map& values,
                        Arguments& arguments) {
  BOOST_OUTCOME_TRY(output, ReadOutput(values));
  arguments.output = output;
  BOOST_OUTCOME_TRY(platform, ReadAddress(values, "platform"));
  arguments.platform = platform;
  BOOST_OUTCOME_TRY(entry, ReadAddress(values, "entry"));
  arguments.entry = entry;
  BOOST_OUTCOME_TRY(wait, ReadSeconds(values, "wait"));
  arguments.wait = wait;
  BOOST_OUTCOME_TRY(settle, ReadSeconds(values, "settle"));
  arguments.settle = settle.value_or(arguments.settle);
  arguments.dry_run = values.count("dry-run") > 0;
  if (values.count("service") > 0)
    arguments.service = values["service"].as<std::string>();
  if (values.count("target") == 0)
    return Success();
  const std::string target = values["target"].as<std::string>();
  const absl::optional<uint64_t> uid = ParseHex(target);
  if (!uid.has_value()) {
    return UsageError(absl::StrCat("--target is '", target, "'"),
                      "write the uid as in 'target list', 16 hex digits");
  }
  arguments.target = InstanceUid{*uid};
  return Success();
}

}  // namespace

Result<Arguments> ParseArguments(absl::Span<const std::string> args) {
  BOOST_OUTCOME_TRY(values, ReadOptions(args));
  std::vector<std::string> words;
  if (values.count("word") > 0)
    words = values["word"].as<std::vector<std::string>>();
  Arguments arguments;
  arguments.help = values.count("help") > 0;
  if (arguments.help) {
    arguments.operands = words;
    return arguments;
  }
  if (words.empty())
    return UsageError("no command was given");
  const CommandSpec* spec = FindCommand(words);
  if (spec == nullptr) {
    return UsageError(
        absl::StrCat("'", absl::StrJoin(words, " "), "' is no command"));
  }
  arguments.command = spec;
  arguments.operands.assign(
      words.begin() + static_cast<std::ptrdiff_t>(WordCount(*spec)),
      words.end());
  BOOST_OUTCOME_TRYV(CheckOperands(*spec, arguments.operands));
  BOOST_OUTCOME_TRYV(CheckOptions(*spec, values));
  BOOST_OUTCOME_TRYV(ReadValues(values, arguments));
  return arguments;
}

std::string HelpText(absl::string_view words) {
  std::string text = "Usage: skylarkshuntctl [OPTIONS] COMMAND\n\nCommands:\n";
  for (const CommandSpec& spec : CommandSpecs()) {
    if (!absl::StartsWith(spec.words, words))
      continue;
    absl::StrAppend(&text, "  ", spec.words, spec.operands.empty() ? "" : " ",
                    spec.operands, "\n      ", spec.summary, "\n");
    for (absl::string_view option : spec.options)
      absl::StrAppend(&text, option == spec.options.front() ? "      " : " ",
                      "--", option);
    absl::StrAppend(&text, spec.options.empty() ? "" : "\n",
                    "      example: ", spec.example, "\n");
  }
  std::ostringstream described;
  described << DescribeOptions();
  absl::StrAppend(&text, "\n", described.str(),
                  "\nExit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 "
                  "unavailable, 5 outcome unknown, 6 not in force in time\n");
  return text;
}

}  // namespace skylarkshunt
