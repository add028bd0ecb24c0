#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "standins/flow_simulation/flow_simulation.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

struct Settings {
  uint32_t first_seed = 1;
  uint32_t seeds = 1;
  double seconds = 15;
  size_t course_limit = 3;
  bool show_excused = false;
  bool show_unanswered = false;
  bool quiet = false;
  SimulationOptions simulation;
};

/// Sums over all seeds.
struct Totals {
  SimulationFigures figures;
  std::map<std::string, size_t> violations;
  size_t broken = 0;
  size_t excused = 0;
  size_t searches = 0;
  uint32_t broken_seeds = 0;
};

double PercentileMs(std::vector<absl::Duration> times, double share) {
  if (times.empty())
    return 0;
  const auto nth =
      times.begin() +
      static_cast<ptrdiff_t>(share * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), nth, times.end());
  return absl::ToDoubleMilliseconds(*nth);
}

std::string Describe(const SimulationFigures& figures) {
  return absl::StrFormat(
      "requests %d served %d in_time %d failed %d attempts %d opened %d "
      "refused %d unanswered %d handshake_resets %d refusal_median_ms %.2f "
      "refusal_p99_ms %.2f",
      figures.requests, figures.served, figures.served_in_time, figures.failed,
      figures.attempts, figures.opened, figures.refused, figures.unanswered,
      figures.resets_during_handshake, PercentileMs(figures.refusal_times, 0.5),
      PercentileMs(figures.refusal_times, 0.99));
}

void Add(const SimulationFigures& figures, SimulationFigures& total) {
  total.requests += figures.requests;
  total.served += figures.served;
  total.served_in_time += figures.served_in_time;
  total.failed += figures.failed;
  total.attempts += figures.attempts;
  total.opened += figures.opened;
  total.refused += figures.refused;
  total.unanswered += figures.unanswered;
  total.resets_during_handshake += figures.resets_during_handshake;
  total.refusal_times.insert(total.refusal_times.end(),
                             figures.refusal_times.begin(),
                             figures.refusal_times.end());
}

void RunSeed(const Settings& settings, uint32_t seed, Totals& totals) {
  SimulationOptions options = settings.simulation;
  options.seed = seed;
  options.duration = absl::Seconds(settings.seconds);
  FlowSimulation simulation(options);
  simulation.Run();
  const FlowJudge& judge = simulation.judge();
  const size_t broken = judge.broken();
  const size_t excused = judge.violations().size() - broken;
  if (!settings.quiet || broken > 0)
    std::cout << "seed " << seed << " broken " << broken << " excused "
              << excused << " " << Describe(simulation.figures()) << "\n";
  size_t shown = 0;
  for (const Violation& violation : judge.violations()) {
    const bool excusable = !violation.excuse.empty();
    ++totals.violations[absl::StrCat(
        excusable ? "excused " : "broken ", ViolationName(violation.kind), " ",
        violation.reason, violation.holder.empty() ? "" : " ", violation.holder,
        excusable ? " " : "", violation.excuse)];
    if ((excusable && !settings.show_excused) || shown >= settings.course_limit)
      continue;
    if (shown == 0) {
      for (const std::string& fault : simulation.faults())
        std::cout << "  " << fault << "\n";
    }
    ++shown;
    std::cout << "  " << simulation.Describe(violation);
  }
  if (settings.show_unanswered) {
    for (const FlowId& flow : simulation.figures().unanswered_flows) {
      if (shown++ >= settings.course_limit)
        break;
      std::cout << "  unanswered " << flow.ToString() << "\n"
                << simulation.Describe(flow);
    }
  }
  std::cout << std::flush;
  totals.broken += broken;
  totals.excused += excused;
  totals.searches += judge.searches();
  totals.broken_seeds += broken > 0 ? 1 : 0;
  Add(simulation.figures(), totals.figures);
}

po::options_description Options(Settings& settings, bool& planned_only) {
  SimulationOptions& simulation = settings.simulation;
  po::options_description options(
      "skylarkshunt-flow-sim: simulates clients, entries, agents and targets "
      "under faults drawn from a seed and judges rule FLOW");
  auto add = options.add_options();
  add("seed", po::value(&settings.first_seed), "first seed");
  add("seeds", po::value(&settings.seeds), "number of seeds");
  add("seconds", po::value(&settings.seconds), "simulated time of each seed");
  add("centres", po::value(&simulation.data_centres), "data centres");
  add("entries", po::value(&simulation.entries), "entries of each data centre");
  add("agents", po::value(&simulation.agents), "agents of each data centre");
  add("slots", po::value(&simulation.slots), "slots of each target");
  add("load", po::value(&simulation.load), "usual share of the slots in use");
  add("ports", po::value(&simulation.client_ports),
      "ports of each client address, used in turn");
  add("courses", po::value(&settings.course_limit),
      "flows of each seed to print");
  add("excused", po::bool_switch(&settings.show_excused),
      "also print the flows of excused violations");
  add("unanswered", po::bool_switch(&settings.show_unanswered),
      "also print attempts that ended without an answer");
  add("quiet", po::bool_switch(&settings.quiet),
      "print only seeds that break a rule");
  add("planned-only", po::bool_switch(&planned_only),
      "planned work, configurations and bursts only");
  add("route-changes", po::bool_switch(&simulation.faults.route_changes),
      "routes that change their services, are removed and added again");
  add("link-bytes-per-second", po::value(&simulation.link_bytes_per_second),
      "rate of the entries' links; slow ones search by queries");
  add("no-planned", "no planned work");
  add("no-kills", "no killed nodes");
  add("no-target-crashes", "no crashes of targets");
  add("no-stalls", "no stalled nodes");
  add("no-loss", "no lost packets");
  add("no-configurations", "no changes of routes");
  add("no-bursts", "no bursts");
  add("no-store", "nodes that start again cannot read the store");
  add("help", "print this text");
  return options;
}

int Run(int argc, char** argv) {
  Settings settings;
  bool planned_only = false;
  const po::options_description options = Options(settings, planned_only);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return 2;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  FaultKinds& faults = settings.simulation.faults;
  const auto enabled = [&](const char* option) {
    return values.count(option) == 0;
  };
  faults.planned = enabled("no-planned");
  faults.kills = !planned_only && enabled("no-kills");
  faults.target_crashes = !planned_only && enabled("no-target-crashes");
  faults.stalls = !planned_only && enabled("no-stalls");
  faults.loss = !planned_only && enabled("no-loss");
  faults.configurations = enabled("no-configurations");
  faults.bursts = enabled("no-bursts");
  settings.simulation.store = enabled("no-store");
  Totals totals;
  for (uint32_t i = 0; i < settings.seeds; ++i)
    RunSeed(settings, settings.first_seed + i, totals);
  for (const auto& [kind, count] : totals.violations)
    std::cout << "total " << kind << ": " << count << "\n";
  std::cout << "total " << Describe(totals.figures) << "\n"
            << "seeds " << settings.seeds << " with broken rules "
            << totals.broken_seeds << " broken " << totals.broken << " excused "
            << totals.excused << " searches " << totals.searches << "\n";
  return totals.broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Run(argc, argv);
}
