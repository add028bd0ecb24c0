// A status report of an earlier lifetime arrives after the node beside the
// backend was restarted as planned.

#include <iostream>

#include "sockets.h"
#include "stage.h"

namespace review {
namespace {

/// Times after the system is ready. The kernel of the sender tries again 0.2,
/// 0.6, 1.4, 3, 6.2 and 12.6 s after the first try, so that a report that is
/// sent before 1.2 s arrives within 12.6 to 13.8 s.
constexpr int64_t kCrashMs = 1'150;
constexpr int64_t kSecondLifetimeMs = 3'400;
constexpr int64_t kHealMs = 7'000;
constexpr int64_t kOpenMs = 9'000;
/// The restarted node serves this long before the late report arrives.
constexpr int64_t kServeMs = 450;
/// Time that a stopped process stays down, and that it takes to start and stop.
constexpr int64_t kDownMs = 700;
constexpr int64_t kStopAndStartMs = 300;

int Run(const std::string& record_path) {
  const bool is_trouble = IsTroubleWanted();
  Record record(record_path);
  Deployment deployment(record);
  if (!deployment.Start())
    Fail("the system does not serve");
  // Waits for the next report of the first backend.
  const int64_t report = deployment.backend(1)->next_report();
  if (is_trouble) {
    record.WaitUntil(report - 100);
    deployment.link().Cut();
  }
  record.WaitUntil(report + kCrashMs);
  record.Write("backend i-first-1 crashes");
  deployment.backend(1).reset();
  record.WaitUntil(report + kSecondLifetimeMs);
  deployment.backend(1) = deployment.MakeBackend(1, "i-second-1");
  record.WaitUntil(report + kHealMs);
  if (is_trouble)
    deployment.link().Heal();
  record.WaitUntil(report + kOpenMs);
  deployment.ForEachClient([](Client& client) { client.Open(); });
  const int64_t late = report + 12'600;
  record.WaitUntil(late - kServeMs - kDownMs - kStopAndStartMs);
  record.Write("planned work: side-1 is stopped and started");
  deployment.side(1).Terminate();
  SleepMs(kDownMs);
  deployment.side(1).Start();
  while (Call(deployment.layout().Machine(kSide, 1, kMetricsPort),
              {"GET", "/metrics", ""}, 200)
             .status != 200) {
    SleepMs(5);
  }
  int served = 0;
  deployment.ForEachClient([](Client& client) {
    if (client.is_open())
      client.Send();
  });
  for (const auto& client : deployment.clients())
    served += client->is_open() && client->server() == "i-second-1" ? 1 : 0;
  record.Write(std::to_string(served) +
               " flows are open at i-second-1 and were served since");
  deployment.ForEachClient([](Client& client) { client.Listen(3000); });
  int resets = 0;
  for (const auto& client : deployment.clients())
    resets += client->resets();
  record.Write("backend i-second-1 lives and holds " +
               std::to_string(deployment.backend(1)->open_flows()) +
               " open flows; " + std::to_string(resets) +
               " open flows got a reset of the system");
  if (served == 0 || (is_trouble && deployment.link().late() == 0))
    Fail("no flow was open, or no report was late");
  std::cout << resets << " of " << served
            << " open flows of a living backend were reset by the system\n";
  return resets > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : 2;
}
