#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "phases.h"
#include "skylarkshunt/edge/messages.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr size_t kMostRequests = 100'000;
constexpr uint16_t kMostSlots = 1024;

struct Options {
  std::vector<size_t> sizes = {1000, 10'000, 100'000};
  PhaseSizes phases;
  int repeats = 5;
};

/// Measures one repeat at the size in `sizes`.
Result<json> MeasureOnce(const PhaseSizes& sizes) {
  const auto flows = MeasureFlows(sizes);
  if (!flows)
    return flows.error();
  const auto bound = MeasureRequests(sizes, false);
  if (!bound)
    return bound.error();
  const auto idempotent = MeasureRequests(sizes, true);
  if (!idempotent)
    return idempotent.error();
  const auto queue = MeasureQueue(sizes);
  if (!queue)
    return queue.error();
  const auto answers = MeasureAnswers(sizes);
  if (!answers)
    return answers.error();
  const double gone_bytes = idempotent.value().remembered_bytes;
  return json{
      {"requests", sizes.requests},
      {"seed", sizes.seed},
      {"body_bytes", sizes.body_bytes},
      {"answer_bytes", sizes.answer_bytes},
      {"flow_bytes", flows.value().flow_bytes},
      {"dropped_answer_id_bytes", gone_bytes},
      {"ledger_entry_bytes", bound.value().remembered_bytes - gone_bytes},
      {"queued", queue.value().queued},
      {"queued_request_bytes", queue.value().queued_bytes},
      {"retained", answers.value().retained},
      {"retained_answer_bytes", answers.value().retained_bytes},
      {"opening_ns", flows.value().opening_ns},
      {"bound_ns", bound.value().bound_ns},
      {"idempotent_ns", idempotent.value().bound_ns},
      {"repeat_ns", bound.value().repeat_ns}};
}

int Run(const Options& options) {
  PhaseSizes sizes = options.phases;
  for (size_t size : options.sizes) {
    sizes.requests = size;
    for (int i = 0; i < options.repeats; ++i) {
      const auto line = MeasureOnce(sizes);
      if (!line) {
        std::cerr << line.error().ToString() << "\n";
        return EXIT_FAILURE;
      }
      std::cout << line.value() << std::endl;
    }
  }
  return EXIT_SUCCESS;
}

po::options_description Describe(Options& options) {
  po::options_description description(
      "Measures the agent's state machine without sockets or threads. Prints\n"
      "one JSON line per repeat: live bytes per flow, remembered request,\n"
      "queued request and retained answer, and nanoseconds per request.\n"
      "bound_ns and idempotent_ns cover the request, its run's end and Done.\n"
      "Options");
  description.add_options()("help", "show this text")(
      "sizes", po::value(&options.sizes)->multitoken(),
      "flows and requests, 1 to 100000 each; default 1000 10000 100000")(
      "slots", po::value(&options.phases.slots)->default_value(256),
      "slots of the agent whose queue is filled, 4 to 1024")(
      "body-bytes", po::value(&options.phases.body_bytes)->default_value(200),
      "bytes of a request's body, at most 900")(
      "answer-bytes",
      po::value(&options.phases.answer_bytes)->default_value(1000),
      "bytes of an answer, at most 1000000")(
      "seed", po::value(&options.phases.seed)->default_value(1),
      "random seed of the agent")(
      "repeats", po::value(&options.repeats)->default_value(5), "repeats");
  return description;
}

/// Returns what is wrong with the options, or null.
const char* Fault(const Options& options) {
  for (size_t size : options.sizes) {
    if (size < 1 || size > kMostRequests)
      return "--sizes needs numbers from 1 to 100000";
  }
  // A queue holds 4 requests per slot, but 16 with fewer than 4 slots.
  if (options.phases.slots < 4 || options.phases.slots > kMostSlots)
    return "--slots needs 4 to 1024";
  if (options.phases.body_bytes > kMaxRequestBodyBytes)
    return "--body-bytes needs at most 900";
  if (options.phases.answer_bytes > 1'000'000)
    return "--answer-bytes needs at most 1000000";
  if (options.repeats < 1)
    return "--repeats needs 1 or more";
  return nullptr;
}

int Main(int argc, char** argv) {
  Options options;
  const po::options_description description = Describe(options);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return EXIT_FAILURE;
  }
  if (values.count("help") != 0) {
    std::cout << description;
    return EXIT_SUCCESS;
  }
  if (const char* fault = Fault(options)) {
    std::cerr << fault << "\n";
    return EXIT_FAILURE;
  }
  return Run(options);
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
