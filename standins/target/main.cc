#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "standins/target/target_server.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

constexpr int kExitUsage = 2;

po::options_description Describe() {
  po::options_description all("standin_target: runs work orders over HTTP");
  auto add = all.add_options();
  add("help", "print this text");
  add("listen", po::value<std::string>()->default_value("127.0.0.1:0"),
      "HTTP address");
  add("slots", po::value<uint32_t>()->default_value(4), "runs at once");
  add("queue", po::value<uint32_t>()->default_value(16),
      "requests that may wait for a slot");
  add("cold-s", po::value<double>()->default_value(0),
      "time of the cold start");
  add("cold-factor", po::value<double>()->default_value(3),
      "how much longer a run takes in the cold start");
  add("seed", po::value<uint64_t>()->default_value(1), "seed of all draws");
  return all;
}

int Fail(const Error& error) {
  std::cerr << error.ToString() << std::endl;
  return kExitUsage;
}

int Serve(const po::variables_map& map) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Target::Options options;
  options.slots = std::max(1U, map["slots"].as<uint32_t>());
  options.queue = map["queue"].as<uint32_t>();
  options.cold_time = absl::Seconds(map["cold-s"].as<double>());
  options.cold_factor = map["cold-factor"].as<double>();
  options.seed = map["seed"].as<uint64_t>();
  const auto listen = Endpoint::Parse(map["listen"].as<std::string>());
  if (!listen)
    return Fail(listen.error());
  auto server = TargetServer::Start(listen.value(), options);
  if (!server)
    return Fail(server.error());
  std::cout << "ready " << server.value()->address().ToString() << std::endl;
  int caught = 0;
  sigwait(&signals, &caught);
  // Destroying the server would wait for idle connections of the agent.
  std::quick_exit(0);
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
  return Serve(map);
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
