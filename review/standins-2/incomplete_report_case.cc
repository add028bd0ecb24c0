// A status report of another writer, with fields missing, arrives at a node
// whose backend has open flows.

#include <iostream>

#include "sockets.h"
#include "stage.h"

namespace review {
namespace {

constexpr int64_t kOpenMs = 5'000;
/// The clients pause, as those of long flows do.
constexpr int64_t kPauseMs = 2'500;

/// `addr`, `zone` and `version` are missing.
std::string IncompleteReport() {
  return "{\"service\":\"" + std::string(kService) +
         "\",\"slots\":4,\"state\":\"ready\",\"warmup-left-ms\":0,\"seq\":1,"
         "\"born\":" +
         std::to_string(UnixMs()) + "}";
}

int Run(const std::string& record_path) {
  const bool is_trouble = IsTroubleWanted();
  Record record(record_path);
  Deployment deployment(record);
  if (!deployment.Start())
    Fail("the system does not serve");
  record.WaitUntil(kOpenMs);
  deployment.ForEachClient([](Client& client) { client.Open(); });
  int open = 0;
  for (const auto& client : deployment.clients())
    open += client->is_open() && client->server() == "i-first-1" ? 1 : 0;
  record.Write(std::to_string(open) + " flows are open at i-first-1");
  record.WaitUntil(kOpenMs + kPauseMs);
  if (is_trouble) {
    const std::string report = IncompleteReport();
    const Reply reply = Call(
        deployment.layout().Machine(kSide, 1, deployment.layout().control),
        {"POST", "/skylarkshunt/Instances.Heartbeat/i-other", report}, 1000);
    record.Write("another writer reports to side-1: " + report + ", answer " +
                 std::to_string(reply.status));
  }
  deployment.ForEachClient([](Client& client) { client.Listen(1500); });
  int resets = 0;
  for (const auto& client : deployment.clients())
    resets += client->resets();
  record.Write("backend i-first-1 lives and holds " +
               std::to_string(deployment.backend(1)->open_flows()) +
               " open flows; " + std::to_string(resets) +
               " open flows got a reset of the system");
  // What becomes of the backend afterwards is not judged.
  SleepMs(6000);
  int answered = 0;
  deployment.ForEachClient([](Client& client) { client.Open(); });
  for (const auto& client : deployment.clients())
    answered += client->is_open() && client->server() == "i-first-1" ? 1 : 0;
  record.Write("6 s later i-first-1 gets " + std::to_string(answered) +
               " of 20 new flows");
  if (open == 0)
    Fail("no flow was open");
  std::cout << resets << " of " << open
            << " open flows of a living backend were reset by the system; 6 s "
               "later it got "
            << answered << " of 20 new flows\n";
  return resets > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
