#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"
#include "outcomes.h"
#include "plot.h"
#include "replay.h"
#include "report.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

constexpr int kExitMet = 0;
constexpr int kExitNotMet = 1;
constexpr int kExitUsage = 2;

struct Arguments {
  std::string trace;
  std::string outcomes;
  std::string sides;
  std::string without_kinds;
  std::string json;
  std::string plot;
  ReplayOptions replay;
};

class Program {
 public:
  explicit Program(Arguments arguments) : arguments_(std::move(arguments)) {}

  Result<bool> Run() {
    BOOST_OUTCOME_TRY(trace_text, ReadTextFile(arguments_.trace));
    BOOST_OUTCOME_TRY(trace, ParseTrace(trace_text, arguments_.trace));
    BOOST_OUTCOME_TRY(outcomes_text, ReadTextFile(arguments_.outcomes));
    BOOST_OUTCOME_TRY(outcomes,
                      ParseOutcomes(outcomes_text, arguments_.outcomes));
    std::vector<SideFigures> sides;
    const std::vector<std::string> names =
        absl::StrSplit(arguments_.sides, ',');
    for (const std::string& name : names) {
      BOOST_OUTCOME_TRY(side, RunSide(name, trace, outcomes));
      sides.push_back(std::move(side));
    }
    const std::vector<AimResult> aims = HoldAgainst(outcomes, sides);
    std::cout << WriteTable(sides, aims);
    if (!arguments_.json.empty()) {
      BOOST_OUTCOME_TRY(WriteFile(arguments_.json, WriteJson(sides, aims)));
    }
    if (!arguments_.plot.empty())
      WritePlot(arguments_.plot, plot_);
    for (const AimResult& result : aims) {
      if (!result.met)
        return false;
    }
    return true;
  }

 private:
  Result<SideFigures> RunSide(const std::string& name,
                              const Trace& trace,
                              const Outcomes& outcomes) {
    ReplayOptions options = arguments_.replay;
    BOOST_OUTCOME_TRY(side, FindSide(name));
    options.side = side;
    BOOST_OUTCOME_TRY(run, Replay(name, trace, options));
    if (plot_.empty())
      plot_ = FiguresBySecond(run);
    SideFigures figures;
    figures.side = name;
    figures.figures = ComputeFigures(run, outcomes.short_kinds);
    if (arguments_.without_kinds.empty())
      return figures;
    options.without_kinds = absl::StrSplit(arguments_.without_kinds, ',');
    BOOST_OUTCOME_TRY(rest, Replay(name + " without kinds", trace, options));
    figures.without = ComputeFigures(rest, outcomes.short_kinds);
    return figures;
  }

  static Result<RunRecord> Replay(const std::string& label,
                                  const Trace& trace,
                                  ReplayOptions options) {
    int shown = -1;
    options.progress = [&shown, &label](double share) {
      const int tenths = static_cast<int>(share * 10);
      if (tenths == shown)
        return;
      shown = tenths;
      std::cerr << label << ": " << tenths * 10 << "%\n";
    };
    return ReplayTrace(trace, options);
  }

  static Result<void> WriteFile(const std::string& path,
                                const std::string& text) {
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file)
      return MakeError(ErrorKind::kSystem, "cannot write " + path,
                       "check the folder and its permissions");
    return Success();
  }

  Arguments arguments_;
  std::vector<SecondFigures> plot_;
};

int Main(int argc, char** argv) {
  Arguments a;
  po::options_description visible(
      "skylarkshunt-replay TRACE --outcomes FILE\n"
      "Drives a trace and holds the result against stated outcomes. Exit\n"
      "status: 0 all aims met, 1 an aim not met, 2 bad arguments or input.\n"
      "Options");
  visible.add_options()("help", "show this text")(
      "outcomes", po::value(&a.outcomes)->required(), "outcomes file")(
      "sides", po::value(&a.sides)->default_value("product"),
      "comma-separated; the first is held against the aims: product, random, "
      "round_robin, hash, fifo, no_retry_budget")(
      "without-kinds", po::value(&a.without_kinds),
      "also run without these kinds (comma-separated)")(
      "seed", po::value(&a.replay.seed)->default_value(1), "seed")(
      "entries", po::value(&a.replay.entries)->default_value(4), "entries")(
      "loss", po::value(&a.replay.loss)->default_value(0.0005),
      "share of datagrams lost per hop")(
      "duplication", po::value(&a.replay.duplication)->default_value(0.0005),
      "share of datagrams doubled per hop")("json", po::value(&a.json),
                                            "write the figures to FILE")(
      "plot", po::value(&a.plot), "plot the first side to FILE.svg");
  po::options_description all;
  all.add(visible).add_options()("trace", po::value(&a.trace)->required(), "");
  po::positional_options_description positional;
  positional.add("trace", 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
    if (values.count("help") != 0) {
      std::cout << visible;
      return kExitMet;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << visible;
    return kExitUsage;
  }
  const Result<bool> met = Program(std::move(a)).Run();
  if (!met.has_value()) {
    std::cerr << met.error().ToString() << "\n";
    return kExitUsage;
  }
  return met.value() ? kExitMet : kExitNotMet;
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
