#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "data_loop.h"
#include "decision_history.h"
#include "node_status.h"
#include "platform/packet_format.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kLongWait = absl::Seconds(30);

class AgentLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentLoopTest);
  CPPUNIT_TEST(ColdTargetIsLimitedByConfigurationAndSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a limit of cold targets that the decisions have and the
  // process does not set.
  void ColdTargetIsLimitedByConfigurationAndSettings() {
    CounterRegistry counters;
    DecisionHistory history;
    NodeStatusBoard board;
    DataLoop::Options options;
    options.node.role = Role::kAgent;
    options.node.service = "dispatch";
    options.node.target_packets = Endpoint::Parse("127.0.0.1:0").value();
    options.node.peers = Endpoint::Parse("127.0.0.1:0").value();
    options.node.target = Endpoint::Parse("127.0.0.1:1").value();
    options.node.warmup_excess = 1.5;
    options.node.warmup_slack = 5;
    options.packets = MakePlatformPacketFormat();
    options.counters = &counters;
    options.notices.on_target_check_needed = [] {};
    options.history = &history;
    options.board = &board;
    const std::unique_ptr<DataLoop> loop =
        std::move(DataLoop::Open(options).value());
    loop->Start();
    auto routes = std::make_shared<RouteTable>();
    routes->version = 1;
    routes->services[MakeServiceUid("dispatch")].warmup_per_second = 20;
    CPPUNIT_ASSERT(loop->Command(
        ConfigurationInForce{{1, Revision{1}}, routes, MonotonicNow()}));
    TargetReport report;
    report.id = "i-1";
    report.service = "dispatch";
    report.sequence = 1;
    report.slots = 2;
    report.warmup_left = kLongWait;
    CPPUNIT_ASSERT(loop->Command(report));
    // Two slots that together serve 20 requests per second.
    const auto is_limited = [&board] {
      return absl::StrContains(board.ToJson("side-1"),
                               "\"service_time_us\":100000");
    };
    const absl::Time limit = absl::Now() + kLongWait;
    while (!is_limited() && absl::Now() < limit)
      absl::SleepFor(absl::Milliseconds(5));
    CPPUNIT_ASSERT_MESSAGE(board.ToJson("side-1"), is_limited());
    loop->Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLoopTest);

}  // namespace
}  // namespace skylarkshunt
