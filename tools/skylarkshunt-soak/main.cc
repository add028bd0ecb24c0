#include <unistd.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>

#include "standins/packet_fleet/soak.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

struct Settings {
  uint32_t first_seed = 1;
  uint32_t seeds = 1;
  int seconds = 12;
  int entries = 3;
  int targets = 3;
  std::string work = "out/soak";
};

/// Runs one seed and returns whether all promises held.
bool RunSeed(const Settings& settings,
             uint32_t seed,
             const std::string& programs) {
  SoakOptions options;
  options.fleet.seed = seed;
  options.fleet.network = static_cast<uint8_t>(70 + seed % 100);
  options.fleet.entries = settings.entries;
  options.fleet.targets = settings.targets;
  options.fleet.programs = programs;
  options.fleet.work = settings.work + "/" + std::to_string(seed);
  options.duration = absl::Seconds(settings.seconds);
  options.planned_only = seed % 5 == 0;
  std::filesystem::remove_all(options.fleet.work);
  std::filesystem::create_directories(options.fleet.work);
  const Result<SoakReport> report = RunSoak(options);
  std::cout << "seed " << seed << (options.planned_only ? " (planned)" : "")
            << "\n";
  if (!report.has_value()) {
    std::cout << report.error().ToString() << "\n";
    return false;
  }
  std::cout << WriteReport(report.value()) << std::flush;
  return report.value().broken.empty();
}

int Run(int argc, char** argv) {
  Settings settings;
  po::options_description options(
      "skylarkshunt-soak: runs nodes as processes under faults drawn from a "
      "seed and checks the promises");
  options.add_options()("seed", po::value(&settings.first_seed), "first seed")(
      "seeds", po::value(&settings.seeds),
      "number of seeds, one after another")(
      "seconds", po::value(&settings.seconds), "time with faults, each seed")(
      "entries", po::value(&settings.entries), "entries")(
      "targets", po::value(&settings.targets), "targets of each service")(
      "work", po::value(&settings.work), "folder for settings and logs")(
      "help", "print this text");
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
  const std::string programs =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  uint32_t broken = 0;
  for (uint32_t i = 0; i < settings.seeds; ++i) {
    if (!RunSeed(settings, settings.first_seed + i, programs))
      ++broken;
  }
  std::cout << "seeds " << settings.seeds << " broken " << broken << "\n";
  return broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Run(argc, argv);
}
