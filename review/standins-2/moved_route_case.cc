// A route moves to another service. Then a node beside a backend of the former
// service and an entry are stopped and started as planned.

#include <iostream>

#include "sockets.h"
#include "stage.h"

namespace review {
namespace {

constexpr int kEdges = 3;
constexpr int kSides = 6;
constexpr int64_t kDownMs = 700;
constexpr int64_t kOpenMs = 4'000;
constexpr int64_t kChangeMs = 5'000;
constexpr int64_t kSideRollMs = 7'000;
constexpr int64_t kEdgeRollMs = 8'500;
/// The second entry is in rotation again.
constexpr int64_t kRequestMs = 14'000;
/// RULES.md, FLOW (b): `reorder-ms` and the number of packets.
constexpr int kReorderMs = 2'000;
constexpr int kForeignPackets = 3;

void Roll(Record& record, Node& node) {
  record.Write("planned work: " + node.name() + " is stopped and started");
  node.Terminate();
  SleepMs(kDownMs);
  node.Start();
}

int Foreign(Deployment& deployment, Address client) {
  int packets = 0;
  for (int number = 2; number <= kSides; ++number)
    packets += deployment.backend(number)->PacketsFrom(client);
  return packets;
}

int Run(const std::string& record_path) {
  Record record(record_path);
  Deployment deployment(record, kEdges, kSides);
  if (!deployment.Start(true))
    Fail("the system does not serve");
  record.WaitUntil(kOpenMs);
  deployment.ForEachClient([](Client& client) { client.Open(); });
  record.WaitUntil(kChangeMs);
  if (IsTroubleWanted())
    deployment.Configure(9,
                         "\"service\":\"" + std::string(kOtherService) + "\"");
  record.WaitUntil(kSideRollMs);
  Roll(record, deployment.side(1));
  record.WaitUntil(kEdgeRollMs);
  Roll(record, deployment.edge(2));
  record.WaitUntil(kRequestMs);
  int open = 0;
  int broken = 0;
  std::mutex mutex;
  deployment.ForEachClient([&](Client& client) {
    if (!client.is_open() || client.server() != "i-first-1")
      return;
    const int own_before = deployment.backend(1)->PacketsFrom(client.end());
    const int foreign_before = Foreign(deployment, client.end());
    const int64_t begun = SteadyMs();
    client.Send();
    const int64_t took = SteadyMs() - begun;
    const int own =
        deployment.backend(1)->PacketsFrom(client.end()) - own_before;
    const int foreign = Foreign(deployment, client.end()) - foreign_before;
    const bool is_broken =
        took >= kReorderMs && own == 0 && foreign >= kForeignPackets;
    const std::lock_guard<std::mutex> lock(mutex);
    ++open;
    broken += is_broken ? 1 : 0;
    record.Write("flow of " + ToText(client.end()) + ": in " +
                 std::to_string(took) + " ms " + std::to_string(foreign) +
                 " packets reached other backends and " + std::to_string(own) +
                 " its own, which " +
                 (deployment.backend(1)->Holds(client.end())
                      ? "holds it"
                      : "does not hold it"));
  });
  if (open == 0)
    Fail("no flow was open");
  std::cout << "packets of " << broken << " of " << open
            << " open flows reached other backends and none their own\n";
  return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
