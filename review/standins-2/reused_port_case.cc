// Clients use a port again, seconds after its last flow has ended. Meanwhile an
// entry is stopped and started as planned.

#include <iostream>

#include "sockets.h"
#include "stage.h"

namespace review {
namespace {

constexpr int kEdges = 3;
constexpr int64_t kDownMs = 700;
constexpr int64_t kFirstFlowMs = 4'000;
constexpr int64_t kEdgeRollMs = 9'000;
/// The third entry is out of rotation.
constexpr int64_t kSecondFlowMs = 10'800;
/// It is in rotation again.
constexpr int64_t kSecondRequestMs = 14'500;

void Roll(Record& record, Node& node) {
  record.Write("planned work: " + node.name() + " is stopped and started");
  node.Terminate();
  SleepMs(kDownMs);
  node.Start();
}

int Run(const std::string& record_path) {
  const bool is_trouble = IsTroubleWanted();
  Record record(record_path);
  Deployment deployment(record, kEdges);
  if (!deployment.Start(true))
    Fail("the system does not serve");
  record.WaitUntil(kFirstFlowMs);
  deployment.ForEachClient([](Client& client) {
    if (client.Open() == Client::Outcome::kAnswered)
      client.End();
  });
  record.WaitUntil(kEdgeRollMs);
  std::thread roll([&] {
    if (is_trouble)
      Roll(record, deployment.edge(3));
  });
  record.WaitUntil(kSecondFlowMs);
  deployment.ForEachClient([](Client& client) { client.OpenAgain(); });
  roll.join();
  int open = 0;
  for (const auto& client : deployment.clients())
    open += client->is_open() ? 1 : 0;
  record.Write(std::to_string(open) + " flows are open from ports used again");
  record.WaitUntil(kSecondRequestMs);
  int broken = 0;
  std::mutex mutex;
  deployment.ForEachClient([&](Client& client) {
    if (!client.is_open())
      return;
    const int backend = client.server() == "i-first-1" ? 1 : 2;
    client.Send();
    const bool is_foreign =
        client.resets() > 0 ||
        (client.resets_by_backends() > 0 &&
         deployment.backend(backend)->ResetsTo(client.end()) == 0);
    const std::lock_guard<std::mutex> lock(mutex);
    broken += is_foreign ? 1 : 0;
    if (is_foreign)
      record.Write("the reset of " + ToText(client.end()) +
                   " is not one of its backend, which " +
                   (deployment.backend(backend)->Holds(client.end())
                        ? "holds the flow"
                        : "does not hold the flow"));
  });
  if (open == 0)
    Fail("no flow was open");
  std::cout << broken << " of " << open
            << " open flows got a reset that their backend did not send\n";
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
