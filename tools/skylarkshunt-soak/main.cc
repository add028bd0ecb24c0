#include <unistd.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include "absl/time/clock.h"
#include "absl/time/time.h"
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
  int requests_per_second = 120;
  std::string profile = "usual";
  std::string work = "out/soak";
};

/// Time to start each node of a large fleet, beside the usual limit.
constexpr absl::Duration kStartPerNode = absl::Milliseconds(300);

/// What the seeds found together.
struct Total {
  uint32_t broken = 0;
  std::map<std::string, int> flow_counts;
};

SoakOptions MakeOptions(const Settings& settings,
                        const SoakProfile& profile,
                        uint32_t seed,
                        const std::string& programs) {
  SoakOptions options;
  options.profile = profile;
  options.fleet.seed = seed;
  options.fleet.network = static_cast<uint8_t>(70 + seed % 100);
  options.fleet.entries = settings.entries;
  options.fleet.targets = settings.targets;
  options.fleet.requests_per_second = settings.requests_per_second;
  options.fleet.programs = programs;
  options.fleet.work = settings.work + "/" + std::to_string(seed);
  options.fleet.start_limit +=
      kStartPerNode * (settings.entries + 2 * settings.targets);
  profile.SetLoad(options.fleet);
  options.duration = absl::Seconds(settings.seconds);
  options.planned_only =
      profile.unplanned.empty() || seed % (profile.overlapping ? 2 : 5) == 0;
  return options;
}

/// Keeps the settings and logs of a run that broke a promise, so that the next
/// run of the seed does not replace them. Returns their folder.
std::string KeepWork(const std::string& work) {
  std::string kept = work + absl::FormatTime("-broken-%Y%m%dT%H%M%S",
                                             absl::Now(), absl::UTCTimeZone());
  std::filesystem::rename(work, kept);
  return kept;
}

/// Runs one seed and prints one line, and the report if a promise was broken.
void RunSeed(const SoakOptions& options, Total& total) {
  std::filesystem::remove_all(options.fleet.work);
  std::filesystem::create_directories(options.fleet.work);
  const Result<SoakReport> report = RunSoak(options);
  std::cout << "seed " << options.fleet.seed << " " << options.profile.name
            << (options.planned_only ? " planned" : "");
  if (!report.has_value()) {
    ++total.broken;
    std::cout << " " << report.error().ToString() << std::endl;
    return;
  }
  const SoakReport& found = report.value();
  std::cout << " broken=" << found.broken.size();
  for (const auto& [kind, count] : found.flow_counts) {
    std::cout << " " << kind << "=" << count;
    total.flow_counts[kind] += count;
  }
  std::cout << " asked=" << found.tally.asked
            << " answered=" << found.tally.answered
            << " refused=" << found.tally.refused
            << " kept_flows=" << found.tally.kept;
  const std::string text = WriteReport(found);
  if (found.broken.empty()) {
    std::cout << std::endl;
    std::ofstream(options.fleet.work + "/report.txt") << text;
    return;
  }
  ++total.broken;
  const std::string kept = KeepWork(options.fleet.work);
  std::ofstream(kept + "/report.txt") << text;
  std::cout << " kept=" << kept << "\n" << text << std::flush;
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
      "requests-per-second", po::value(&settings.requests_per_second),
      "new flows per second outside bursts")(
      "profile", po::value(&settings.profile),
      "usual, overlap, rolls, large, changes, routes or restores: which "
      "faults, and "
      "how they overlap")("work", po::value(&settings.work),
                          "folder for settings and logs")("help",
                                                          "print this text");
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
  const Result<SoakProfile> profile = SoakProfile::Find(settings.profile);
  if (!profile.has_value()) {
    std::cerr << profile.error().ToString() << "\n";
    return 2;
  }
  const std::string programs =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  Total total;
  for (uint32_t i = 0; i < settings.seeds; ++i) {
    RunSeed(MakeOptions(settings, profile.value(), settings.first_seed + i,
                        programs),
            total);
  }
  std::cout << "seeds " << settings.seeds << " broken " << total.broken;
  for (const auto& [kind, count] : total.flow_counts)
    std::cout << " " << kind << "=" << count;
  std::cout << "\n";
  return total.broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Run(argc, argv);
}
