#include <signal.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "absl/strings/str_split.h"
#include "standins/fabric/fabric_control.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

constexpr int kExitUsage = 2;

struct Arguments {
  Fabric::Options fabric;
  Endpoint admin;
  std::vector<FabricEntry> entries;
  FabricFaults faults;
};

po::options_description Describe() {
  po::options_description all("standin_fabric: sprays callers' datagrams");
  auto add = all.add_options();
  add("help", "print this text");
  add("listen", po::value<std::string>()->default_value("127.0.0.1:0"),
      "UDP address for callers");
  add("admin", po::value<std::string>()->default_value("127.0.0.1:0"),
      "HTTP address of POST /entries, POST /fault and GET /counts");
  add("entry", po::value<std::vector<std::string>>()->default_value({}, "none"),
      "DATA[,ADMIN] of an entry; repeat for more");
  add("round-robin", "hand datagrams to the entries in turn, not at random");
  add("seed", po::value<uint64_t>()->default_value(1), "seed of all draws");
  add("max-callers", po::value<size_t>()->default_value(512),
      "callers' end points kept at once");
  add("loss", po::value<double>()->default_value(0), "share lost");
  add("duplicate", po::value<double>()->default_value(0), "share duplicated");
  add("reorder", po::value<double>()->default_value(0), "share held back");
  add("delay-ms", po::value<int64_t>()->default_value(3),
      "how long a datagram is held back");
  return all;
}

Result<FabricEntry> ParseEntry(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ',');
  BOOST_OUTCOME_TRY(data, Endpoint::Parse(parts[0]));
  FabricEntry entry{data, absl::nullopt};
  if (parts.size() > 1) {
    BOOST_OUTCOME_TRY(admin, Endpoint::Parse(parts[1]));
    entry.admin = admin;
  }
  return entry;
}

Result<Arguments> FromMap(const po::variables_map& map) {
  Arguments arguments;
  BOOST_OUTCOME_TRY(listen, Endpoint::Parse(map["listen"].as<std::string>()));
  BOOST_OUTCOME_TRY(admin, Endpoint::Parse(map["admin"].as<std::string>()));
  for (const auto& text : map["entry"].as<std::vector<std::string>>()) {
    BOOST_OUTCOME_TRY(entry, ParseEntry(text));
    arguments.entries.push_back(entry);
  }
  arguments.fabric.listen = listen;
  arguments.admin = admin;
  arguments.fabric.seed = map["seed"].as<uint64_t>();
  arguments.fabric.max_callers =
      std::max<size_t>(1, map["max-callers"].as<size_t>());
  if (map.count("round-robin") > 0)
    arguments.fabric.pick = Sprayer::Pick::kRoundRobin;
  arguments.faults.loss = map["loss"].as<double>();
  arguments.faults.duplicate = map["duplicate"].as<double>();
  arguments.faults.reorder = map["reorder"].as<double>();
  arguments.faults.delay = absl::Milliseconds(map["delay-ms"].as<int64_t>());
  return arguments;
}

int Fail(const Error& error) {
  std::cerr << error.ToString() << std::endl;
  return kExitUsage;
}

int Serve(const Arguments& arguments) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto fabric = Fabric::Start(arguments.fabric);
  if (!fabric)
    return Fail(fabric.error());
  fabric.value()->SetFaults(arguments.faults);
  auto control = FabricControl::Start(arguments.admin, arguments.entries,
                                      fabric.value().get());
  if (!control)
    return Fail(control.error());
  std::cout << "ready " << fabric.value()->address().ToString() << " "
            << control.value()->address().ToString() << std::endl;
  int caught = 0;
  sigwait(&signals, &caught);
  return 0;
}

int Main(int argc, char** argv) {
  const po::options_description all = Describe();
  po::variables_map map;
  try {
    po::store(po::parse_command_line(argc, argv, all), map);
    po::notify(map);
  } catch (const po::error& error) {
    return Fail(
        MakeError(ErrorKind::kInvalidArgument, error.what(), "see --help"));
  }
  if (map.count("help") > 0) {
    std::cout << all;
    return 0;
  }
  const auto arguments = FromMap(map);
  if (!arguments)
    return Fail(arguments.error());
  return Serve(arguments.value());
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
