#include "standins/caller/load_options.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "standins/work/work_order.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

Error Invalid(absl::string_view message, absl::string_view remedy) {
  return MakeError(ErrorKind::kInvalidArgument, message, remedy);
}

po::options_description Describe() {
  po::options_description all("standin_caller: callers that make load");
  auto add = all.add_options();
  add("help", "print this text");
  add("fabric", po::value<std::string>()->required(), "address of the fabric");
  add("local", po::value<std::string>()->default_value("127.0.0.1:0"),
      "address of the callers");
  add("service", po::value<std::string>()->required(), "name of the service");
  add("kind", po::value<std::vector<std::string>>()->required(),
      "NAME:SHARE:once|idempotent:ANSWER_BYTES:RUN_MS[:DEADLINE_MS]; repeat "
      "for more kinds");
  add("flows", po::value<uint32_t>()->default_value(100), "flows open at once");
  add("requests-per-flow", po::value<uint32_t>()->default_value(0),
      "requests after which a flow ends; 0: it stays open");
  add("rate", po::value<double>()->default_value(0),
      "requests a second; 0: each flow waits for its answer");
  add("think-ms", po::value<uint32_t>()->default_value(100),
      "mean time between an answer and the next request of the flow");
  add("duration-s", po::value<double>()->default_value(10),
      "time in which requests start");
  add("seed", po::value<uint64_t>()->default_value(1), "seed of all draws");
  add("threads", po::value<uint32_t>()->default_value(1), "threads");
  add("sockets", po::value<uint32_t>()->default_value(4),
      "UDP sockets of each thread");
  add("reissues", po::value<uint32_t>()->default_value(0),
      "new request ids for work that was refused as not run");
  add("records", po::value<std::string>()->default_value(""),
      "file for one line per ended request: ID KIND END REASON");
  return all;
}

Result<void> CheckRanges(const LoadOptions& options) {
  if (options.flows < options.threads || options.flows > kMaxLoadFlows)
    return Invalid("--flows is out of range", "give 1 per thread to 1000000");
  if (options.threads < 1 || options.threads > 64)
    return Invalid("--threads is out of range", "give 1 to 64");
  if (options.sockets < 1 || options.sockets > kMaxLoadSockets)
    return Invalid("--sockets is out of range", "give 1 to 8");
  if (!(options.rate >= 0) || options.duration < absl::ZeroDuration())
    return Invalid("a negative rate or duration", "give 0 or more");
  return Success();
}

Result<LoadOptions> FromMap(const po::variables_map& map) {
  LoadOptions options;
  BOOST_OUTCOME_TRY(fabric, Endpoint::Parse(map["fabric"].as<std::string>()));
  options.fabric = fabric;
  BOOST_OUTCOME_TRY(local, Endpoint::Parse(map["local"].as<std::string>()));
  options.local = local;
  options.local.port = 0;
  options.service = map["service"].as<std::string>();
  for (const auto& text : map["kind"].as<std::vector<std::string>>()) {
    BOOST_OUTCOME_TRY(kind, ParseKindLoad(text));
    options.kinds.push_back(std::move(kind));
  }
  options.flows = map["flows"].as<uint32_t>();
  options.requests_per_flow = map["requests-per-flow"].as<uint32_t>();
  options.rate = map["rate"].as<double>();
  options.think_time = absl::Milliseconds(map["think-ms"].as<uint32_t>());
  options.duration = absl::Seconds(map["duration-s"].as<double>());
  options.seed = map["seed"].as<uint64_t>();
  options.threads = map["threads"].as<uint32_t>();
  options.sockets = map["sockets"].as<uint32_t>();
  options.reissues = map["reissues"].as<uint32_t>();
  options.records = map["records"].as<std::string>();
  BOOST_OUTCOME_TRY(CheckRanges(options));
  return options;
}

}  // namespace

Result<KindLoad> ParseKindLoad(absl::string_view text) {
  const std::vector<absl::string_view> parts = absl::StrSplit(text, ':');
  const Error error =
      Invalid(absl::StrCat("not a kind: ", text),
              "give NAME:SHARE:once|idempotent:ANSWER_BYTES:RUN_MS[:DEADLINE]");
  if (parts.size() < 5 || parts.size() > 6 || parts[0].empty() ||
      parts[0].size() > kMaxNameBytes) {
    return error;
  }
  KindLoad kind;
  kind.plan.kind = std::string(parts[0]);
  kind.plan.idempotent = parts[2] == "idempotent";
  double run_ms = 0;
  uint32_t deadline_ms = 10'000;
  if (!absl::SimpleAtod(parts[1], &kind.share) || !(kind.share > 0) ||
      (parts[2] != "once" && parts[2] != "idempotent") ||
      !absl::SimpleAtoi(parts[3], &kind.plan.answer_bytes) ||
      kind.plan.answer_bytes > kMaxAnswerBytes ||
      !absl::SimpleAtod(parts[4], &run_ms) || !(run_ms >= 0) ||
      run_ms * 2 > kMaxDeadlineMs) {
    return error;
  }
  if (parts.size() == 6 && (!absl::SimpleAtoi(parts[5], &deadline_ms) ||
                            deadline_ms < 1 || deadline_ms > kMaxDeadlineMs)) {
    return error;
  }
  kind.plan.run_time = absl::Milliseconds(run_ms);
  kind.plan.deadline = absl::Milliseconds(deadline_ms);
  return kind;
}

Result<LoadOptions> ParseLoadOptions(int argc,
                                     const char* const* argv,
                                     bool* help) {
  const po::options_description all = Describe();
  po::variables_map map;
  try {
    po::store(po::parse_command_line(argc, argv, all), map);
    *help = map.count("help") > 0;
    if (*help) {
      std::cout << all;
      return LoadOptions();
    }
    po::notify(map);
  } catch (const po::error& error) {
    return Invalid(error.what(), "see --help");
  }
  return FromMap(map);
}

}  // namespace skylarkshunt
