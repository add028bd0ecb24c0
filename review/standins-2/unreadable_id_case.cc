// Status reports of another writer, whose path has bytes that are no text,
// arrive at the nodes beside the backends, while an operator looks at the
// nodes.

#include <iostream>

#include "sockets.h"
#include "stage.h"

namespace review {
namespace {

constexpr int64_t kDownMs = 700;
constexpr int kRounds = 4;
constexpr int kRoundMs = 4'000;
constexpr int kLookMs = 500;
/// RULES.md, Fault: two machines at least, three times.
constexpr int kMachines = 2;
constexpr int kEnds = 3;

void Report(Record& record, Deployment& deployment, int side) {
  const Address app =
      deployment.layout().Machine(kSide, side, deployment.layout().app);
  const std::string body =
      "{\"service\":\"" + std::string(kService) + "\",\"addr\":\"" +
      ToText(app) +
      "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
      "\"warmup-left-ms\":0,\"seq\":1,\"born\":" +
      std::to_string(UnixMs()) + "}";
  const Reply reply = Call(
      deployment.layout().Machine(kSide, side, deployment.layout().control),
      {"POST", "/skylarkshunt/Instances.Heartbeat/i-\xff\xfe", body}, 1000);
  record.Write("another writer reports to side-" + std::to_string(side) +
               " with the id i-\\xff\\xfe: answer " +
               std::to_string(reply.status));
}

/// Looks at the node, as skylarkshuntctl does. Starts it again if it has ended,
/// as the platform does.
void Look(Record& record, Deployment& deployment, int side) {
  const Reply reply =
      Call(deployment.layout().Machine(kSide, side, kMetricsPort),
           {"GET", "/node", ""}, 500);
  SleepMs(20);
  if (!deployment.side(side).HasEnded())
    return;
  record.Write("GET /node of side-" + std::to_string(side) + ": answer " +
               std::to_string(reply.status));
  SleepMs(kDownMs);
  deployment.side(side).Start();
}

int Run(const std::string& record_path) {
  Record record(record_path);
  Deployment deployment(record);
  if (!deployment.Start())
    Fail("the system does not serve");
  for (int round = 0; round < kRounds; ++round) {
    const int64_t begun = record.Now();
    SleepMs(kHeartbeatMs);
    for (int side = 1; side <= kMachines && IsTroubleWanted(); ++side)
      Report(record, deployment, side);
    while (record.Now() < begun + kRoundMs) {
      for (int side = 1; side <= kMachines; ++side)
        Look(record, deployment, side);
      SleepMs(kLookMs);
    }
  }
  int machines = 0;
  for (int side = 1; side <= kMachines; ++side) {
    const int ends = deployment.side(side).ends();
    record.Write("side-" + std::to_string(side) + " ended by itself " +
                 std::to_string(ends) + " times");
    machines += ends >= kEnds ? 1 : 0;
  }
  std::cout << "processes ended by themselves three times on " << machines
            << " of 4 machines\n";
  return machines >= kMachines ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
