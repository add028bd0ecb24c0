// standin_platform: in-memory stand-in for the platform's object API.

#include <glog/logging.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "standins/platform/platform_server.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

options::options_description DescribeOptions() {
  options::options_description described("standin_platform options");
  auto add = described.add_options();
  add("help", "print this text");
  add("listen", options::value<std::string>()->default_value("127.0.0.1:9000"),
      "address to listen on; port 0 lets the kernel choose");
  add("writes-per-second", options::value<uint32_t>()->default_value(400),
      "writes and removals taken per second");
  add("reads-per-second", options::value<uint32_t>()->default_value(2000),
      "reads, lists and watches taken per second");
  add("max-log", options::value<size_t>()->default_value(10'000),
      "changes kept for watches");
  return described;
}

int Run(const options::variables_map& values) {
  auto listen =
      skylarkshunt::Endpoint::Parse(values["listen"].as<std::string>());
  if (!listen.has_value()) {
    std::cerr << listen.error().ToString() << "\n";
    return kExitUsage;
  }
  skylarkshunt::PlatformServer::Options server_options;
  server_options.listen = listen.value();
  server_options.core.writes_per_second =
      values["writes-per-second"].as<uint32_t>();
  server_options.core.reads_per_second =
      values["reads-per-second"].as<uint32_t>();
  server_options.core.max_log = values["max-log"].as<size_t>();

  // Blocked before any thread starts, so that only sigwait() takes them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  auto server = skylarkshunt::PlatformServer::Start(server_options);
  if (!server.has_value()) {
    std::cerr << server.error().ToString() << "\n";
    return kExitFailed;
  }
  std::cout << "ready " << server.value()->address().ToString() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const options::options_description described = DescribeOptions();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, described), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << described;
    return 0;
  }
  return Run(values);
}
